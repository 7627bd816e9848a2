#pragma once

// Shared by the relay's session tests: a relay over fake ports, scripted endpoints and plain callers.

#include "base/digest.h"
#include "relay/relay.h"
#include "telemetry/log.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Rhubarbwind::RelayBench
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/** Runs the context until the condition holds. Only a hang reaches the time limit. */
template <class Condition>
void runUntil(asio::io_context &io, Condition condition)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        io.restart();
        io.run_one_for(std::chrono::milliseconds(1));
    }
}

/** The same, but advances the manual clock whenever nothing is ready, by at most `maxAdvance` in total. */
template <class Condition>
void runUntilAdvancing(asio::io_context &io, Duration maxAdvance, Condition condition)
{
    constexpr Duration step = 20ms;
    Duration passed{};
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 20s;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < end);
        io.restart();
        const bool idle = io.run_one_for(std::chrono::milliseconds(1)) == 0;
        if (idle && passed < maxAdvance) {
            passed += step;
            ManualClock::advance(step);
        }
    }
}

/** Runs until nothing has happened for a while, to show that something does not happen or has stopped. */
inline void runUntilIdle(asio::io_context &io)
{
    constexpr std::chrono::milliseconds quiet(20);
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 20s;
    do {
        REQUIRE(std::chrono::steady_clock::now() < end);
        io.restart();
    } while (io.run_one_for(quiet) > 0);
}

inline std::string plainAnswer(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** What an endpoint does with one connection: sends these bytes, then closes it or leaves it open without sending more. */
struct Script
{
    std::string bytes;
    bool close = true;
};

/** An endpoint that answers each connection with the next script; the last script repeats. */
class ScriptedEndpoint
{
public:
    ScriptedEndpoint(asio::io_context &io, std::deque<Script> scripts)
        : m_acceptor(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_scripts(std::move(scripts))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.is_open() ? m_acceptor.local_endpoint().port() : m_port;
    }
    /** From now on its port refuses connections. */
    void stopListening()
    {
        m_port = port();
        m_acceptor.close();
    }
    /** The number of requests that began with this text. */
    std::size_t count(std::string_view start) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_requests.begin(), m_requests.end(), [&](const std::string &request) { return request.starts_with(start); }));
    }
    const std::vector<std::string> &requests() const
    {
        return m_requests;
    }

private:
    struct Peer
    {
        explicit Peer(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        Tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::string answer;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
            if (!error) {
                serve(std::make_shared<Peer>(std::move(socket)));
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<Peer> &peer)
    {
        m_peers.push_back(peer);
        http::async_read(peer->socket, peer->buffer, peer->request, [this, peer](boost::system::error_code error, std::size_t) {
            if (error) {
                return;
            }
            std::ostringstream text;
            text << peer->request;
            m_requests.push_back(text.str());
            const bool cancels = peer->request.method() == http::verb::delete_;
            const Script script = cancels ? Script{plainAnswer("200 OK", "", R"({"state":"cancelled","tokens":7})"), true} : nextScript();
            peer->answer = script.bytes;
            asio::async_write(peer->socket, asio::buffer(peer->answer), [peer, script](boost::system::error_code, std::size_t) {
                if (script.close) {
                    peer->socket.close();
                }
            });
        });
    }

    Script nextScript()
    {
        const Script script = m_scripts.front();
        if (m_scripts.size() > 1) {
            m_scripts.pop_front();
        }
        return script;
    }

    Tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::deque<Script> m_scripts;
    std::vector<std::string> m_requests;
    std::vector<std::shared_ptr<Peer>> m_peers;
};

inline std::string sseHead()
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
}
inline std::string chunkData(unsigned offset)
{
    return R"({"id":"x","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"t)" + std::to_string(offset) + R"("}}]})";
}
inline std::string tokens(unsigned first, unsigned last)
{
    std::string text;
    for (unsigned offset = first; offset <= last; ++offset) {
        text += "id: " + std::to_string(offset) + "\ndata: " + chunkData(offset) + "\n\n";
    }
    return text;
}
inline std::string doneEvent()
{
    return "data: [DONE]\n\n";
}
class FakePermits
{
public:
    void request(const ShardId &, const Ticket &ticket, PermitHandler onAnswer)
    {
        tickets.push_back(ticket);
        if (answers.empty()) {
            waiting[ticket.id] = std::move(onAnswer);
            return;
        }
        PermitAnswer answer = answers.front();
        if (answers.size() > 1) {
            answers.pop_front();
        }
        std::visit([&](auto &each) { each.id = ticket.id; }, answer);
        onAnswer(answer);
    }
    void cancel(const ShardId &, const AttemptId &id)
    {
        cancelled.push_back(id);
        waiting.erase(id);
    }
    void progress(const ShardId &, const AttemptId &, std::uint32_t)
    {
    }
    void release(const ShardId &, const Release &release)
    {
        releases.push_back(release);
    }
    void onPreemption(PreemptionHandler handler)
    {
        preempt = std::move(handler);
    }

    std::deque<PermitAnswer> answers; ///< the last one repeats; empty: tickets wait
    std::vector<Ticket> tickets;
    std::map<AttemptId, PermitHandler> waiting;
    std::vector<AttemptId> cancelled;
    std::vector<Release> releases;
    PreemptionHandler preempt;
};

class FakeClaims
{
public:
    void claim(const ClaimKey &key, const RequestId &request, Duration, ClaimHandler onAnswer)
    {
        requested.push_back(key);
        if (!available) {
            onAnswer({ClaimResult::Unavailable, {}, {}, {}});
            return;
        }
        const auto [held, fresh] = holders.emplace(key, request);
        onAnswer(fresh ? ClaimAnswer{ClaimResult::Granted, {}, {}, {}} : ClaimAnswer{ClaimResult::Repeated, held->second, HostId("other"), states[key]});
    }
    void finish(const ClaimKey &key, const RequestId &, ClaimState state)
    {
        states[key] = state;
    }

    bool available = true;
    std::vector<ClaimKey> requested;
    std::map<ClaimKey, RequestId> holders;
    std::map<ClaimKey, ClaimState> states;
};

inline PermitAnswer grantOf(const std::string &endpoint)
{
    Grant grant;
    grant.endpoint = EndpointId(endpoint);
    grant.enginePriority = 3;
    grant.expiresIn = 10s;
    return grant;
}

/** A caller's connection: sends one request and collects the answer. */
class Caller
{
public:
    Caller(asio::io_context &io, std::uint16_t port, const std::string &request, bool reads = true)
        : m_socket(io)
        , m_request(request)
    {
        m_socket.open(Tcp::v4());
        if (!reads) {
            m_socket.set_option(asio::socket_base::receive_buffer_size(8192)); // so that the kernel buffers little of the answer
        }
        m_socket.connect(Tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        boost::system::error_code ignored; // the relay may answer and close before it has read everything
        asio::write(m_socket, asio::buffer(m_request), ignored);
        if (reads) {
            read();
        }
    }
    ~Caller()
    {
        *m_alive = false;
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool closed() const
    {
        return m_closed;
    }
    const std::string &raw() const
    {
        return m_raw;
    }
    void send(const std::string &text)
    {
        asio::write(m_socket, asio::buffer(text));
    }
    void startReading()
    {
        read();
    }
    void hangUp()
    {
        m_socket.close();
    }
    http::response<http::string_body> answer() const
    {
        http::response_parser<http::string_body> parser;
        parser.eager(true);
        parser.body_limit(boost::none);
        boost::system::error_code error;
        parser.put(asio::buffer(m_raw), error);
        REQUIRE(!error);
        return parser.release();
    }
    std::string header(const std::string &name) const
    {
        return std::string(answer()[name]);
    }

private:
    void read()
    {
        m_socket.async_read_some(asio::buffer(m_bytes), [this, alive = m_alive](boost::system::error_code error, std::size_t size) {
            if (!*alive) {
                return;
            }
            m_raw.append(m_bytes.data(), size);
            m_closed = static_cast<bool>(error);
            if (!error) {
                read();
            }
        });
    }

    Tcp::socket m_socket;
    std::string m_request;
    std::string m_raw;
    std::array<char, 4096> m_bytes{};
    bool m_closed = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

struct RequestText
{
    std::string classId = "quick";
    bool stream = true;
    std::string headers; ///< further lines, each with its CRLF
};

inline std::string httpText(const std::string &start, const std::string &headers, const std::string &body)
{
    return start + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\nAuthorization: Bearer key-1\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chatText(const RequestText &request)
{
    const std::string body =
        std::string(R"({"model":"m","stream":)") + (request.stream ? "true" : "false") + R"(,"messages":[{"role":"user","content":"hello there"}]})";
    return httpText("POST /v1/chat/completions", "X-Rhubarbwind-Class: " + request.classId + "\r\n" + request.headers, body);
}

struct Bench
{
    explicit Bench(const RelayOptions &options = {})
        : relay(
            io, options, permits, claims, [this] { return preset; }, [this](const EndpointId &id) { return find(id); }, metrics, spans, HostId("host-1"))
    {
        configureLogs(LogLayout::Text, LogLevel::Error);
        const std::shared_ptr<PresetInForce> value = std::make_shared<PresetInForce>();
        value->version = 1;
        for (const auto &[name, idempotent, reproducible] :
             {std::tuple("quick", true, false), std::tuple("same", true, true), std::tuple("quote", false, false)}) {
            ClassRule rule;
            rule.name = ClassId(name);
            rule.idempotent = idempotent;
            rule.reproducible = reproducible;
            value->preset.classes.push_back(rule);
        }
        CustomerRule customer;
        customer.name = CustomerId("farm");
        customer.apiKeySha256 = sha256Hex("key-1");
        value->preset.customers.push_back(customer);
        preset = value;
        REQUIRE(relay.listen());
    }

    std::optional<EndpointLocation> find(const EndpointId &id) const
    {
        const auto found = endpoints.find(id.text());
        return found == endpoints.end() ? std::nullopt : std::optional(EndpointLocation("127.0.0.1", found->second));
    }

    /** Sends a request and runs until its answer has ended. */
    std::unique_ptr<Caller> call(const std::string &request)
    {
        std::unique_ptr<Caller> caller = std::make_unique<Caller>(io, relay.port(), request);
        runUntil(io, [&] { return caller->closed(); });
        return caller;
    }

    /** The same, but advances the clock, for waits before retries and for silence. */
    std::unique_ptr<Caller> callAdvancing(const std::string &request, Duration maxAdvance)
    {
        std::unique_ptr<Caller> caller = std::make_unique<Caller>(io, relay.port(), request);
        runUntilAdvancing(io, maxAdvance, [&] { return caller->closed(); });
        return caller;
    }

    asio::io_context io;
    Metrics metrics;
    SpanRing spans{1000};
    FakePermits permits;
    FakeClaims claims;
    std::map<std::string, std::uint16_t> endpoints;
    std::shared_ptr<const PresetInForce> preset;
    Relay<ManualClock, FakePermits, FakeClaims> relay;
};

} // namespace Rhubarbwind::RelayBench
