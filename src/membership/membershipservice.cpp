#include "membership/membershipservice.h"

#include "base/sessiontimer.h"
#include "telemetry/log.h"

#include <array>
#include <utility>

#include <boost/asio/ip/udp.hpp>

namespace Rhubarbwind
{

namespace
{

using boost::asio::ip::udp;

const Log membershipLog{LogPart::Membership};

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

void logMember(const Member &member)
{
    const std::string sentence = "host " + member.host.text() + " is " + std::string(stateName(member.state)) + (member.leaving ? " and leaving" : "");
    if (member.state == MemberState::Dead && !member.leaving) {
        membershipLog.warn(sentence);
    } else {
        membershipLog.info(sentence);
    }
}

} // namespace

template <Clock ClockType>
class MembershipService<ClockType>::Core : public std::enable_shared_from_this<Core>
{
public:
    Core(boost::asio::io_context &context, MembershipServiceOptions options)
        : m_socket(context)
        , m_timer(context)
        , m_options(std::move(options))
        , m_membership(m_options.settings, m_options.seed)
    {
    }

    Result<void, StartError> start(Member self, std::span<const SeedHost> seeds);
    void stop(bool announce);
    void carryOut(const MembershipActions &actions);

    void setHandlers(MembershipHandlers handlers)
    {
        m_handlers = std::move(handlers);
    }
    Membership &membership()
    {
        return m_membership;
    }
    const MembershipCounters &counters() const
    {
        return m_counters;
    }

private:
    void read();
    void handleDatagram(std::size_t bytes);
    void scheduleTick();
    void transmit(const SendDatagram &datagram);
    void notifyHandlers(const MembershipAction &action, bool &viewChanged);

    udp::socket m_socket;
    SessionTimer<ClockType> m_timer;
    MembershipServiceOptions m_options;
    MembershipHandlers m_handlers;
    Membership m_membership;
    MembershipCounters m_counters;
    udp::endpoint m_from;
    alignas(8) std::array<std::byte, maxDatagramBytes + 1> m_buffer{}; ///< one byte more than the maximum, so that a longer datagram is recognized
    bool m_stopped = false;
};

template <Clock ClockType>
Result<void, StartError> MembershipService<ClockType>::Core::start(Member self, std::span<const SeedHost> seeds)
{
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(self.address.ip, error);
    if (error) {
        return StartError::BadAddress;
    }
    const udp::endpoint local(ip, self.address.port);
    m_socket.open(local.protocol(), error);
    if (!error) {
        m_socket.bind(local, error);
    }
    if (!error) {
        m_socket.non_blocking(true, error);
    }
    if (error) {
        boost::system::error_code ignored; // The start has failed already.
        m_socket.close(ignored);
        return StartError::ListenFailed;
    }
    self.address.port = m_socket.local_endpoint().port();
    read();
    scheduleTick();
    carryOut(m_membership.start(ClockType::now(), std::move(self), seeds));
    return success();
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::stop(bool announce)
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    if (announce) {
        for (const MembershipAction &action : m_membership.announceShutdown(ClockType::now())) {
            if (const SendDatagram *datagram = std::get_if<SendDatagram>(&action)) {
                transmit(*datagram);
            }
        }
    }
    boost::system::error_code ignored; // A failure to close needs no handling.
    m_socket.close(ignored);
    m_timer.cancel();
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::read()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_from, [self = this->shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
            if (self->m_stopped) {
                return;
            }
            // Linux reports the closed port of a peer here; later datagrams are not affected.
            if (!error) {
                self->handleDatagram(bytes);
            }
            if (!self->m_stopped) {
                self->read();
            }
        });
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::handleDatagram(std::size_t bytes)
{
    ++m_counters.datagramsIn;
    m_counters.bytesIn += bytes;
    const Result<MembershipMessage, DatagramError> message = decodeDatagram(std::span<const std::byte>(m_buffer).first(bytes), m_options.sharedSecret);
    if (!message) {
        ++m_counters.refused;
        return;
    }
    carryOut(m_membership.datagram(ClockType::now(), message.value()));
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::scheduleTick()
{
    m_timer.expires_after(m_options.settings.tickInterval);
    m_timer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_stopped) {
            return;
        }
        self->scheduleTick();
        self->carryOut(self->m_membership.tick(ClockType::now()));
    });
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::carryOut(const MembershipActions &actions)
{
    bool viewChanged = false;
    for (const MembershipAction &action : actions) {
        if (m_stopped) {
            return; // A handler may stop the service.
        }
        if (const SendDatagram *datagram = std::get_if<SendDatagram>(&action)) {
            transmit(*datagram);
        } else {
            notifyHandlers(action, viewChanged);
        }
    }
    if (viewChanged && !m_stopped && m_handlers.onView) {
        m_handlers.onView();
    }
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::notifyHandlers(const MembershipAction &action, bool &viewChanged)
{
    if (const MemberChanged *changed = std::get_if<MemberChanged>(&action)) {
        viewChanged = true;
        logMember(changed->member);
        if (m_handlers.onMember) {
            m_handlers.onMember(changed->member);
        }
    } else if (const MemberForgotten *forgotten = std::get_if<MemberForgotten>(&action)) {
        viewChanged = true;
        if (m_handlers.onForgotten) {
            m_handlers.onForgotten(forgotten->host);
        }
    } else if (const EndpointFactChanged *fact = std::get_if<EndpointFactChanged>(&action)) {
        membershipLog.info("endpoint " + fact->fact.endpoint.text() + (fact->fact.leaving ? " is leaving" : " is back"));
        if (m_handlers.onEndpointFact) {
            m_handlers.onEndpointFact(fact->fact);
        }
    } else if (const PresetVersionSeen *seen = std::get_if<PresetVersionSeen>(&action)) {
        if (m_handlers.onPresetVersion) {
            m_handlers.onPresetVersion(seen->host, seen->version);
        }
    } else if (std::holds_alternative<Superseded>(action)) {
        membershipLog.error("another process started later under this host's name");
        if (m_handlers.onSuperseded) {
            m_handlers.onSuperseded();
        }
    }
}

template <Clock ClockType>
void MembershipService<ClockType>::Core::transmit(const SendDatagram &datagram)
{
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(datagram.to.ip, error);
    const Result<std::vector<std::byte>, DatagramError> bytes = encodeDatagram(datagram.message, m_options.sharedSecret);
    if (error || !bytes) {
        ++m_counters.sendFailures;
        return;
    }
    // Not queued: when the socket buffer is full, the datagram is lost as it may be on the network, and the next period sends newer ones.
    m_socket.send_to(boost::asio::buffer(bytes.value()), udp::endpoint(ip, datagram.to.port), 0, error);
    if (error) {
        ++m_counters.sendFailures;
        return;
    }
    ++m_counters.datagramsOut;
    m_counters.bytesOut += bytes.value().size();
}

template <Clock ClockType>
MembershipService<ClockType>::MembershipService(boost::asio::io_context &context, MembershipServiceOptions options)
    : m_core(std::make_shared<Core>(context, std::move(options)))
{
}

template <Clock ClockType>
MembershipService<ClockType>::~MembershipService()
{
    m_core->stop(false);
}

template <Clock ClockType>
void MembershipService<ClockType>::setHandlers(MembershipHandlers handlers)
{
    m_core->setHandlers(std::move(handlers));
}

template <Clock ClockType>
Result<void, StartError> MembershipService<ClockType>::start(Member self, std::span<const SeedHost> seeds)
{
    return m_core->start(std::move(self), seeds);
}

template <Clock ClockType>
void MembershipService<ClockType>::stop()
{
    m_core->stop(true);
}

template <Clock ClockType>
void MembershipService<ClockType>::hostList(std::span<const SeedHost> list)
{
    m_core->carryOut(m_core->membership().hostList(ClockType::now(), list));
}

template <Clock ClockType>
void MembershipService<ClockType>::leave()
{
    m_core->carryOut(m_core->membership().leave(ClockType::now()));
}

template <Clock ClockType>
void MembershipService<ClockType>::setPresetVersion(std::uint64_t version)
{
    m_core->carryOut(m_core->membership().setPresetVersion(ClockType::now(), version));
}

template <Clock ClockType>
void MembershipService<ClockType>::endpointLeaving(const EndpointId &endpoint, std::uint64_t version)
{
    m_core->carryOut(m_core->membership().endpointLeaving(ClockType::now(), endpoint, version));
}

template <Clock ClockType>
void MembershipService<ClockType>::endpointReturned(const EndpointId &endpoint, std::uint64_t version)
{
    m_core->carryOut(m_core->membership().endpointReturned(ClockType::now(), endpoint, version));
}

template <Clock ClockType>
const Membership &MembershipService<ClockType>::view() const
{
    return m_core->membership();
}

template <Clock ClockType>
bool MembershipService<ClockType>::receivesFromPeers() const
{
    return m_core->membership().receivesFromPeers(ClockType::now());
}

template <Clock ClockType>
const MembershipCounters &MembershipService<ClockType>::counters() const
{
    return m_core->counters();
}

template class MembershipService<SteadyClock>;
template class MembershipService<ManualClock>;

} // namespace Rhubarbwind
