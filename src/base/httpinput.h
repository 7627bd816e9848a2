#pragma once

// Parses HTTP/1.1 messages of peers that may send anything, in segments cut at any byte, and may end the connection after any byte.
//
// Beast's parser asserts its preconditions, and throws for a field that its container can't hold. Bytes from a peer can lead to either in three ways, each
// of which would end the process; the functions below handle them as errors or as input that is not complete yet:
//   - A body whose first chunk is the last one, parsed again while it has four bytes, such as `0 CR LF CR` or `00 CR LF` (Boost 1.81 asserts five).
//   - An end of the connection before the first byte of a message, reported to the parser.
//   - A trailer with a field of 64 KB or more. Trailers are not bounded by the parser's header_limit().

#include "base/socketprobes.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace Rhubarbwind
{

/** Limit in bytes of the size line or the trailer of a chunk. All other bytes after the head are consumed as they arrive. */
constexpr std::size_t maxUnparsedBytes = std::size_t{64} * 1024;

/** Whether an answer may have this status. The parser takes any three digits. */
constexpr bool isStatus(unsigned status)
{
    constexpr unsigned first = 100;
    constexpr unsigned end = 600;
    return status >= first && status < end;
}

/** Whether an answer with this status is the last one to its request. */
constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned firstFinal = 200;
    return isStatus(status) && status >= firstFinal;
}

/** Whether `input` may be the begin of a chunked body whose first chunk is the last one, from the end of that chunk's line on. */
template <bool isRequest>
bool isPartOfLastChunk(const boost::beast::http::basic_parser<isRequest> &parser, std::string_view input)
{
    constexpr std::size_t shortestBody = 5;
    return parser.is_header_done() && parser.chunked() && input.size() < shortestBody && input.starts_with('0') && input.find("\r\n") != std::string_view::npos;
}

/** Whether a line of the head that `input` begins with, or is within, continues the line before it: the parser takes its text for a part of that field. */
inline bool hasFoldedLine(std::string_view input)
{
    // Without the fields before it, the head's end is an empty line.
    const std::string_view head = input.starts_with("\r\n") ? std::string_view() : input.substr(0, input.find("\r\n\r\n"));
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

/**
 * Passes buffered bytes to the parser and consumes those that it has parsed. The message must not be complete.
 * @param error need_more if further bytes are needed; header_limit also for a trailer or a chunk's size line above the limit
 */
template <bool isRequest>
void parseInput(boost::beast::http::basic_parser<isRequest> &parser, boost::beast::flat_buffer &buffer, boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    const boost::asio::const_buffer input = buffer.data();
    if (isPartOfLastChunk(parser, {static_cast<const char *>(input.data()), input.size()})) {
        error = http::error::need_more;
        return;
    }
    if (!isRequest && !parser.is_header_done() && hasFoldedLine({static_cast<const char *>(input.data()), input.size()})) {
        error = http::error::bad_field;
        return;
    }
    try {
        buffer.consume(parser.put(input, error));
    } catch (const std::length_error &) {
        error = http::error::header_limit;
        return;
    }
    if (error == http::error::need_more && parser.is_header_done() && buffer.size() > maxUnparsedBytes) {
        error = http::error::header_limit;
    }
}

/**
 * Reports the end of the connection to the parser. The message must not be complete.
 * @param error end_of_stream if no byte of a message has arrived, partial_message if the message lacks bytes; none if this end completes it
 */
template <bool isRequest>
void endInput(boost::beast::http::basic_parser<isRequest> &parser, boost::system::error_code &error)
{
    if (!parser.got_some()) {
        error = boost::beast::http::error::end_of_stream;
        return;
    }
    parser.put_eof(error);
}

enum class HttpReadGoal : std::uint8_t {
    Some, ///< any further part of a message whose head is complete
    Head,
    Message,
};

namespace HttpInput
{

template <bool isRequest>
bool isReached(const boost::beast::http::basic_parser<isRequest> &parser, HttpReadGoal goal)
{
    return goal == HttpReadGoal::Head ? parser.is_header_done() : parser.is_done();
}

/** Parses what is buffered. @return true if the read has ended, with an error or without */
template <bool isRequest>
bool advance(boost::beast::http::basic_parser<isRequest> &parser, boost::beast::flat_buffer &buffer, HttpReadGoal goal, boost::system::error_code &error)
{
    parser.eager(goal != HttpReadGoal::Head);
    bool hasProgress = false;
    while (buffer.size() > 0 && !isReached(parser, goal)) {
        const std::size_t before = buffer.size();
        parseInput(parser, buffer, error);
        hasProgress = hasProgress || buffer.size() < before;
        if (error == boost::beast::http::error::need_more) {
            error = {};
            break;
        }
        if (error) {
            return true;
        }
    }
    return isReached(parser, goal) || (goal == HttpReadGoal::Some && hasProgress);
}

/** The descriptor of an Asio socket or of a Beast stream over one. */
template <class Stream>
int socketOf(Stream &stream)
{
    if constexpr (requires { stream.native_handle(); }) {
        return stream.native_handle();
    } else {
        return stream.socket().native_handle();
    }
}

template <class Stream, bool isRequest, class Handler>
void readMore(Stream &stream, boost::beast::flat_buffer &buffer, boost::beast::http::basic_parser<isRequest> &parser, HttpReadGoal goal, Handler handler)
{
    constexpr std::size_t readBytes = std::size_t{64} * 1024;
    const std::size_t size = boost::beast::read_size(buffer, readBytes);
    if (size == 0) {
        const boost::system::error_code error = boost::beast::http::error::buffer_overflow;
        boost::asio::post(stream.get_executor(), [handler = std::move(handler), error]() mutable { handler(error); });
        return;
    }
    stream.async_read_some(buffer.prepare(size),
                           [&stream, &buffer, &parser, goal, handler = std::move(handler)](boost::system::error_code error, std::size_t received) mutable {
                               buffer.commit(received);
                               if constexpr (!isRequest) {
                                   // Only an answer may end with its connection.
                                   if (error == boost::asio::error::eof && isReset(socketOf(stream))) {
                                       error = boost::asio::error::connection_reset;
                                   }
                               }
                               if (error == boost::asio::error::eof) {
                                   endInput(parser, error);
                               } else if (!error && !advance(parser, buffer, goal, error)) {
                                   readMore(stream, buffer, parser, goal, std::move(handler));
                                   return;
                               }
                               handler(error);
                           });
}

} // namespace HttpInput

/**
 * Reads until the goal is reached or the message can't be completed. Stands in for Beast's async_read(), which passes all input to the parser.
 * @param handler called once with the error, never during this call; it keeps the stream, the buffer and the parser alive
 */
template <class Stream, bool isRequest, class Handler>
void readHttp(Stream &stream, boost::beast::flat_buffer &buffer, boost::beast::http::basic_parser<isRequest> &parser, HttpReadGoal goal, Handler handler)
{
    boost::system::error_code error;
    if (HttpInput::advance(parser, buffer, goal, error)) {
        boost::asio::post(stream.get_executor(), [handler = std::move(handler), error]() mutable { handler(error); });
        return;
    }
    HttpInput::readMore(stream, buffer, parser, goal, std::move(handler));
}

} // namespace Rhubarbwind
