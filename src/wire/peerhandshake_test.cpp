#include "wire/peerhandshake.h"

#include <optional>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

const HostId hostA{"muc-nord-1"};
const HostId hostB{"augsburg-2"};

PeerHandshake dialler(const HostId &self = hostA, const HostId &expected = hostB, const std::string &secret = "secret")
{
    return PeerHandshake({HandshakeRole::Dialler, self, {"127.0.0.1", 4000}, secret, expected}, freshChallenge());
}

PeerHandshake acceptor(const HostId &self = hostB, const std::string &secret = "secret")
{
    return PeerHandshake({HandshakeRole::Acceptor, self, {"127.0.0.2", 4000}, secret, HostId()}, freshChallenge());
}

/** Exchanges frames until nothing is left to send or a side refuses; returns the first refusal. */
std::optional<HandshakeError> exchange(PeerHandshake &from, PeerHandshake &to)
{
    std::vector<HandshakeFrame> frames = from.begin();
    PeerHandshake *sender = &from;
    PeerHandshake *receiver = &to;
    while (!frames.empty()) {
        std::vector<HandshakeFrame> answers;
        for (const HandshakeFrame &frame : frames) {
            Result<std::vector<HandshakeFrame>, HandshakeError> answer = receiver->receive(frame.kind, frame.payload);
            if (!answer) {
                return answer.error();
            }
            answers.insert(answers.end(), answer.value().begin(), answer.value().end());
        }
        frames = std::move(answers);
        std::swap(sender, receiver);
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a handshake proves both sides or neither")
{
    struct Row
    {
        const char *fault;
        PeerHandshake dialling;
        PeerHandshake accepting;
        std::optional<HandshakeError> refusal;
    };
    std::vector<Row> rows;
    rows.push_back({"none", dialler(), acceptor(), std::nullopt});
    rows.push_back({"dialler has another secret", dialler(hostA, hostB, "guess"), acceptor(), HandshakeError::WrongProof});
    rows.push_back({"acceptor has another secret", dialler(), acceptor(hostB, "guess"), HandshakeError::WrongProof});
    rows.push_back({"another host listens at the address", dialler(), acceptor(HostId("replacement")), HandshakeError::WrongHost});
    rows.push_back({"a host dials itself", dialler(hostB, hostB), acceptor(), HandshakeError::WrongHost});
    rows.push_back({"a host without a name", dialler(HostId()), acceptor(), HandshakeError::Malformed});
    for (Row &row : rows) {
        CAPTURE(row.fault);
        CHECK(exchange(row.dialling, row.accepting) == row.refusal);
        CHECK(row.dialling.done() == !row.refusal.has_value());
        CHECK(row.accepting.done() == !row.refusal.has_value());
    }
}

// A stranger who has listened to one handshake would pass as a host of the fleet: it replays the recorded
// frames to an acceptor, or sends a dialler's own proof back to it. Fresh challenges make the first proof
// worthless, the role within the digest the second.
TEST_CASE("a recorded or reflected proof is worth nothing")
{
    PeerHandshake first = dialler();
    PeerHandshake listener = acceptor();
    const HandshakeFrame hello = first.begin().front();
    const HandshakeFrame listenerHello = listener.receive(hello.kind, hello.payload).value().front();
    const HandshakeFrame proof = first.receive(listenerHello.kind, listenerHello.payload).value().front();

    PeerHandshake replayed = acceptor();
    REQUIRE(replayed.receive(hello.kind, hello.payload));
    CHECK(replayed.receive(proof.kind, proof.payload).error() == HandshakeError::WrongProof);
    CHECK(first.receive(proof.kind, proof.payload).error() == HandshakeError::WrongProof);
    CHECK(listener.receive(MessageKind::Hello, hello.payload).error() == HandshakeError::UnexpectedKind);
}

TEST_CASE("arbitrary, changed or truncated handshake bytes prove nothing")
{
    rc::prop("never done without the right proof", [] {
        PeerHandshake listener = acceptor();
        PeerHandshake caller = dialler();
        std::vector<std::byte> payload = caller.begin().front().payload;
        const bool arbitrary = *rc::gen::arbitrary<bool>();
        if (arbitrary) {
            const std::vector<std::uint8_t> bytes = *rc::gen::arbitrary<std::vector<std::uint8_t>>();
            const std::span<const std::byte> view = std::as_bytes(std::span(bytes));
            payload.assign(view.begin(), view.end());
        }
        payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size() + 1));
        if (!payload.empty()) {
            payload[*rc::gen::inRange<std::size_t>(0, payload.size())] ^= std::byte(*rc::gen::inRange(0, 256));
        }
        (void)listener.receive(MessageKind::Hello, payload);
        (void)listener.receive(MessageKind::HelloProof, payload);
        RC_ASSERT(!listener.done());
    });
}
