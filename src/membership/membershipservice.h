#pragma once

// Membership over one UDP socket: the session around Membership (membership.h).
//
// How to use it: make one, register handlers, start() with this host's own entry and the host list, pass on
// every later host list. The socket is bound to self.address, the same port number as the peer TCP listener.
// Handlers are called from the event loop, never from within a call of this class but start(), hostList(),
// leave(), setPresetVersion(), endpointLeaving() and endpointReturned(). Datagrams that are not tagged with the
// shared secret, or not well formed, are counted and dropped.

#include "base/clock.h"
#include "membership/membership.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace Rhubarbwind
{

struct MembershipServiceOptions
{
    std::string sharedSecret;
    MembershipSettings settings;
    std::uint64_t seed = 0; ///< of the probe order; different on each host
};

struct MembershipCounters
{
    std::uint64_t datagramsIn = 0;
    std::uint64_t datagramsOut = 0;
    std::uint64_t bytesIn = 0; ///< without UDP and IP headers
    std::uint64_t bytesOut = 0;
    std::uint64_t refused = 0; ///< wrong tag, malformed, too long or too short
    std::uint64_t sendFailures = 0;
};

struct MembershipHandlers
{
    std::function<void(const Member &member)> onMember; ///< new, or its state, leaving or address changed; may be dead
    std::function<void(const HostId &host)> onForgotten;
    std::function<void()> onView; ///< once after a batch of the two above: aliveHosts() may differ
    std::function<void(const EndpointFact &fact)> onEndpointFact;
    std::function<void(const HostId &host, std::uint64_t version)> onPresetVersion; ///< greater than this host's; repeated until caught up
    std::function<void()> onSuperseded; ///< another process holds this host's name; this one should end
};

template <Clock ClockType>
class MembershipService
{
public:
    MembershipService(boost::asio::io_context &context, MembershipServiceOptions options);
    /** Stops without a farewell. */
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Absent handlers are fine. Before start(). */
    void setHandlers(MembershipHandlers handlers);
    /** @param self incarnation.start is this process's start in Unix milliseconds; a port 0 takes the system's choice */
    Result<void, StartError> start(Member self, std::span<const ListedHost> seeds);
    /** Tells a few hosts that this process ends, then closes the socket. No handler is called any more. */
    void stop();

    void hostList(std::span<const ListedHost> list);
    void leave();
    void setPresetVersion(std::uint64_t version);
    void endpointLeaving(const EndpointId &endpoint, std::uint64_t version);
    void endpointReturned(const EndpointId &endpoint, std::uint64_t version);

    /** The decision, for its views: members(), aliveHosts(), endpointFacts(), endpointIsLeaving(), self(). */
    const Membership &view() const;
    bool hearsPeers() const;
    const MembershipCounters &counters() const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

extern template class MembershipService<SteadyClock>;
extern template class MembershipService<ManualClock>;

} // namespace Rhubarbwind
