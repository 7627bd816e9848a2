// Messages of callers and endpoints, cut in segments at any byte and ended after any byte, over real sockets.

#include "base/messageparts_test.h"
#include "relay/endpointexchange.h"
#include "relay/relaybench_test.h"

using namespace Rhubarbwind;
using namespace Rhubarbwind::RelayBench;
using namespace Rhubarbwind::MessageParts;

namespace
{

using Tcp = asio::ip::tcp;

/** A server that keeps the body of each request and answers it at once, and one caller. */
struct CalledServer
{
    CalledServer()
        : server(io,
                 {},
                 [this](const HttpRequest &request, const std::shared_ptr<HttpExchange> &exchange) {
                     bodies.push_back(request.body());
                     HttpResponse response(http::status::ok, 11);
                     response.body() = "ok";
                     exchange->respond(std::move(response));
                 })
        , caller(io)
    {
        ManualClock::reset();
        REQUIRE(server.listen());
        connect();
    }
    void connect()
    {
        caller = Tcp::socket(io);
        caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    }

    asio::io_context io;
    std::vector<std::string> bodies;
    HttpServer<ManualClock> server;
    Tcp::socket caller;
};

std::string post(const FramedBody &body)
{
    return "POST / HTTP/1.1\r\nHost: h\r\n" + body.fields + "\r\n" + body.bytes;
}

/** An endpoint's end of an exchange. */
struct CalledEndpoint
{
    CalledEndpoint()
        : acceptor(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , endpoint(io)
        , exchange(EndpointExchange<ManualClock>::create(io))
    {
        ManualClock::reset();
        ExchangeEvents events;
        events.onHeader = [this](const EndpointHeader &) { ++heads; };
        events.onBody = [this](std::string_view bytes) { body += bytes; };
        events.onEnd = [this](ExchangeEnd how) { ends.push_back(how); };
        exchange->start({"127.0.0.1", acceptor.local_endpoint().port()}, EndpointExchange<ManualClock>::Request(http::verb::get, "/", 11), {}, events);
        acceptor.accept(endpoint);
        runUntil(io, [this] { return endpoint.available() > 0; });
    }
    ~CalledEndpoint()
    {
        endConnection(endpoint, PeerEnd::Reset);
        exchange->cancel();
        io.restart();
        io.poll();
    }
    CalledEndpoint(const CalledEndpoint &) = delete;
    CalledEndpoint &operator=(const CalledEndpoint &) = delete;

    asio::io_context io;
    Tcp::acceptor acceptor;
    Tcp::socket endpoint;
    std::shared_ptr<EndpointExchange<ManualClock>> exchange;
    int heads = 0;
    std::string body;
    std::vector<ExchangeEnd> ends;
};

} // namespace

TEST_CASE("A request to the server is read whole however it is cut in segments", "[relay][http]")
{
    // Failure: a legal request with an empty body in chunks, cut within its last five bytes, ended the host by an assertion of the parser.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = post(body);
    CalledServer called;
    for (const std::vector<std::size_t> &cut : messageCuts(bytes.size(), bytes.size() - body.bytes.size())) {
        INFO(body.name << " cut at " << cut.front() << " and " << cut.back() << " of " << bytes.size() << " bytes");
        called.bodies.clear();
        sendSegments(called.io, called.caller, bytes, cut);
        REQUIRE(MessageParts::runUntil(called.io, [&] { return called.bodies == std::vector<std::string>{body.content}; }));
    }
}

TEST_CASE("A caller that ends its connection after any byte ends its own request alone", "[relay][http]")
{
    // Failure: an assertion of the parser about the bytes that arrived before the end ended the host.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const PeerEnd how = GENERATE(PeerEnd::Close, PeerEnd::Reset);
    const std::string bytes = post(body);
    CalledServer called;
    for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
        sendSegments(called.io, called.caller, std::string_view(bytes).substr(0, sent), {});
        endConnection(called.caller, how);
        // A partial request is answered with 400 before the server closes.
        called.connect();
    }
    REQUIRE(called.bodies.empty());
    sendSegments(called.io, called.caller, bytes, {});
    REQUIRE(MessageParts::runUntil(called.io, [&] { return called.bodies.size() == 1; }));
}

TEST_CASE("An endpoint's answer to a relayed request is read however it is cut or ended", "[relay][http]")
{
    // Failure: an assertion of the parser on an empty body in chunks, whose last chunk and end arrive in different segments, ended the host.
    std::vector<FramedBody> bodies = framedBodies();
    bodies.push_back(closeDelimitedBody());
    const FramedBody body = GENERATE_COPY(from_range(bodies));
    const std::string bytes = "HTTP/1.1 200 OK\r\n" + body.fields + "\r\n" + body.bytes;
    const std::size_t headEnd = bytes.size() - body.bytes.size();
    for (const std::vector<std::size_t> &cut : cutsOf(bytes.size(), headEnd)) {
        INFO(body.name << " cut at " << cut.front() << " and " << cut.back() << " of " << bytes.size() << " bytes");
        CalledEndpoint called;
        sendSegments(called.io, called.endpoint, bytes, cut);
        endConnection(called.endpoint, PeerEnd::Close);
        REQUIRE(MessageParts::runUntil(called.io, [&] { return !called.ends.empty(); }));
        REQUIRE(called.ends == std::vector<ExchangeEnd>{ExchangeEnd::Whole});
        REQUIRE(called.body == body.content);
    }
    for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
        INFO(body.name << " ended after " << sent << " of " << bytes.size() << " bytes");
        CalledEndpoint called;
        sendSegments(called.io, called.endpoint, std::string_view(bytes).substr(0, sent), {});
        endConnection(called.endpoint, PeerEnd::Close);
        REQUIRE(MessageParts::runUntil(called.io, [&] { return !called.ends.empty(); }));
        REQUIRE((called.ends.front() == ExchangeEnd::Whole) == (body.endsWithConnection && sent >= headEnd));
    }
}

TEST_CASE("An endpoint's answer to a relayed request is no answer with a status or a field's name that is none", "[relay][http]")
{
    // Failure: an answer with the status 000 was passed on, and a malformed line of the head was taken for the framing of the body.
    std::vector<std::string> heads;
    for (const std::string status : {"000", "099", "100", "600", "999"}) {
        heads.push_back("HTTP/1.1 " + status + " Odd\r\n");
    }
    for (const std::string &line : malformedFieldLines()) {
        heads.push_back("HTTP/1.1 200 OK\r\n" + line);
        heads.push_back("HTTP/1.1 200 OK\r\nX: y\r\n" + line);
    }
    const std::string head = GENERATE_COPY(from_range(heads));
    for (const FramedBody &body : framedBodies()) {
        INFO(head << body.name);
        CalledEndpoint called;
        sendSegments(called.io, called.endpoint, head + body.fields + "\r\n" + body.bytes, {});
        endConnection(called.endpoint, PeerEnd::Close);
        REQUIRE(MessageParts::runUntil(called.io, [&] { return !called.ends.empty(); }));
        CHECK(called.ends == std::vector<ExchangeEnd>{ExchangeEnd::Broken});
        CHECK(called.heads == 0);
    }
}
