// Contract tests over real sockets on 127.0.0.1 with virtual time: time limits expire only when a test advances the clock.

#include "wire/peerconnection.h"
#include "wire/peernetwork.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

using TestNetwork = PeerNetwork<ManualClock>;

const HostId left{"left"};
const HostId right{"right"};
constexpr Duration beat = 500ms;

PeerNetworkOptions optionsFor(const HostId &self, const std::string &secret = "secret")
{
    PeerNetworkOptions options;
    options.self = self;
    options.listen = {"127.0.0.1", 0};
    options.sharedSecret = secret;
    return options;
}

std::vector<std::byte> bytesOf(std::string_view text)
{
    const std::span<const std::byte> view = std::as_bytes(std::span(text));
    return {view.begin(), view.end()};
}

/** Runs the loop until the condition holds. The time limit is reached only if the test hangs. */
template <class Condition>
bool runUntil(boost::asio::io_context &context, Condition condition)
{
    const SteadyClock::time_point bound = SteadyClock::now() + 20s;
    while (!condition() && SteadyClock::now() < bound) {
        if (context.poll() == 0) {
            std::this_thread::sleep_for(200us);
        }
    }
    return condition();
}

/** Advances virtual time in small steps until the condition holds. */
template <class Condition>
bool advanceUntil(boost::asio::io_context &context, Condition condition)
{
    return runUntil(context, [&] {
        if (condition()) {
            return true;
        }
        ManualClock::advance(beat / 10);
        context.poll();
        std::this_thread::sleep_for(1ms);
        return condition();
    });
}

struct Node
{
    Node(boost::asio::io_context &context, const HostId &self, const std::string &secret = "secret")
        : network(context, optionsFor(self, secret))
    {
        REQUIRE(network.start());
        network.onFrame(MessageKind::StatusQuery, [this](const HostId &from, std::span<const std::byte> payload) {
            received.push_back(from.text() + ":" + std::string(reinterpret_cast<const char *>(payload.data()), payload.size()));
        });
        network.onLink([this](const HostId &, LinkState state) { states.push_back(state); });
    }
    PeerAddress address() const
    {
        return {"127.0.0.1", network.listenPort()};
    }

    TestNetwork network;
    std::vector<std::string> received;
    std::vector<LinkState> states;
};

/** A listener that completes the handshake and then sends nothing, while its TCP connection stays open. */
struct SilentPeer
{
    explicit SilentPeer(boost::asio::io_context &context)
        : acceptor(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        acceptor.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            REQUIRE(!error);
            const PeerConnectionOptions options{{HandshakeRole::Acceptor, right, {}, "secret", HostId()}, beat, 2s};
            const PeerConnectionEvents events{[] {}, [](const Frame &) {}, [](MessageKind, std::size_t) {}, [this](CloseReason) { closed = true; }};
            connection = std::make_shared<PeerConnection<ManualClock>>(std::move(socket), options, events);
            connection->run();
        });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    std::shared_ptr<PeerConnection<ManualClock>> connection;
    bool closed = false;
};

} // namespace

TEST_CASE("frames arrive whole and in order, and both hosts may dial at once")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    a.network.setAddress(right, b.address());
    b.network.setAddress(left, a.address());
    std::vector<std::string> expected;
    for (int i = 0; i < 200; ++i) {
        REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf(std::to_string(i))));
        REQUIRE(b.network.send(left, MessageKind::StatusQuery, bytesOf(std::to_string(i))));
        expected.push_back("left:" + std::to_string(i));
    }
    const std::string large(maxPayloadBytes, 'x');
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf(large)));
    expected.push_back("left:" + large);
    REQUIRE(runUntil(context, [&] { return b.received.size() == expected.size() && a.received.size() == 200; }));
    CHECK(b.received == expected);
    CHECK(a.network.counters().peers.at(right).framesOut == expected.size());
    CHECK(b.network.counters().peers.at(left).bytesIn == a.network.counters().peers.at(right).bytesOut);
}

TEST_CASE("a host can answer a host that membership does not know, and send to itself")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    b.network.onFrame(MessageKind::StatusAnswer,
                      [&](const HostId &from, std::span<const std::byte>) { CHECK(b.network.send(from, MessageKind::StatusQuery, bytesOf("answer"))); });
    a.network.setAddress(right, b.address());
    REQUIRE(a.network.send(right, MessageKind::StatusAnswer, {}));
    REQUIRE(a.network.send(left, MessageKind::StatusQuery, bytesOf("self")));
    CHECK(a.received.empty());
    REQUIRE(runUntil(context, [&] { return a.received.size() == 2; }));
    CHECK(a.received.front() == "left:self");
    CHECK(a.received.back() == "right:answer");
}

TEST_CASE("send fails for unknown hosts, large payloads and a full queue")
{
    boost::asio::io_context context;
    Node a(context, left);
    CHECK(a.network.send(right, MessageKind::StatusQuery, {}).error() == SendError::UnknownHost);
    a.network.setAddress(right, {"127.0.0.1", 1});
    CHECK(a.network.send(right, MessageKind::StatusQuery, std::vector<std::byte>(maxPayloadBytes + 1)).error() == SendError::PayloadTooLarge);
    CHECK(a.network.send(right, MessageKind::StatusQuery, std::vector<std::byte>(maxPayloadBytes - frameHeaderBytes)));
    CHECK(a.network.send(right, MessageKind::StatusQuery, std::vector<std::byte>(maxPayloadBytes - frameHeaderBytes)));
    CHECK(a.network.send(right, MessageKind::StatusQuery, {}).error() == SendError::QueueFull);
    REQUIRE(runUntil(context, [&] { return !a.states.empty(); }));
    CHECK(a.states.front() == LinkState::Down);
    CHECK(a.network.counters().peers.at(right).framesDropped == 2);
    CHECK(a.network.send(right, MessageKind::StatusQuery, {}));
}

TEST_CASE("a host without the secret gets no frame through in either direction")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node unauthenticated(context, right, "guess");
    a.network.setAddress(right, unauthenticated.address());
    unauthenticated.network.setAddress(left, a.address());
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("private")));
    REQUIRE(unauthenticated.network.send(left, MessageKind::StatusQuery, bytesOf("forged")));
    REQUIRE(runUntil(context, [&] { return !a.states.empty() && a.network.counters().handshakesRefused > 0; }));
    CHECK(a.states == std::vector<LinkState>{LinkState::Down});
    CHECK(a.received.empty());
    CHECK(unauthenticated.received.empty());
}

// Guards against callers' requests that wait forever: a device between two hosts has dropped its state of their connection, so nothing arrives and
// nothing fails, while new connections work. Only the missing heartbeat shows it; the link must be dropped and a new one dialled.
TEST_CASE("a link that went silent is dropped and a new one works")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    SilentPeer silent(context);
    a.network.setAddress(right, {"127.0.0.1", silent.acceptor.local_endpoint().port()});
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("lost")));
    REQUIRE(runUntil(context, [&] { return !a.states.empty(); }));
    REQUIRE(a.states.back() == LinkState::Up);

    const TimePoint wentSilent = ManualClock::now();
    REQUIRE(advanceUntil(context, [&] { return a.states.back() == LinkState::Down; }));
    CHECK(ManualClock::now() - wentSilent <= 2s + 2 * beat);
    CHECK(a.network.counters().silentLinks == 1);
    a.network.setAddress(right, b.address());
    REQUIRE(advanceUntil(context, [&] { return a.states.back() == LinkState::Up; }));
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("again")));
    REQUIRE(runUntil(context, [&] { return !b.received.empty(); }));
    CHECK(b.received == std::vector<std::string>{"left:again"});
}

// A host that was paused for longer than the silence limit finds that every link was last read long ago, before it has read what its peers sent in
// the meantime. If it checked for silence at once, all its links would drop with their queued frames. Callers must not notice the pause.
TEST_CASE("a host that was itself stalled does not drop its links for it")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    a.network.setAddress(right, b.address());
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("one")));
    REQUIRE(runUntil(context, [&] { return !b.received.empty(); }));
    ManualClock::advance(1min - beat);
    for (int i = 0; i < 40; ++i) {
        ManualClock::advance(beat / 100);
        context.poll();
        std::this_thread::sleep_for(1ms);
    }
    CHECK(a.states == std::vector<LinkState>{LinkState::Up});
    CHECK(a.network.counters().peers.at(right).linkDrops == 0);
}

TEST_CASE("an idle link is closed without a report and reopened by the next send")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    a.network.setAddress(right, b.address());
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("one")));
    REQUIRE(runUntil(context, [&] { return !b.received.empty(); }));
    const TimePoint idleSince = ManualClock::now();
    REQUIRE(advanceUntil(context, [&] { return ManualClock::now() - idleSince > 61s; }));
    const std::uint64_t heartbeats = a.network.counters().peers.at(right).framesOut;
    REQUIRE(advanceUntil(context, [&] { return ManualClock::now() - idleSince > 65s; }));
    CHECK(a.network.counters().peers.at(right).framesOut == heartbeats);
    REQUIRE(a.network.send(right, MessageKind::StatusQuery, bytesOf("two")));
    REQUIRE(runUntil(context, [&] { return b.received.size() == 2; }));
    CHECK(a.states == std::vector<LinkState>{LinkState::Up});
}

// Guards against frames that reach the wrong host: a host is replaced at its address while links to the former host still redial. The host name in
// the handshake distinguishes the two.
TEST_CASE("a replacement at the same address gets no frames meant for the former host")
{
    boost::asio::io_context context;
    Node a(context, left);
    Node b(context, right);
    a.network.setAddress(HostId("former"), b.address());
    REQUIRE(a.network.send(HostId("former"), MessageKind::StatusQuery, bytesOf("not for you")));
    REQUIRE(runUntil(context, [&] { return !a.states.empty(); }));
    CHECK(a.states.back() == LinkState::Down);
    CHECK(b.received.empty());
    a.network.forget(HostId("former"));
    CHECK(a.network.send(HostId("former"), MessageKind::StatusQuery, {}).error() == SendError::UnknownHost);
}
