// Answers of the platform and of endpoints' status pages, cut in segments at any byte and ended after any byte, over real sockets.

#include "base/messageparts_test.h"
#include "platform/clientexchange.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::MessageParts;

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using Exchange = ClientExchange<SteadyClock>;

struct CalledServer
{
    CalledServer()
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , server(io)
        , exchange(std::make_shared<Exchange>(io.get_executor(), acceptor.local_endpoint(), std::size_t{1} << 20))
    {
        exchange->start({}, 10s, 10s, [this](Result<HttpAnswer, ExchangeError> answer) { results.push_back(std::move(answer)); });
        acceptor.accept(server);
        runUntil(io, [this] { return server.available() > 0; });
    }
    ~CalledServer()
    {
        endConnection(server, PeerEnd::Reset);
        exchange->close();
        io.restart();
        io.run();
    }
    CalledServer(const CalledServer &) = delete;
    CalledServer &operator=(const CalledServer &) = delete;

    asio::io_context io;
    tcp::acceptor acceptor;
    tcp::socket server;
    std::shared_ptr<Exchange> exchange;
    std::vector<Result<HttpAnswer, ExchangeError>> results;
};

std::string answerWith(const FramedBody &body)
{
    return "HTTP/1.1 200 OK\r\n" + body.fields + "\r\n" + body.bytes;
}

} // namespace

TEST_CASE("an answer to a call is read whole however it is cut in segments")
{
    // Failure: an assertion of the parser on an empty body in chunks, whose last chunk and end arrive in different segments, ended the host.
    const FramedBody body = GENERATE(from_range(framedBodies()));
    const std::string bytes = answerWith(body);
    for (const std::vector<std::size_t> &cut : messageCuts(bytes.size(), bytes.size() - body.bytes.size())) {
        INFO(body.name << " cut at " << cut.front() << " and " << cut.back() << " of " << bytes.size() << " bytes");
        CalledServer call;
        sendSegments(call.io, call.server, bytes, cut);
        REQUIRE(runUntil(call.io, [&] { return call.results.size() == 1; }));
        REQUIRE(call.results.front().has_value());
        REQUIRE(call.results.front().value().body == body.content);
        REQUIRE(call.exchange->isReusable());
    }
}

TEST_CASE("a connection that ends after any byte of an answer ends its own call alone")
{
    // Failure: an assertion of the parser about the bytes that arrived before the end ended the host.
    std::vector<FramedBody> bodies = framedBodies();
    bodies.push_back(closeDelimitedBody());
    const FramedBody body = GENERATE_COPY(from_range(bodies));
    const PeerEnd how = GENERATE(PeerEnd::Close, PeerEnd::Reset);
    const std::string bytes = answerWith(body);
    for (std::size_t sent = 0; sent < bytes.size(); ++sent) {
        INFO(body.name << " end " << static_cast<int>(how) << " after " << sent << " of " << bytes.size() << " bytes");
        CalledServer call;
        sendSegments(call.io, call.server, std::string_view(bytes).substr(0, sent), {});
        endConnection(call.server, how);
        REQUIRE(runUntil(call.io, [&] { return call.results.size() == 1; }));
        const bool isWhole = body.endsWithConnection && how == PeerEnd::Close && sent >= bytes.size() - body.bytes.size();
        REQUIRE(call.results.front().has_value() == isWhole);
        REQUIRE((isWhole || call.results.front().error() == ExchangeError::NoAnswer));
    }
}

TEST_CASE("an answer with a trailer too large for the parser's container ends its own call alone")
{
    // Failure: Beast throws for a field of 64 KB or more in a trailer; the exception ended the host.
    const std::string trailer = "X: " + std::string(GENERATE(std::size_t{65'534}, std::size_t{200'000}), 'y') + "\r\n";
    CalledServer call;
    const std::string bytes = answerWith({"", "Transfer-Encoding: chunked\r\n", "0\r\n" + trailer + "\r\n", ""});
    sendSegments(call.io, call.server, bytes, {16'000, 32'000, 48'000, 64'000});
    REQUIRE(runUntil(call.io, [&] { return call.results.size() == 1; }));
    CHECK(call.results.front().has_error());
}
