#pragma once

// A fleet of gateways before shared endpoints, in which each host's paths to the endpoints can be cut.

#include "gateway/gatewayfakes_test.h"

#include <sys/socket.h>

namespace Rhubarbwind::GatewayTest
{

/** How a host loses its path to an endpoint. */
enum class CutForm {
    Hang, ///< kept connections fall silent and new ones get no answer
    Reset, ///< kept connections are reset and new ones refused
    RefuseNew, ///< kept connections work and new ones are refused
};

inline std::string nameOf(CutForm form)
{
    return form == CutForm::Hang ? "hang" : form == CutForm::Reset ? "reset" : "refuse new";
}

/** Relays one host's connections to an endpoint. */
class CutLink
{
public:
    CutLink(asio::io_context &io, std::uint16_t target)
        : m_io(io)
        , m_acceptor(io)
        , m_target(target)
    {
        open(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        m_address = m_acceptor.local_endpoint();
    }

    std::uint16_t port() const
    {
        return m_address.port();
    }

    void cut(CutForm form)
    {
        ++m_accepting;
        boost::system::error_code ignored;
        if (form == CutForm::Hang) {
            m_acceptor.cancel(ignored);
            fillBacklog();
        } else {
            m_acceptor.close(ignored);
        }
        for (const std::shared_ptr<Relay> &relay : m_relays) {
            if (form == CutForm::Hang) {
                relay->isSilent = true;
            } else if (form == CutForm::Reset) {
                relay->reset();
            }
        }
    }

    void heal()
    {
        boost::system::error_code ignored;
        m_fillers.clear();
        m_acceptor.close(ignored);
        for (const std::shared_ptr<Relay> &relay : m_relays) {
            if (relay->isSilent) {
                relay->reset();
            }
        }
        open(m_address);
    }

private:
    struct Relay : std::enable_shared_from_this<Relay>
    {
        explicit Relay(tcp::socket host)
            : near(std::move(host))
            , far(near.get_executor())
        {
        }
        void pump(tcp::socket &from, tcp::socket &to, std::array<char, 4096> &bytes)
        {
            from.async_read_some(asio::buffer(bytes), [self = shared_from_this(), &from, &to, &bytes](boost::system::error_code error, std::size_t size) {
                boost::system::error_code ignored;
                if (error && !self->isSilent) {
                    to.close(ignored);
                }
                if (error || self->isSilent) {
                    return;
                }
                asio::write(to, asio::buffer(bytes, size), ignored);
                self->pump(from, to, bytes);
            });
        }
        void reset()
        {
            boost::system::error_code ignored;
            near.set_option(asio::socket_base::linger(true, 0), ignored);
            near.close(ignored);
            far.close(ignored);
        }

        tcp::socket near;
        tcp::socket far;
        std::array<char, 4096> nearBytes{};
        std::array<char, 4096> farBytes{};
        bool isSilent = false;
    };

    void open(const tcp::endpoint &address)
    {
        m_acceptor.open(address.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(address);
        m_acceptor.listen(1);
        accept(++m_accepting);
    }

    void accept(unsigned accepting)
    {
        m_acceptor.async_accept([this, accepting](boost::system::error_code error, tcp::socket socket) {
            if (error || accepting != m_accepting) {
                return;
            }
            const std::shared_ptr<Relay> relay = std::make_shared<Relay>(std::move(socket));
            relay->far.connect({asio::ip::make_address("127.0.0.1"), m_target}, error);
            m_relays.push_back(relay);
            relay->pump(relay->near, relay->far, relay->nearBytes);
            relay->pump(relay->far, relay->near, relay->farBytes);
            accept(accepting);
        });
    }

    /** Linux drops the opening packets of further connections, so these hang. */
    void fillBacklog()
    {
        constexpr int moreThanBacklog = 4;
        for (int i = 0; i < moreThanBacklog; ++i) {
            m_fillers.push_back(std::make_unique<tcp::socket>(m_io));
            m_fillers.back()->async_connect(m_address, [](boost::system::error_code) {});
        }
    }

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    tcp::endpoint m_address;
    unsigned m_accepting = 0; ///< counts openings and cuts, so that the accept of an earlier one is ignored
    std::vector<std::shared_ptr<Relay>> m_relays;
    std::vector<std::unique_ptr<tcp::socket>> m_fillers;
};

/** Hosts before three shared endpoints, with a link for each host and endpoint. */
class CutScene
{
public:
    static constexpr std::size_t endpointCount = 3;

    CutScene(std::size_t hostCount, const FakeEndpoint::Script &script, GatewayOptions options = {})
    {
        for (std::size_t i = 0; i < endpointCount; ++i) {
            endpoints.push_back(std::make_unique<FakeEndpoint>(io, script));
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            options.seed = host + 1;
            hosts.push_back(std::make_unique<FleetHost>(io, options));
            links.emplace_back();
            for (std::size_t i = 0; i < endpointCount; ++i) {
                links.back().push_back(std::make_unique<CutLink>(io, endpoints[i]->port()));
                SelectorEndpoint listed;
                listed.id = EndpointId("e" + std::to_string(i));
                listed.service = ShardId("s");
                listed.ip = "127.0.0.1";
                listed.port = links.back().back()->port();
                listed.slots = 16;
                hosts.back()->gateway.putEndpoint(listed);
            }
        }
    }

    void cut(std::size_t host, CutForm form)
    {
        for (const std::unique_ptr<CutLink> &link : links[host]) {
            link->cut(form);
        }
    }
    void heal(std::size_t host)
    {
        for (const std::unique_ptr<CutLink> &link : links[host]) {
            link->heal();
        }
    }

    std::shared_ptr<Peer> caller(std::size_t host)
    {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address("127.0.0.1"), hosts[host]->gateway.port()});
        const std::shared_ptr<Peer> made = std::make_shared<Peer>(std::move(socket));
        made->read();
        return made;
    }

    /** Sends one request on a connection of its own and returns what its caller received. */
    std::string ask(std::size_t host, const std::string &method, const std::string &target, Duration limit = 3s)
    {
        const std::shared_ptr<Peer> from = caller(host);
        from->send(Scene::request(method, target, "r" + std::to_string(++m_asked), {}, method == "POST" ? "x" : ""));
        until([&] { return wholeMessage(from->received) > 0 || from->closed; }, limit);
        return from->received;
    }
    /** Number of requests of `count` that are answered 200. */
    std::size_t served(std::size_t host, std::size_t count, const std::string &method, const std::string &target)
    {
        std::size_t answered = 0;
        for (std::size_t i = 0; i < count; ++i) {
            answered += ask(host, method, target).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        return answered;
    }

    bool until(const std::function<bool()> &condition, Duration limit = 4s)
    {
        const TimePoint end = SteadyClock::now() + limit;
        while (!condition()) {
            if (SteadyClock::now() > end) {
                return false;
            }
            io.restart();
            io.run_for(std::chrono::milliseconds(2));
        }
        return true;
    }
    void pass(Duration time)
    {
        const TimePoint end = SteadyClock::now() + time;
        until([&] { return SteadyClock::now() >= end; }, time + 1s);
    }

    asio::io_context io;
    std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
    std::vector<std::unique_ptr<FleetHost>> hosts;
    std::vector<std::vector<std::unique_ptr<CutLink>>> links; ///< by host and endpoint

private:
    std::uint64_t m_asked = 0;
};

} // namespace Rhubarbwind::GatewayTest
