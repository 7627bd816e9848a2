#pragma once

// HTTP messages in all framings, and their delivery in segments cut at any byte.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind::MessageParts
{

/** A body as its sender writes it, and what its receiver should make of it. */
struct FramedBody
{
    std::string name;
    std::string fields; ///< that state the framing
    std::string bytes;
    std::string content;
    bool endsWithConnection = false;
};

inline std::vector<FramedBody> framedBodies()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {
        {"empty, with a length", "Content-Length: 0\r\n", "", ""},
        {"with a length", "Content-Length: 5\r\n", "hello", "hello"},
        {"empty, in chunks", chunked, "0\r\n\r\n", ""},
        {"empty, in chunks, with a trailer", chunked, "0\r\nX: y\r\n\r\n", ""},
        {"empty, in chunks, with an extension", chunked, "0;e=v\r\n\r\n", ""},
        {"empty, in chunks, several zeros", chunked, "000\r\n\r\n", ""},
        {"empty, in chunks, two zeros", chunked, "00\r\n\r\n", ""},
        {"one chunk", chunked, "5\r\nhello\r\n0\r\n\r\n", "hello"},
        {"chunks that contain a last chunk", chunked, "3\r\n0\r\n\r\n4\r\n0\r\n\r\r\n0\r\n\r\n", "0\r\n0\r\n\r"},
        {"chunks with extensions and trailers", chunked, "1;a=\"b\"\r\nh\r\n4\r\nello\r\n0\r\nX: y\r\nZ: z\r\n\r\n", "hello"},
    };
}

/** Lines of a head that are no field, since their names hold a byte that no name may hold. */
inline std::vector<std::string> malformedFieldLines()
{
    std::vector<std::string> lines{" X-Odd: y\r\n",
                                   "\tX-Odd: y\r\n",
                                   "X-Odd : y\r\n",
                                   "X Odd: y\r\n",
                                   "X\tOdd: y\r\n",
                                   ": y\r\n",
                                   "X-Odd\r\n",
                                   " Content-Length: 1\r\n",
                                   "Content-Length : 1\r\n",
                                   "Content Length: 1\r\n",
                                   "Transfer-Encoding : chunked\r\n"};
    for (const char control : {'\0', '\x01', '\x0b', '\x1f', '\x7f'}) {
        lines.push_back(std::string("X-Od") + control + "d: y\r\n");
        lines.push_back(std::string("Content-Length") + control + ": 1\r\n");
    }
    return lines;
}

inline FramedBody closeDelimitedBody()
{
    return {"ended by the connection", "", "hello", "hello", true};
}

/** Each way to cut the bytes from `first` on in two or three segments. */
inline std::vector<std::vector<std::size_t>> cutsOf(std::size_t size, std::size_t first)
{
    std::vector<std::vector<std::size_t>> cuts;
    for (std::size_t one = first; one < size; ++one) {
        cuts.push_back({one});
        for (std::size_t two = one + 1; two < size; ++two) {
            cuts.push_back({one, two});
        }
    }
    return cuts;
}

/** Each way to cut a message once, and its body, which begins at `body`, also in three segments. */
inline std::vector<std::vector<std::size_t>> messageCuts(std::size_t size, std::size_t body)
{
    std::vector<std::vector<std::size_t>> cuts = cutsOf(size, body);
    for (std::size_t cut = 1; cut < size; ++cut) {
        cuts.push_back({cut});
    }
    return cuts;
}

/** Runs what is ready until the condition holds. @return false if it does not hold within a second */
inline bool runUntil(boost::asio::io_context &io, const std::function<bool()> &condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    while (true) {
        io.restart();
        while (io.poll() > 0) { }
        if (condition()) {
            return true;
        }
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
    }
}

/** Writes each segment after the one before it has been read. The other end may close the connection, or not read, meanwhile. */
inline void sendSegments(boost::asio::io_context &io, boost::asio::ip::tcp::socket &socket, std::string_view bytes, const std::vector<std::size_t> &cuts)
{
    constexpr std::chrono::milliseconds unreadLimit{1};
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    std::size_t begin = 0;
    for (std::size_t i = 0; i <= cuts.size(); ++i) {
        const std::size_t end = i < cuts.size() ? cuts[i] : bytes.size();
        io.restart();
        while (io.poll() > 0) { }
        boost::asio::write(socket, boost::asio::buffer(bytes.substr(begin, end - begin)), ignored);
        io.restart();
        io.run_one_for(unreadLimit);
        begin = end;
    }
    io.restart();
    io.poll();
}

/** How a peer ends its part of a connection. */
enum class PeerEnd {
    Close,
    Reset,
    Silence,
};

inline void endConnection(boost::asio::ip::tcp::socket &socket, PeerEnd how)
{
    boost::system::error_code ignored;
    if (how == PeerEnd::Close) {
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    } else if (how == PeerEnd::Reset) {
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
}

} // namespace Rhubarbwind::MessageParts
