// Messages of endpoints and callers, cut in segments at any byte and ended after any byte, over real sockets.

#include "base/messageparts_test.h"
#include "gateway/callerconnection.h"
#include "gateway/endpointconnection.h"
#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::MessageParts;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string own = "X-Request-Id: own\r\n";

std::string answer(const FramedBody &body, const std::string &id = own)
{
    return "HTTP/1.1 200 OK\r\n" + id + body.fields + "\r\n" + body.bytes;
}

/** What an endpoint sends before the expected answer. */
std::vector<std::string> skippedMessages()
{
    const std::string extra = "X-Request-Id: other\r\n";
    const std::vector<FramedBody> bodies = framedBodies();
    const std::string informational = "HTTP/1.1 102 Processing\r\n\r\n";
    std::vector<std::string> all{"", informational, informational + informational, "HTTP/1.1 204 None\r\n" + extra + "\r\n"};
    for (const FramedBody &body : bodies) {
        all.push_back(answer(body, extra));
    }
    all.push_back(all.back() + answer(bodies[1], extra) + informational);
    all.push_back("HTTP/1.1 503 Full\r\n" + extra + "Content-Length: 4\r\n\r\nfull");
    return all;
}

/** An endpoint's end of a connection that has received a request, and the reply as the host reports it. */
struct EndpointExchange
{
    /** @param requestBodyBytes as much of it is sent as the sockets' buffers take */
    explicit EndpointExchange(bool hasNoBody = false, std::size_t requestBodyBytes = 0)
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , endpoint(io)
        , connection(std::make_shared<EndpointConnection>(io))
        , requestBody(requestBodyBytes, 'x')
    {
        bool isSent = false;
        connection->connect("127.0.0.1", acceptor.local_endpoint().port(), [&](ConnectEnd) {
            send(hasNoBody);
            isSent = true;
        });
        acceptor.accept(endpoint);
        runUntil(io, [&] { return isSent; });
    }
    ~EndpointExchange()
    {
        endConnection(endpoint, PeerEnd::Reset);
        connection->cancel();
        io.restart();
        io.poll();
    }
    EndpointExchange(const EndpointExchange &) = delete;
    EndpointExchange &operator=(const EndpointExchange &) = delete;

    void send(bool hasNoBody)
    {
        ReplyEvents events;
        events.onHead = [this](const EndpointResponse &) {
            ++heads;
            at("head");
        };
        events.onBody = [this](std::string_view bytes) {
            body += bytes;
            at("body");
        };
        events.onStray = [this](const EndpointResponse &) { at("stray"); };
        events.onEnd = [this](ReplyEnd how) { ends.push_back(how); };
        connection->send("GET / HTTP/1.1\r\n\r\n" + requestBody, {"X-Request-Id", "own", hasNoBody}, std::move(events));
    }
    void at(const std::string &event) const
    {
        if (onEvent) {
            onEvent(event);
        }
    }
    bool isReusable() const
    {
        return connection->isIdle() && connection->keepsAlive();
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    tcp::socket endpoint;
    std::shared_ptr<EndpointConnection> connection;
    std::string requestBody;
    std::function<void(const std::string &)> onEvent;
    int heads = 0;
    std::string body;
    std::vector<ReplyEnd> ends;
};

/** Keeps the body of each request and answers it at once. */
struct EchoOwner : CallerOwner
{
    TimePoint now() const override
    {
        return SteadyClock::now();
    }
    RouteLimits callerLimits() const override
    {
        return limits;
    }
    bool isStopping() const override
    {
        return false;
    }
    void requestReceived(const std::shared_ptr<CallerConnection> &connection, GatewayRequest request) override
    {
        bodies.push_back(request.body());
        connection->answer({}, "ok");
    }
    void connectionClosed(CallerConnection * /*connection*/) override
    {
        ++closed;
    }

    RouteLimits limits;
    std::vector<std::string> bodies;
    int closed = 0;
};

struct CallerExchange
{
    CallerExchange()
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , caller(io)
        , owner(std::make_shared<EchoOwner>())
    {
        connect();
    }
    void connect()
    {
        caller = tcp::socket(io);
        caller.connect(acceptor.local_endpoint());
        std::make_shared<CallerConnection>(acceptor.accept(), owner)->start();
    }
    std::string received()
    {
        std::array<char, 8192> bytes{};
        boost::system::error_code ignored;
        return {bytes.data(), caller.read_some(asio::buffer(bytes), ignored)};
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    tcp::socket caller;
    std::shared_ptr<EchoOwner> owner;
};

/** Cuts for a long message, so that each segment fits into the socket's buffers. */
std::vector<std::size_t> cutsEvery(std::size_t size)
{
    constexpr std::size_t segmentBytes = 8000;
    std::vector<std::size_t> cuts;
    for (std::size_t cut = segmentBytes; cut < size; cut += segmentBytes) {
        cuts.push_back(cut);
    }
    return cuts;
}

std::string post(const FramedBody &body)
{
    return "POST / HTTP/1.1\r\nHost: h\r\n" + body.fields + "\r\n" + body.bytes;
}

} // namespace

TEST_CASE("an endpoint that ends its connection after any byte ends its own reply alone", "[whole-answer]")
{
    // Failure: the end of a connection after an extra or an informational answer was reported to the parser of the next answer, whose assertion ended the
    // host with all its requests.
    const std::string skipped = GENERATE(from_range(skippedMessages()));
    std::vector<FramedBody> bodies = framedBodies();
    bodies.push_back(closeDelimitedBody());
    const FramedBody body = GENERATE_COPY(from_range(bodies));
    const PeerEnd how = GENERATE(PeerEnd::Close, PeerEnd::Reset, PeerEnd::Silence);
    const bool isClosed = how != PeerEnd::Silence;
    const std::string bytes = skipped + answer(body);
    const std::size_t headEnd = bytes.size() - body.bytes.size();
    INFO(body.name << " after: " << skipped);
    // The bytes before the expected answer are the same for all bodies.
    for (std::size_t sent = body.name == bodies.front().name ? 0 : skipped.size(); sent <= bytes.size(); ++sent) {
        INFO("end " << static_cast<int>(how) << " after " << sent << " of " << bytes.size() << " bytes");
        EndpointExchange exchange;
        sendSegments(exchange.io, exchange.endpoint, std::string_view(bytes).substr(0, sent), {});
        endConnection(exchange.endpoint, how);
        const bool isWhole = body.endsWithConnection ? sent >= headEnd && how == PeerEnd::Close : sent == bytes.size();
        const bool isEnded = isWhole || isClosed;
        REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == (isEnded ? 1U : 0U) && exchange.isReusable() == (isWhole && !isClosed); }));
        REQUIRE((!exchange.ends.empty() && exchange.ends.front() == ReplyEnd::Whole) == isWhole);
        REQUIRE(exchange.heads == (sent >= headEnd ? 1 : 0));
        REQUIRE(body.content.starts_with(exchange.body));
    }
}

TEST_CASE("an answer without a length is not whole if its connection is reset while the request is being written", "[whole-answer]")
{
    // Failure: the write took the socket's error, the read after it found an end of file, and a part of an answer was passed on as the whole.
    const bool isReadBefore = GENERATE(true, false);
    constexpr std::size_t moreThanBuffers = std::size_t{32} * 1024 * 1024;
    EndpointExchange exchange(false, moreThanBuffers);
    asio::write(exchange.endpoint, asio::buffer("HTTP/1.1 200 OK\r\n" + own + "\r\npart"));
    if (isReadBefore) {
        REQUIRE(runUntil(exchange.io, [&] { return exchange.body == "part"; }));
    }
    endConnection(exchange.endpoint, PeerEnd::Reset);
    REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 1; }));
    CHECK(exchange.ends.front() == ReplyEnd::Reset);
}

TEST_CASE("an answer whose status is none is malformed", "[whole-answer]")
{
    // Failure: an answer with the status 000 was passed on, or skipped as an informational one.
    const std::string status = GENERATE("000", "001", "099", "600", "999");
    std::vector<FramedBody> bodies = framedBodies();
    bodies.push_back(closeDelimitedBody());
    const FramedBody body = GENERATE_COPY(from_range(bodies));
    INFO(status << ", " << body.name);
    EndpointExchange exchange;
    sendSegments(exchange.io, exchange.endpoint, "HTTP/1.1 " + status + " Odd\r\n" + own + body.fields + "\r\n" + body.bytes, {});
    REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 1; }));
    CHECK(exchange.ends.front() == ReplyEnd::Malformed);
    CHECK(exchange.heads == 0);
}

TEST_CASE("an answer with a field whose name is none is malformed", "[whole-answer]")
{
    // Failure: the line was passed on, or taken for the framing of the body.
    const std::string line = GENERATE(from_range(malformedFieldLines()));
    const bool isFirst = GENERATE(true, false);
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string fields = isFirst ? line + own : own + line;
    const std::string bytes = "HTTP/1.1 200 OK\r\n" + fields + body.fields + "\r\n" + body.bytes;
    INFO(line << ", " << body.name);
    for (const std::size_t cut : {bytes.size(), bytes.find(line) + 1, bytes.find(line) + line.size() - 1, bytes.find(line) + line.size()}) {
        EndpointExchange exchange;
        sendSegments(exchange.io, exchange.endpoint, bytes, cut == bytes.size() ? std::vector<std::size_t>{} : std::vector<std::size_t>{cut});
        REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 1; }));
        CHECK(exchange.ends.front() == ReplyEnd::Malformed);
        CHECK(exchange.heads == 0);
    }
}

TEST_CASE("an endpoint's answer is read whole however it is cut in segments", "[whole-answer]")
{
    // Failure: an assertion of the parser on an empty body in chunks, whose last chunk and end arrive in different segments, ended the host.
    const std::string skipped = GENERATE(from_range(skippedMessages()));
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = skipped + answer(body);
    INFO(body.name << " after: " << skipped);
    const bool isFirst = body.name == framedBodies().front().name;
    // Three segments within the skipped message alone or within the body alone; the heads are long and alike.
    std::vector<std::vector<std::size_t>> cuts = cutsOf(bytes.size(), bytes.size() - body.bytes.size());
    if (isFirst && !skipped.empty()) {
        const std::vector<std::vector<std::size_t>> more = cutsOf(skipped.size(), skipped.find("\r\n\r\n") + 2);
        cuts.insert(cuts.end(), more.begin(), more.end());
    }
    for (std::size_t cut = isFirst ? 1 : skipped.size() + 1; cut < bytes.size(); ++cut) {
        cuts.push_back({cut});
    }
    for (const std::vector<std::size_t> &cut : cuts) {
        INFO("cut at " << cut.front() << " and " << cut.back() << " of " << bytes.size() << " bytes");
        EndpointExchange exchange;
        sendSegments(exchange.io, exchange.endpoint, bytes, cut);
        REQUIRE(exchange.ends == std::vector<ReplyEnd>{ReplyEnd::Whole});
        REQUIRE(exchange.body == body.content);
        REQUIRE(exchange.isReusable());
    }
}

TEST_CASE("an answer that states a body but has none is whole after its head", "[whole-answer]")
{
    // Failure: the parser waited for the body that the head of an answer to HEAD, a 204 or a 304 states.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string status = GENERATE("200 OK", "204 None", "304 Same");
    const std::string bytes = "HTTP/1.1 " + status + "\r\n" + own + body.fields + "\r\n";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        EndpointExchange exchange(status.starts_with("200"));
        sendSegments(exchange.io, exchange.endpoint, bytes, {cut});
        REQUIRE(exchange.ends == std::vector<ReplyEnd>{ReplyEnd::Whole});
        REQUIRE(exchange.isReusable());
    }
}

TEST_CASE("a connection that gets bytes after a whole answer is not used again", "[whole-answer]")
{
    // Failure: bytes that belong to no request were read as the begin of the next answer.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = answer(body);
    const std::string more = answer(framedBodies()[1], "X-Request-Id: other\r\n");
    for (std::size_t cut = bytes.size() - body.bytes.size(); cut <= bytes.size() + more.size(); ++cut) {
        EndpointExchange exchange;
        sendSegments(exchange.io, exchange.endpoint, bytes + more, {cut});
        REQUIRE(exchange.ends == std::vector<ReplyEnd>{ReplyEnd::Whole});
        REQUIRE_FALSE(exchange.isReusable());
    }
}

TEST_CASE("a reply that is cancelled or paused from an event reports nothing that it should not", "[whole-answer]")
{
    // Failure: cancel() within a callback of the parser continues with a parser or with events that are gone.
    const std::string when = GENERATE("stray", "head", "body");
    const bool isCancel = GENERATE(true, false);
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = answer(framedBodies()[1], "X-Request-Id: other\r\n") + answer(body);
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        EndpointExchange exchange;
        exchange.onEvent = [&](const std::string &event) {
            if (event == when) {
                isCancel ? exchange.connection->cancel() : exchange.connection->pause();
            }
        };
        sendSegments(exchange.io, exchange.endpoint, bytes, {cut});
        const bool isReached = when != "body" || !body.content.empty();
        if (isCancel) {
            REQUIRE(exchange.ends.size() == (isReached ? 0U : 1U));
            REQUIRE(exchange.heads == (when == "stray" ? 0 : 1));
            continue;
        }
        exchange.connection->resume();
        REQUIRE(runUntil(exchange.io, [&] { return exchange.ends == std::vector<ReplyEnd>{ReplyEnd::Whole}; }));
        REQUIRE(exchange.body == body.content);
    }
}

TEST_CASE("a caller's request is read whole however it is cut in segments", "[whole-answer]")
{
    // Failure: a legal request with an empty body in chunks, cut within its last five bytes, ended the host with all its requests by an assertion of the
    // parser.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = post(body);
    CallerExchange exchange;
    for (const std::vector<std::size_t> &cut : messageCuts(bytes.size(), bytes.size() - body.bytes.size())) {
        INFO(body.name << " cut at " << cut.front() << " and " << cut.back() << " of " << bytes.size() << " bytes");
        exchange.owner->bodies.clear();
        sendSegments(exchange.io, exchange.caller, bytes, cut);
        REQUIRE(exchange.owner->bodies == std::vector<std::string>{body.content});
        REQUIRE(exchange.received().starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("a caller that ends its connection after any byte ends its own request alone", "[whole-answer]")
{
    // Failure: an assertion of the parser about the bytes that arrived before the end ended the host.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const PeerEnd how = GENERATE(PeerEnd::Close, PeerEnd::Reset, PeerEnd::Silence);
    const std::string bytes = post(body);
    CallerExchange exchange;
    for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
        INFO(body.name << " end " << static_cast<int>(how) << " after " << sent << " of " << bytes.size() << " bytes");
        sendSegments(exchange.io, exchange.caller, std::string_view(bytes).substr(0, sent), {});
        endConnection(exchange.caller, how);
        // All earlier connections have been closed by connect().
        const int closed = static_cast<int>(sent) + (how == PeerEnd::Silence ? 0 : 1);
        REQUIRE(runUntil(exchange.io, [&] { return exchange.owner->closed == closed; }));
        REQUIRE(exchange.owner->bodies.empty());
        exchange.connect();
    }
}

TEST_CASE("a field too large for the parser's container ends its own connection alone", "[whole-answer]")
{
    // Failure: Beast throws for a field of 64 KB or more, in a trailer or under a larger header limit; the exception ended the host.
    const std::size_t size = GENERATE(std::size_t{60'000}, std::size_t{65'534}, std::size_t{200'000});
    const bool isName = GENERATE(true, false);
    const bool isTrailer = GENERATE(true, false);
    const std::string field = isName ? std::string(size, 'x') + ": y\r\n" : "X: " + std::string(size, 'y') + "\r\n";
    const FramedBody body =
        isTrailer ? FramedBody{"", "Transfer-Encoding: chunked\r\n", "0\r\n" + field + "\r\n", ""} : FramedBody{"", field + "Content-Length: 0\r\n", "", ""};
    const bool fits = size == 60'000;
    INFO(size << " bytes in a " << (isName ? "name" : "value") << (isTrailer ? " of a trailer" : ""));
    CallerExchange called;
    called.owner->limits.headerBytes = std::size_t{1} << 20;
    sendSegments(called.io, called.caller, post(body), cutsEvery(size));
    REQUIRE(runUntil(called.io, [&] { return called.caller.available() > 0; }));
    CHECK(called.received().starts_with(fits ? "HTTP/1.1 200" : "HTTP/1.1 431"));
    CHECK(called.owner->bodies.size() == (fits ? 1U : 0U));
    EndpointExchange exchange;
    sendSegments(exchange.io, exchange.endpoint, answer(body), cutsEvery(size));
    REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 1; }));
    CHECK((exchange.ends.front() == ReplyEnd::Whole) == (isTrailer && fits));
}

TEST_CASE("a connection that was paused within its last bytes reads the next answer", "[whole-answer]")
{
    // Failure: an answer that ended within the bytes already read left its connection paused in the pool, and the next request got 504.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    EndpointExchange exchange;
    exchange.onEvent = [&](const std::string &) { exchange.connection->pause(); };
    sendSegments(exchange.io, exchange.endpoint, answer(body), {});
    REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 1; }));
    REQUIRE(exchange.isReusable());
    exchange.onEvent = nullptr;
    exchange.send(false);
    sendSegments(exchange.io, exchange.endpoint, answer(body), {});
    REQUIRE(runUntil(exchange.io, [&] { return exchange.ends.size() == 2; }));
    REQUIRE(exchange.isReusable());
}
