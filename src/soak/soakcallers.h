#pragma once

// Callers with one purpose: requests at a host that is stopped, requests to endpoints that send without end, and requests that have no end themselves.

#include "soak/soakworld.h"

namespace Rhubarbwind::Soak
{

/** That the requests at hosts which are stopped state. */
inline constexpr std::chrono::milliseconds stopTimeLimit{3000};

/** Sends unsafe requests to one host until its process is gone: on persistent connections, with a body that arrives late, or with an answer that is read slowly. */
class StopCaller : public std::enable_shared_from_this<StopCaller>
{
public:
    enum class Pace : std::uint8_t {
        Kept, ///< one request after another
        Slow, ///< the end of the body follows after up to the grace period; half of them are streams
        Reading, ///< a large answer is read in about a second, through a small window
    };

    StopCaller(World &world, std::string name, HostAddress host, Pace pace);
    void run();
    void stop();

private:
    void connect();
    void send();
    void sendRest();
    void read();
    /** @return true once the answer is complete */
    bool isAnswered(bool hasEnded) const;
    void answered();
    void close();
    std::string path();
    Duration readPause();
    void later(Duration wait, void (StopCaller::*then)());

    World &m_world;
    std::string m_name;
    HostAddress m_host;
    Pace m_pace;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_request;
    std::string m_rest; ///< of the request
    std::string m_received;
    std::array<char, 8192> m_bytes{};
    std::uint64_t m_number = 0;
    std::uint64_t m_connection = 0;
    int m_reads = 0; ///< of the current answer
    bool m_waiting = false;
    bool m_stopped = false;
};

/** Sends a request to an endless endpoint, and another one when the connection ends; reads all that arrives, or nothing. */
class EndlessCaller : public std::enable_shared_from_this<EndlessCaller>
{
public:
    EndlessCaller(World &world, std::string name, HostAddress host, bool reads);
    void run();
    void stop();
    std::uint64_t sent() const
    {
        return m_number;
    }

private:
    void read();
    void again();

    World &m_world;
    std::string m_name;
    HostAddress m_host;
    bool m_reads;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::array<char, std::size_t{64} * 1024> m_bytes{};
    std::uint64_t m_number = 0;
    bool m_stopped = false;
};

/** Sends a large request in chunks that lack the last one, keeps the connection open, and sends another one when the host ends it. */
class GreedyCaller : public std::enable_shared_from_this<GreedyCaller>
{
public:
    GreedyCaller(World &world, std::string name, HostAddress host);
    void run();
    void stop();
    std::uint64_t sent() const
    {
        return m_number;
    }

private:
    void write();
    void read();

    World &m_world;
    std::string m_name;
    HostAddress m_host;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_chunk;
    std::size_t m_left = 0; ///< bytes of the body
    std::array<char, 1024> m_bytes{};
    std::uint64_t m_number = 0;
    bool m_stopped = false;
};

} // namespace Rhubarbwind::Soak
