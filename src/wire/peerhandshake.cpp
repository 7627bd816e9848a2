// Challenge and response as in the mutual authentication of ISO/IEC 9798-4: each digest covers both challenges and both host names. Used instead
// of TLS because the hosts already share one secret, no certificates have to be distributed and renewed, and the payload carries nothing
// that is not also sent to endpoints unencrypted.

#include "wire/peerhandshake.h"

#include "wire/hello_generated.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace Rhubarbwind
{

namespace
{

constexpr std::uint16_t peerProtocol = 1;
// Host names are short; the limit keeps the Hello of an unauthenticated peer from using memory.
constexpr std::size_t maxHelloText = 128;

std::vector<std::byte> finishedBytes(const flatbuffers::FlatBufferBuilder &builder)
{
    const std::span<const std::uint8_t> bytes(builder.GetBufferPointer(), builder.GetSize());
    const std::span<const std::byte> view = std::as_bytes(bytes);
    return {view.begin(), view.end()};
}

template <class Table>
const Table *verified(std::span<const std::byte> payload)
{
    const std::uint8_t *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes) : nullptr;
}

std::span<const std::byte> bytesOf(const flatbuffers::Vector<std::uint8_t> *field)
{
    return field == nullptr ? std::span<const std::byte>() : std::as_bytes(std::span(field->data(), field->size()));
}

std::string_view textOf(const flatbuffers::String *field)
{
    return field == nullptr ? std::string_view() : std::string_view(field->c_str(), field->size());
}

void appendText(std::vector<std::byte> &message, std::string_view text)
{
    message.push_back(std::byte(text.size())); // maxHelloText fits into a byte; the length separates the fields
    const std::span<const std::byte> bytes = std::as_bytes(std::span(text));
    message.insert(message.end(), bytes.begin(), bytes.end());
}

} // namespace

PeerHandshake::PeerHandshake(HandshakeSettings settings, Challenge challenge)
    : m_settings(std::move(settings))
    , m_challenge(challenge)
{
}

std::vector<HandshakeFrame> PeerHandshake::begin() const
{
    if (m_settings.role == HandshakeRole::Acceptor) {
        return {};
    }
    return {hello()};
}

Result<std::vector<HandshakeFrame>, HandshakeError> PeerHandshake::receive(MessageKind kind, std::span<const std::byte> payload)
{
    if (m_step == Step::AwaitHello && kind == MessageKind::Hello) {
        return receiveHello(payload);
    }
    if (m_step == Step::AwaitProof && kind == MessageKind::HelloProof) {
        return receiveProof(payload);
    }
    return HandshakeError::UnexpectedKind;
}

Result<std::vector<HandshakeFrame>, HandshakeError> PeerHandshake::receiveHello(std::span<const std::byte> payload)
{
    const Fbs::Hello *message = verified<Fbs::Hello>(payload);
    if (message == nullptr) {
        return HandshakeError::Malformed;
    }
    if (message->protocol() != peerProtocol) {
        return HandshakeError::WrongProtocol;
    }
    const std::string_view host = textOf(message->host());
    const std::string_view ip = textOf(message->ip());
    const std::span<const std::byte> challenge = bytesOf(message->challenge());
    if (host.empty() || host.size() > maxHelloText || ip.size() > maxHelloText || challenge.size() != m_peerChallenge.size()) {
        return HandshakeError::Malformed;
    }
    m_peer = HostId(std::string(host));
    m_peerAddress = {std::string(ip), message->port()};
    std::copy(challenge.begin(), challenge.end(), m_peerChallenge.begin());
    if (m_peer == m_settings.self || (!m_settings.expectedPeer.empty() && m_peer != m_settings.expectedPeer)) {
        return HandshakeError::WrongHost;
    }
    m_step = Step::AwaitProof;
    std::vector<HandshakeFrame> answers;
    answers.push_back(m_settings.role == HandshakeRole::Dialler ? proof() : hello());
    return answers;
}

Result<std::vector<HandshakeFrame>, HandshakeError> PeerHandshake::receiveProof(std::span<const std::byte> payload)
{
    const Fbs::HelloProof *message = verified<Fbs::HelloProof>(payload);
    if (message == nullptr) {
        return HandshakeError::Malformed;
    }
    const HandshakeRole prover = m_settings.role == HandshakeRole::Dialler ? HandshakeRole::Acceptor : HandshakeRole::Dialler;
    if (!equalInConstantTime(bytesOf(message->proof()), digestOf(prover))) {
        return HandshakeError::WrongProof;
    }
    m_step = Step::Done;
    std::vector<HandshakeFrame> answers;
    if (m_settings.role == HandshakeRole::Acceptor) {
        answers.push_back(proof());
    }
    return answers;
}

HandshakeFrame PeerHandshake::hello() const
{
    flatbuffers::FlatBufferBuilder builder;
    const std::uint8_t *challenge = reinterpret_cast<const std::uint8_t *>(m_challenge.data());
    const flatbuffers::Offset<Fbs::Hello> root = Fbs::CreateHello(builder,
                                                                  peerProtocol,
                                                                  builder.CreateString(m_settings.self.text()),
                                                                  builder.CreateString(m_settings.listen.ip),
                                                                  m_settings.listen.port,
                                                                  builder.CreateVector(challenge, m_challenge.size()));
    builder.Finish(root);
    return {MessageKind::Hello, finishedBytes(builder)};
}

HandshakeFrame PeerHandshake::proof() const
{
    const HmacDigest digest = digestOf(m_settings.role);
    flatbuffers::FlatBufferBuilder builder;
    const std::uint8_t *bytes = reinterpret_cast<const std::uint8_t *>(digest.data());
    builder.Finish(Fbs::CreateHelloProof(builder, builder.CreateVector(bytes, digest.size())));
    return {MessageKind::HelloProof, finishedBytes(builder)};
}

HmacDigest PeerHandshake::digestOf(HandshakeRole prover) const
{
    const bool dialling = m_settings.role == HandshakeRole::Dialler;
    const HostId &dialler = dialling ? m_settings.self : m_peer;
    const HostId &acceptor = dialling ? m_peer : m_settings.self;
    const Challenge &diallerChallenge = dialling ? m_challenge : m_peerChallenge;
    const Challenge &acceptorChallenge = dialling ? m_peerChallenge : m_challenge;
    std::vector<std::byte> message{std::byte(prover)};
    appendText(message, dialler.text());
    appendText(message, acceptor.text());
    message.insert(message.end(), diallerChallenge.begin(), diallerChallenge.end());
    message.insert(message.end(), acceptorChallenge.begin(), acceptorChallenge.end());
    return hmacSha256(m_settings.sharedSecret, message);
}

} // namespace Rhubarbwind
