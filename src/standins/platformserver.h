#pragma once

// The stand-in platform: object API, host list and weight store over HTTP, with faults on demand.
//
// It meets docs/PLATFORM.md and keeps everything in memory. Faults are set in-process (setFaults) or over
// `POST /standin/faults`, so that the same server serves contract tests and the demo. The control paths under
// /standin/ are never subject to faults.
//
// One io_context, no threads. Keep-alive connections; a waiting watch costs one entry in a list that each
// write walks, fine for some hundreds of watches.

#include "base/time.h"
#include "standins/platformstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace Rhubarbwind
{

struct PlatformFaults
{
    bool outage = false; ///< every call's connection is closed without effect or answer
    bool unavailable = false; ///< every call gets 503 without effect
    Duration latency{}; ///< each answer waits this long; the effect is at once
    double loseAnswers = 0.0; ///< probability that a call takes effect and its connection closes without an answer
    std::uint64_t loseNext = 0; ///< so many next calls take effect and lose their answers
    bool silentCalls = false; ///< calls take effect and are never answered; the connection stays open
    bool silentWatches = false; ///< watches are never answered, not even after their wait
    bool repeatEvents = false; ///< each watch answer also repeats the event before, where there is one
    bool skipEvents = false; ///< each watch answer lacks its events; `next` moves on all the same
    bool malformed = false; ///< answers carry broken bodies and version tags
    double callsPerSecond = 0.0; ///< over it: 429; zero: unlimited
    double weightsPerSecond = 0.0; ///< weight store; zero: unlimited
};

struct PlatformCounters
{
    std::uint64_t connections = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0; ///< calls that ask to write, accepted or not
    std::uint64_t watches = 0;
    std::uint64_t hostLists = 0;
    std::uint64_t weights = 0;
    std::uint64_t refusedOverRate = 0;
    std::uint64_t lostAnswers = 0;
};

struct PlatformServerOptions
{
    std::string ip = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: the system picks one
    Duration hostLag{}; ///< how late the host list shows a change
    boost::json::value hosts; ///< a list of hosts, or an object with it under "hosts"
    std::string presetInForce; ///< seeds `preset/in-force` when not empty
    std::uint64_t seed = 1; ///< of the lost answers
};

class PlatformServer
{
public:
    /** Listens at once; throws boost::system::system_error when the address is taken. */
    PlatformServer(boost::asio::io_context &context, PlatformServerOptions options);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    std::uint16_t port() const;
    PlatformStore &store();
    const PlatformCounters &counters() const;
    PlatformFaults faults() const;
    void setFaults(const PlatformFaults &faults);
    /** Shows after the lag. */
    void setHosts(boost::json::value hosts);
    /** Closes the listener and every connection: calls are then refused by the system. */
    void stop();

    class State;

private:
    std::shared_ptr<State> m_state;
};

} // namespace Rhubarbwind
