#include "load/httpget.h"

#include <boost/beast.hpp>

#include <memory>
#include <utility>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;
using boost::system::error_code;

/** Counters name every request of a run. */
constexpr std::uint64_t largestBody = 256 * 1024 * 1024;

class GetSession : public std::enable_shared_from_this<GetSession>
{
public:
    GetSession(boost::asio::io_context &context, std::function<void(std::optional<HttpAnswer>)> handler)
        : m_stream(context)
        , m_handler(std::move(handler))
    {
        m_parser.body_limit(largestBody);
    }

    void start(const boost::asio::ip::tcp::endpoint &address, const std::string &target, Duration limit)
    {
        m_request = Http::request<Http::empty_body>(Http::verb::get, target, 11);
        m_request.set(Http::field::host, "rhubarbwind");
        m_request.keep_alive(false);
        m_stream.expires_after(limit);
        m_stream.async_connect(address, [self = shared_from_this()](const error_code &error) { error ? self->finish(false) : self->write(); });
    }

private:
    void write()
    {
        Http::async_write(
            m_stream, m_request, [self = shared_from_this()](const error_code &error, std::size_t) { error ? self->finish(false) : self->read(); });
    }

    void read()
    {
        Http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](const error_code &error, std::size_t) { self->finish(!error); });
    }

    void finish(bool answered)
    {
        m_stream.close();
        std::optional<HttpAnswer> answer;
        if (answered) {
            answer = HttpAnswer{m_parser.get().result_int(), std::move(m_parser.get().body())};
        }
        m_handler(std::move(answer));
    }

    boost::beast::tcp_stream m_stream;
    std::function<void(std::optional<HttpAnswer>)> m_handler;
    Http::request<Http::empty_body> m_request;
    Http::response_parser<Http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
};

} // namespace

void httpGet(boost::asio::io_context &context,
             const boost::asio::ip::tcp::endpoint &address,
             const std::string &target,
             Duration limit,
             std::function<void(std::optional<HttpAnswer>)> handler)
{
    std::make_shared<GetSession>(context, std::move(handler))->start(address, target, limit);
}

} // namespace Rhubarbwind
