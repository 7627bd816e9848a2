#pragma once

// Input of HTTP/1.1 parsers from peers that may send anything and may end the connection after any byte.

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace Rhubarbwind
{

/**
 * Reports the end of the connection to the parser. Unlike put_eof(), whose assertion a peer could bring about, it may be called before any input.
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

} // namespace Rhubarbwind
