#include "membership/membershipmessage.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

std::string arbitraryText(std::size_t shortest)
{
    return std::string(*rc::gen::inRange<std::size_t>(shortest, maxMembershipText + 1), 'x');
}

Member arbitraryMember()
{
    Member member;
    member.host = HostId(arbitraryText(1));
    member.address = {arbitraryText(1), *rc::gen::inRange<std::uint16_t>(1, 65535)};
    member.domain = FailureDomain(arbitraryText(0));
    member.state = MemberState(*rc::gen::inRange(0, 3));
    member.leaving = *rc::gen::arbitrary<bool>();
    member.incarnation = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint32_t>()};
    member.presetVersion = *rc::gen::arbitrary<std::uint64_t>();
    return member;
}

MembershipMessage arbitraryMessage()
{
    MembershipMessage message;
    message.kind = MembershipMessageKind(*rc::gen::inRange(0, 5));
    message.sequence = *rc::gen::arbitrary<std::uint64_t>();
    message.target = HostId(arbitraryText(0));
    message.targetAddress = {arbitraryText(0), *rc::gen::arbitrary<std::uint16_t>()};
    message.digest = *rc::gen::arbitrary<std::uint64_t>();
    message.sender = arbitraryMember();
    std::size_t bytes = encodedBytesBound(message);
    for (Member member = arbitraryMember(); bytes + encodedBytesBound(member) <= maxDatagramBytes; member = arbitraryMember()) {
        bytes += encodedBytesBound(member);
        message.members.push_back(member);
    }
    for (EndpointFact fact{EndpointId(arbitraryText(1)), 7, true}; bytes + encodedBytesBound(fact) <= maxDatagramBytes;) {
        bytes += encodedBytesBound(fact);
        message.endpoints.push_back(fact);
    }
    return message;
}

} // namespace

TEST_CASE("a datagram filled to its bound is within the size and comes out as it went in")
{
    rc::prop("round trip", [] {
        const MembershipMessage message = arbitraryMessage();
        const Result<std::vector<std::byte>, DatagramError> datagram = encodeDatagram(message, "secret");
        RC_ASSERT(datagram.has_value());
        RC_ASSERT(datagram.value().size() <= maxDatagramBytes);
        const Result<MembershipMessage, DatagramError> decoded = decodeDatagram(datagram.value(), "secret");
        RC_ASSERT(decoded.has_value());
        RC_ASSERT((decoded.value() == message));
    });
}

TEST_CASE("arbitrary, truncated, changed or foreign datagrams are refused")
{
    rc::prop("never decoded", [] {
        std::vector<std::byte> datagram = encodeDatagram(arbitraryMessage(), "secret").value();
        RC_ASSERT(decodeDatagram(datagram, "other").error() == DatagramError::WrongTag);
        const std::size_t kept = *rc::gen::inRange<std::size_t>(0, datagram.size());
        RC_ASSERT(!decodeDatagram(std::span(datagram).first(kept), "secret"));
        datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())] ^= std::byte(*rc::gen::inRange(1, 256));
        RC_ASSERT(!decodeDatagram(datagram, "secret"));
        const std::vector<std::uint8_t> bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
        RC_ASSERT(!decodeDatagram(std::as_bytes(std::span(bytes)), "secret"));
    });
}
