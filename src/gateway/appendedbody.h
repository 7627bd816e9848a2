#pragma once

// A message body in a string that grows as bytes arrive. Unlike Beast's string_body it reserves nothing for the length that the sender states: a length of
// some terabytes would end the process.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Rhubarbwind
{

/** Meets Beast's requirements Body and BodyReader. */
struct AppendedBody
{
    using value_type = std::string;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    class reader // NOLINT(readability-identifier-naming): name set by Beast
    {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }
        void init(const boost::optional<std::uint64_t> & /*length*/, boost::system::error_code &error)
        {
            error = {};
        }
        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }
        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

} // namespace Rhubarbwind
