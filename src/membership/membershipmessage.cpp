#include "membership/membershipmessage.h"

#include "membership/membership_generated.h"
#include "wire/authentication.h"

#include <algorithm>
#include <optional>
#include <string>

#include <xxhash.h>

namespace Rhubarbwind
{

namespace
{

constexpr std::size_t tagBytes = 16;
// Fixed parts of each table with its vtable, its offset in a vector and the worst padding.
constexpr std::size_t memberFixedBytes = 80;
constexpr std::size_t endpointFixedBytes = 44;
constexpr std::size_t versionBytes = 16;
constexpr std::size_t messageFixedBytes = 132;

// FlatBuffers text: length, characters, terminating zero, padding to four.
std::size_t textBytesBound(std::string_view text)
{
    constexpr std::size_t lengthAndTerminator = 5;
    constexpr std::size_t worstPadding = 3;
    return lengthAndTerminator + text.size() + worstPadding;
}

bool validText(std::string_view text)
{
    return text.size() <= maxMembershipText;
}

std::string_view textOf(const flatbuffers::String *field)
{
    return field == nullptr ? std::string_view() : std::string_view(field->c_str(), field->size());
}

flatbuffers::Offset<Fbs::MemberTelling> writeMember(flatbuffers::FlatBufferBuilder &builder, const Member &member)
{
    const flatbuffers::Offset<flatbuffers::String> host = builder.CreateString(member.host.text());
    const flatbuffers::Offset<flatbuffers::String> ip = builder.CreateString(member.address.ip);
    const flatbuffers::Offset<flatbuffers::String> domain = builder.CreateSharedString(member.domain.text()); // few domains, many hosts
    return Fbs::CreateMemberTelling(builder,
                                    host,
                                    ip,
                                    domain,
                                    member.incarnation.start,
                                    member.presetVersion,
                                    member.incarnation.refutations,
                                    member.address.port,
                                    static_cast<std::uint8_t>(member.state),
                                    member.leaving);
}

flatbuffers::Offset<Fbs::EndpointTelling> writeEndpoint(flatbuffers::FlatBufferBuilder &builder, const EndpointFact &fact)
{
    return Fbs::CreateEndpointTelling(builder, builder.CreateString(fact.endpoint.text()), fact.version, fact.leaving);
}

void writeMessage(flatbuffers::FlatBufferBuilder &builder, const MembershipMessage &message)
{
    const flatbuffers::Offset<Fbs::MemberTelling> sender = writeMember(builder, message.sender);
    std::vector<flatbuffers::Offset<Fbs::MemberTelling>> members;
    for (const Member &member : message.members) {
        members.push_back(writeMember(builder, member));
    }
    std::vector<flatbuffers::Offset<Fbs::EndpointTelling>> endpoints;
    for (const EndpointFact &fact : message.endpoints) {
        endpoints.push_back(writeEndpoint(builder, fact));
    }
    std::vector<Fbs::VersionTelling> versions;
    for (const VersionTelling &telling : message.versions) {
        versions.emplace_back(telling.life, telling.version);
    }
    const flatbuffers::Offset<flatbuffers::String> target = message.target.empty() ? 0 : builder.CreateString(message.target.text());
    const flatbuffers::Offset<flatbuffers::String> targetIp = message.targetAddress.ip.empty() ? 0 : builder.CreateString(message.targetAddress.ip);
    const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Fbs::MemberTelling>>> memberVector = members.empty() ? 0 : builder.CreateVector(members);
    const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Fbs::EndpointTelling>>> endpointVector =
        endpoints.empty() ? 0 : builder.CreateVector(endpoints);
    const flatbuffers::Offset<flatbuffers::Vector<const Fbs::VersionTelling *>> versionVector = versions.empty() ? 0 : builder.CreateVectorOfStructs(versions);
    builder.Finish(Fbs::CreateMembershipDatagram(builder,
                                                 static_cast<std::uint8_t>(message.kind),
                                                 message.sequence,
                                                 target,
                                                 targetIp,
                                                 message.targetAddress.port,
                                                 message.digest,
                                                 sender,
                                                 memberVector,
                                                 endpointVector,
                                                 versionVector));
}

std::optional<Member> readMember(const Fbs::MemberTelling *telling)
{
    if (telling == nullptr) {
        return std::nullopt;
    }
    const std::string_view host = textOf(telling->host());
    const std::string_view ip = textOf(telling->ip());
    const std::string_view domain = textOf(telling->domain());
    const bool knownState = telling->state() <= static_cast<std::uint8_t>(MemberState::Dead);
    if (host.empty() || ip.empty() || telling->port() == 0 || !knownState || !validText(host) || !validText(ip) || !validText(domain)) {
        return std::nullopt;
    }
    Member member;
    member.host = HostId(std::string(host));
    member.address = {std::string(ip), telling->port()};
    member.domain = FailureDomain(std::string(domain));
    member.state = MemberState(telling->state());
    member.leaving = telling->leaving();
    member.incarnation = {telling->start(), telling->refutations()};
    member.presetVersion = telling->preset_version();
    return member;
}

std::optional<EndpointFact> readEndpoint(const Fbs::EndpointTelling *telling)
{
    const std::string_view endpoint = telling == nullptr ? std::string_view() : textOf(telling->endpoint());
    if (endpoint.empty() || !validText(endpoint)) {
        return std::nullopt;
    }
    return EndpointFact{EndpointId(std::string(endpoint)), telling->version(), telling->leaving()};
}

bool readTellings(const Fbs::MembershipDatagram &datagram, MembershipMessage &message)
{
    const std::size_t memberCount = datagram.members() == nullptr ? 0 : datagram.members()->size();
    const std::size_t endpointCount = datagram.endpoints() == nullptr ? 0 : datagram.endpoints()->size();
    const std::size_t versionCount = datagram.versions() == nullptr ? 0 : datagram.versions()->size();
    if (memberCount + endpointCount + versionCount > maxTellingsPerDatagram) {
        return false;
    }
    for (std::size_t i = 0; i < memberCount; ++i) {
        const std::optional<Member> member = readMember(datagram.members()->Get(static_cast<flatbuffers::uoffset_t>(i)));
        if (!member) {
            return false;
        }
        message.members.push_back(*member);
    }
    for (std::size_t i = 0; i < endpointCount; ++i) {
        const std::optional<EndpointFact> fact = readEndpoint(datagram.endpoints()->Get(static_cast<flatbuffers::uoffset_t>(i)));
        if (!fact) {
            return false;
        }
        message.endpoints.push_back(*fact);
    }
    for (std::size_t i = 0; i < versionCount; ++i) {
        const Fbs::VersionTelling *telling = datagram.versions()->Get(static_cast<flatbuffers::uoffset_t>(i));
        message.versions.push_back({telling->life(), telling->version()});
    }
    return true;
}

} // namespace

std::uint64_t lifeKey(const Member &member)
{
    const std::string &host = member.host.text();
    return XXH3_64bits_withSeed(host.data(), host.size(), member.incarnation.start);
}

std::size_t encodedBytesBound(const Member &member)
{
    return memberFixedBytes + textBytesBound(member.host.text()) + textBytesBound(member.address.ip) + textBytesBound(member.domain.text());
}

std::size_t encodedBytesBound(const EndpointFact &fact)
{
    return endpointFixedBytes + textBytesBound(fact.endpoint.text());
}

std::size_t encodedBytesBound(const VersionTelling &)
{
    return versionBytes;
}

std::size_t encodedBytesBound(const MembershipMessage &message)
{
    return tagBytes + messageFixedBytes + encodedBytesBound(message.sender) + textBytesBound(message.target.text()) + textBytesBound(message.targetAddress.ip);
}

Result<std::vector<std::byte>, DatagramError> encodeDatagram(const MembershipMessage &message, std::string_view secret)
{
    flatbuffers::FlatBufferBuilder builder;
    writeMessage(builder, message);
    const std::span<const std::uint8_t> written(builder.GetBufferPointer(), builder.GetSize());
    const std::span<const std::byte> content = std::as_bytes(written);
    if (tagBytes + content.size() > maxDatagramBytes) {
        return DatagramError::TooLarge;
    }
    const HmacDigest digest = hmacSha256(secret, content);
    std::vector<std::byte> datagram(digest.begin(), digest.begin() + tagBytes);
    datagram.insert(datagram.end(), content.begin(), content.end());
    return datagram;
}

Result<MembershipMessage, DatagramError> decodeDatagram(std::span<const std::byte> datagram, std::string_view secret)
{
    if (datagram.size() > maxDatagramBytes) {
        return DatagramError::TooLarge;
    }
    if (datagram.size() <= tagBytes) {
        return DatagramError::TooShort;
    }
    const std::span<const std::byte> content = datagram.subspan(tagBytes);
    const HmacDigest digest = hmacSha256(secret, content);
    if (!equalInConstantTime(datagram.first(tagBytes), std::span(digest).first(tagBytes))) {
        return DatagramError::WrongTag;
    }
    const std::uint8_t *bytes = reinterpret_cast<const std::uint8_t *>(content.data());
    flatbuffers::Verifier verifier(bytes, content.size());
    if (!verifier.VerifyBuffer<Fbs::MembershipDatagram>(nullptr)) {
        return DatagramError::Malformed;
    }
    const Fbs::MembershipDatagram *root = flatbuffers::GetRoot<Fbs::MembershipDatagram>(bytes);
    const std::optional<Member> sender = readMember(root->sender());
    const bool knownKind = root->kind() <= static_cast<std::uint8_t>(MembershipMessageKind::SyncRequest);
    const std::string_view target = textOf(root->target());
    const std::string_view targetIp = textOf(root->target_ip());
    if (!sender || !knownKind || !validText(target) || !validText(targetIp)) {
        return DatagramError::Malformed;
    }
    MembershipMessage message;
    message.kind = MembershipMessageKind(root->kind());
    message.sequence = root->sequence();
    message.target = HostId(std::string(target));
    message.targetAddress = {std::string(targetIp), root->target_port()};
    message.digest = root->digest();
    message.sender = *sender;
    if (!readTellings(*root, message)) {
        return DatagramError::Malformed;
    }
    return message;
}

} // namespace Rhubarbwind
