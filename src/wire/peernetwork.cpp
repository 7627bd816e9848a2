// One sweep timer drives the heartbeats and limits of all links: at 370 hosts one timer a link would cost the event loop more than the heartbeats
// do. Each outgoing link has its own state machine (PeerLink).

#include "wire/peernetwork.h"

#include "base/backoff.h"
#include "base/random.h"
#include "base/sessiontimer.h"
#include "telemetry/log.h"
#include "wire/peerconnection.h"

#include <deque>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include <boost/asio/post.hpp>

namespace Rhubarbwind
{

namespace
{

using boost::asio::ip::tcp;

const Log wireLog{LogPart::Wire};

constexpr Duration initialRedialWait = 100ms;
constexpr Duration maxRedialWait = 2s;
// Well above the design's 370 hosts, each with one incoming link. Unauthenticated peers can hold no more connections than this.
constexpr std::size_t maxIncoming = 2048;
// Wait after a failed accept (out of descriptors), so that the loop does not spin.
constexpr Duration acceptPause = 100ms;

std::optional<tcp::endpoint> endpointOf(const PeerAddress &address)
{
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(address.ip, error);
    if (error) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, address.port);
}

std::string_view reasonName(CloseReason reason)
{
    switch (reason) {
    case CloseReason::ConnectFailed:
        return "it could not be reached";
    case CloseReason::HandshakeFailed:
        return "the handshake failed";
    case CloseReason::HandshakeTimeout:
        return "the handshake took too long";
    case CloseReason::Broken:
        return "the connection broke";
    case CloseReason::Silent:
        return "it went silent";
    case CloseReason::FrameTooLarge:
        return "a frame was too large";
    case CloseReason::Idle:
        return "it was idle";
    case CloseReason::Replaced:
        return "it was replaced";
    case CloseReason::Stopped:
        return "it was stopped";
    }
    return "of an unknown reason";
}

struct PendingFrame
{
    MessageKind kind{};
    std::vector<std::byte> payload;
};

} // namespace

/** A link that this host dials. Either idle (no connection, not waiting), waiting for a redial, or with a connection. */
template <Clock ClockType>
struct PeerLink
{
    explicit PeerLink(boost::asio::io_context &context)
        : redial(context)
        , backoff(initialRedialWait, maxRedialWait)
    {
    }

    PeerAddress address;
    bool addressLearned = false; ///< the address comes from the peer's Hello, not from setAddress()
    std::shared_ptr<PeerConnection<ClockType>> connection;
    SessionTimer<ClockType> redial;
    bool waiting = false;
    Backoff backoff;
    std::deque<PendingFrame> pending;
    std::size_t pendingBytes = 0;
    TimePoint lastUse;
    std::optional<LinkState> reported;
};

template <Clock ClockType>
class PeerNetwork<ClockType>::Core : public std::enable_shared_from_this<Core>
{
public:
    Core(boost::asio::io_context &context, PeerNetworkOptions options)
        : m_context(context)
        , m_options(std::move(options))
        , m_acceptor(context)
        , m_sweepTimer(context)
        , m_acceptTimer(context)
        , m_random(std::random_device()())
    {
    }

    Result<void, StartError> start();
    void stop();
    void setAddress(const HostId &host, const PeerAddress &address);
    void forget(const HostId &host);
    Result<void, SendError> send(const HostId &host, MessageKind kind, std::vector<std::byte> payload);

    void setFrameHandler(MessageKind kind, FrameHandler handler)
    {
        m_frameHandlers[kind] = std::make_shared<const FrameHandler>(std::move(handler));
    }
    void addLinkHandler(LinkHandler handler)
    {
        m_linkHandlers.push_back(std::make_shared<const LinkHandler>(std::move(handler)));
    }
    const PeerCounters &counters() const
    {
        return m_counters;
    }
    std::uint16_t listenPort() const
    {
        return m_listenPort;
    }

private:
    using Connection = PeerConnection<ClockType>;
    using ConnectionPtr = std::shared_ptr<Connection>;
    using Link = PeerLink<ClockType>;
    using LinkPtr = std::shared_ptr<Link>;

    PeerConnectionOptions connectionOptions(HandshakeRole role, const HostId &expectedPeer) const;

    void accept();
    void pauseAccept();
    void takeIncoming(tcp::socket socket);
    void incomingReady(const ConnectionPtr &connection);
    void incomingClosed(const ConnectionPtr &connection, CloseReason reason);
    void learnAddress(const HostId &host, const Connection &connection);

    Result<void, SendError> sendToSelf(MessageKind kind, std::vector<std::byte> payload);
    LinkPtr linkTo(const HostId &host);
    void dial(const HostId &host, const LinkPtr &link);
    void linkReady(const HostId &host, const LinkPtr &link);
    void linkClosed(const HostId &host, const LinkPtr &link, const ConnectionPtr &connection, CloseReason reason);
    void scheduleRedial(const HostId &host, const LinkPtr &link);
    void report(const HostId &host, const LinkPtr &link, LinkState state);

    void sweep();
    void scheduleSweep();
    std::vector<ConnectionPtr> openConnections() const;
    void closeIdleLinks(TimePoint now);

    void received(const HostId &from, const Frame &frame);
    void countSent(const HostId &host, MessageKind kind, std::size_t bytes);
    void dispatch(const HostId &from, MessageKind kind, std::span<const std::byte> payload);

    boost::asio::io_context &m_context;
    PeerNetworkOptions m_options;
    tcp::acceptor m_acceptor;
    SessionTimer<ClockType> m_sweepTimer;
    SessionTimer<ClockType> m_acceptTimer;
    Random m_random;
    std::map<HostId, LinkPtr> m_links;
    std::set<ConnectionPtr> m_incoming; ///< authenticated or not
    std::map<HostId, ConnectionPtr> m_incomingByHost; ///< authenticated
    std::map<MessageKind, std::shared_ptr<const FrameHandler>> m_frameHandlers;
    std::vector<std::shared_ptr<const LinkHandler>> m_linkHandlers;
    PeerCounters m_counters;
    std::size_t m_selfQueuedBytes = 0;
    TimePoint m_lastSweep;
    std::uint16_t m_listenPort = 0;
    bool m_stopped = false;
};

template <Clock ClockType>
Result<void, StartError> PeerNetwork<ClockType>::Core::start()
{
    const std::optional<tcp::endpoint> listen = endpointOf(m_options.listen);
    if (!listen) {
        return StartError::BadAddress;
    }
    boost::system::error_code error;
    m_acceptor.open(listen->protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(*listen, error);
    }
    if (!error) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error) {
        boost::system::error_code ignored; // start() has already failed.
        m_acceptor.close(ignored);
        return StartError::ListenFailed;
    }
    m_listenPort = m_acceptor.local_endpoint().port();
    m_options.listen.port = m_listenPort;
    m_lastSweep = ClockType::now();
    accept();
    scheduleSweep();
    return success();
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    boost::system::error_code ignored; // A failure needs no handling.
    m_acceptor.close(ignored);
    m_sweepTimer.cancel();
    m_acceptTimer.cancel();
    for (const auto &[host, link] : m_links) {
        link->redial.cancel();
    }
    for (const ConnectionPtr &connection : openConnections()) {
        connection->close(CloseReason::Stopped);
    }
    m_links.clear();
    m_frameHandlers.clear();
    m_linkHandlers.clear();
}

template <Clock ClockType>
PeerConnectionOptions PeerNetwork<ClockType>::Core::connectionOptions(HandshakeRole role, const HostId &expectedPeer) const
{
    PeerAddress listen = m_options.listen;
    const std::optional<tcp::endpoint> endpoint = endpointOf(listen);
    if (endpoint && endpoint->address().is_unspecified()) {
        listen.ip.clear();
    }
    return {{role, m_options.self, listen, m_options.sharedSecret, expectedPeer}, m_options.heartbeatInterval, m_options.silenceLimit};
}

// Incoming links.

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::accept()
{
    m_acceptor.async_accept([self = this->shared_from_this()](const boost::system::error_code &error, tcp::socket socket) {
        if (self->m_stopped) {
            return;
        }
        if (error) {
            self->pauseAccept();
            return;
        }
        self->takeIncoming(std::move(socket));
        self->accept();
    });
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::pauseAccept()
{
    m_acceptTimer.expires_after(acceptPause);
    m_acceptTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_stopped) {
            self->accept();
        }
    });
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::takeIncoming(tcp::socket socket)
{
    if (m_incoming.size() >= maxIncoming) {
        ++m_counters.connectionsRefused;
        return; // Closes the socket.
    }
    const std::shared_ptr<std::weak_ptr<Connection>> slot = std::make_shared<std::weak_ptr<Connection>>();
    const std::shared_ptr<Core> self = this->shared_from_this();
    PeerConnectionEvents events;
    events.onReady = [self, slot] { self->incomingReady(slot->lock()); };
    events.onFrame = [self, slot](const Frame &frame) { self->received(slot->lock()->handshake().peer(), frame); };
    events.onSent = [self, slot](MessageKind kind, std::size_t bytes) { self->countSent(slot->lock()->handshake().peer(), kind, bytes); };
    events.onClosed = [self, slot](CloseReason reason) { self->incomingClosed(slot->lock(), reason); };
    const ConnectionPtr connection = std::make_shared<Connection>(std::move(socket), connectionOptions(HandshakeRole::Acceptor, HostId()), std::move(events));
    *slot = connection;
    m_incoming.insert(connection);
    connection->run();
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::incomingReady(const ConnectionPtr &connection)
{
    const HostId host = connection->handshake().peer();
    learnAddress(host, *connection);
    ConnectionPtr &current = m_incomingByHost[host];
    const ConnectionPtr former = std::exchange(current, connection);
    if (former) {
        // The peer has abandoned its former link, possibly unnoticed here. Frames of the two links must not be interleaved.
        former->close(CloseReason::Replaced);
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::incomingClosed(const ConnectionPtr &connection, CloseReason reason)
{
    m_incoming.erase(connection);
    if (reason == CloseReason::HandshakeFailed || reason == CloseReason::HandshakeTimeout) {
        ++m_counters.handshakesRefused;
        wireLog.warn("rejected an incoming link: the handshake failed or took too long");
    }
    if (reason == CloseReason::Silent) {
        ++m_counters.silentLinks;
    }
    const auto current = m_incomingByHost.find(connection->handshake().peer());
    if (current != m_incomingByHost.end() && current->second == connection) {
        m_incomingByHost.erase(current);
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::learnAddress(const HostId &host, const Connection &connection)
{
    PeerAddress address = connection.handshake().peerAddress();
    if (address.ip.empty()) {
        address.ip = connection.remoteAddress().to_string();
    }
    const auto known = m_links.find(host);
    if (known != m_links.end() && !known->second->addressLearned) {
        return;
    }
    setAddress(host, address);
    const LinkPtr link = m_links.at(host);
    link->addressLearned = true;
}

// Outgoing links.

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::setAddress(const HostId &host, const PeerAddress &address)
{
    if (m_stopped) {
        return;
    }
    const LinkPtr link = linkTo(host);
    link->addressLearned = false;
    if (link->address == address) {
        return;
    }
    link->address = address;
    const ConnectionPtr former = link->connection;
    if (former) {
        former->close(CloseReason::Replaced);
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::forget(const HostId &host)
{
    const auto found = m_links.find(host);
    if (found != m_links.end()) {
        const LinkPtr link = found->second;
        m_links.erase(found);
        link->redial.cancel();
        if (link->connection) {
            const ConnectionPtr connection = link->connection;
            connection->close(CloseReason::Stopped);
        }
    }
    const auto incoming = m_incomingByHost.find(host);
    if (incoming != m_incomingByHost.end()) {
        const ConnectionPtr connection = incoming->second;
        connection->close(CloseReason::Stopped);
    }
    m_counters.peers.erase(host);
}

template <Clock ClockType>
typename PeerNetwork<ClockType>::Core::LinkPtr PeerNetwork<ClockType>::Core::linkTo(const HostId &host)
{
    LinkPtr &link = m_links[host];
    if (!link) {
        link = std::make_shared<Link>(m_context);
        link->lastUse = ClockType::now();
    }
    return link;
}

template <Clock ClockType>
Result<void, SendError> PeerNetwork<ClockType>::Core::send(const HostId &host, MessageKind kind, std::vector<std::byte> payload)
{
    if (payload.size() > maxPayloadBytes) {
        return SendError::PayloadTooLarge;
    }
    if (host == m_options.self) {
        return sendToSelf(kind, std::move(payload));
    }
    const auto found = m_links.find(host);
    if (m_stopped || found == m_links.end()) {
        return SendError::UnknownHost;
    }
    const LinkPtr link = found->second;
    const std::size_t bytes = frameHeaderBytes + payload.size();
    const std::size_t queued = link->pendingBytes + (link->connection ? link->connection->queuedBytes() : 0);
    if (queued + bytes > m_options.queueBytes) {
        return SendError::QueueFull;
    }
    link->lastUse = ClockType::now();
    if (link->connection && link->connection->ready()) {
        link->connection->send(kind, std::move(payload));
        return success();
    }
    link->pendingBytes += bytes;
    link->pending.push_back({kind, std::move(payload)});
    if (!link->connection && !link->waiting) {
        dial(host, link);
    }
    return success();
}

template <Clock ClockType>
Result<void, SendError> PeerNetwork<ClockType>::Core::sendToSelf(MessageKind kind, std::vector<std::byte> payload)
{
    const std::size_t bytes = frameHeaderBytes + payload.size();
    if (m_selfQueuedBytes + bytes > m_options.queueBytes) {
        return SendError::QueueFull;
    }
    m_selfQueuedBytes += bytes;
    boost::asio::post(m_context, [self = this->shared_from_this(), kind, bytes, payload = std::move(payload)] {
        self->m_selfQueuedBytes -= bytes;
        if (!self->m_stopped) {
            self->dispatch(self->m_options.self, kind, payload);
        }
    });
    return success();
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::dial(const HostId &host, const LinkPtr &link)
{
    const std::shared_ptr<Core> self = this->shared_from_this();
    const std::shared_ptr<std::weak_ptr<Connection>> slot = std::make_shared<std::weak_ptr<Connection>>();
    PeerConnectionEvents events;
    events.onReady = [self, host, link] { self->linkReady(host, link); };
    events.onFrame = [self, host, link](const Frame &frame) {
        link->backoff.reset(); // A heartbeat of the authenticated peer: the link works, not only its handshake.
        self->received(host, frame);
    };
    events.onSent = [self, host](MessageKind kind, std::size_t bytes) { self->countSent(host, kind, bytes); };
    events.onClosed = [self, host, link, slot](CloseReason reason) { self->linkClosed(host, link, slot->lock(), reason); };
    link->connection = std::make_shared<Connection>(tcp::socket(m_context), connectionOptions(HandshakeRole::Dialler, host), std::move(events));
    *slot = link->connection;
    const std::optional<tcp::endpoint> address = endpointOf(link->address);
    if (!address) {
        const ConnectionPtr connection = link->connection;
        connection->close(CloseReason::ConnectFailed);
        return;
    }
    link->connection->dial(*address);
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::linkReady(const HostId &host, const LinkPtr &link)
{
    for (PendingFrame &frame : link->pending) {
        link->connection->send(frame.kind, std::move(frame.payload));
    }
    link->pending.clear();
    link->pendingBytes = 0;
    report(host, link, LinkState::Up);
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::linkClosed(const HostId &host, const LinkPtr &link, const ConnectionPtr &connection, CloseReason reason)
{
    link->connection.reset();
    const auto known = m_links.find(host);
    if (m_stopped || known == m_links.end() || known->second != link) {
        return;
    }
    if (reason == CloseReason::Idle) {
        return;
    }
    PeerTraffic &traffic = m_counters.peers[host];
    ++traffic.linkDrops;
    traffic.framesDropped += link->pending.size() + (connection ? connection->queuedFrames() : 0);
    m_counters.silentLinks += reason == CloseReason::Silent ? 1 : 0;
    link->pending.clear();
    link->pendingBytes = 0;
    if (link->reported != LinkState::Down) {
        wireLog.info("dropped the link to " + host.text() + " because " + std::string(reasonName(reason)));
    }
    scheduleRedial(host, link);
    report(host, link, LinkState::Down);
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::scheduleRedial(const HostId &host, const LinkPtr &link)
{
    link->waiting = true;
    link->redial.expires_after(link->backoff.next(m_random));
    link->redial.async_wait([self = this->shared_from_this(), host, link](const boost::system::error_code &error) {
        link->waiting = false;
        if (error || self->m_stopped) {
            return;
        }
        // Redials even without new frames, so that link handlers learn when the peer is reachable again, but not forever.
        const bool inUse = !link->pending.empty() || ClockType::now() - link->lastUse < self->m_options.idleLimit;
        if (inUse && !link->connection) {
            self->dial(host, link);
        }
    });
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::report(const HostId &host, const LinkPtr &link, LinkState state)
{
    if (link->reported == state) {
        return;
    }
    link->reported = state;
    const std::vector<std::shared_ptr<const LinkHandler>> handlers = m_linkHandlers;
    for (const std::shared_ptr<const LinkHandler> &handler : handlers) {
        (*handler)(host, state);
    }
}

// All links.

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::scheduleSweep()
{
    m_sweepTimer.expires_after(m_options.heartbeatInterval);
    m_sweepTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_stopped) {
            self->sweep();
            self->scheduleSweep();
        }
    });
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::sweep()
{
    const TimePoint now = ClockType::now();
    // A host that was paused or starved has not read what its peers sent in the meantime. Measuring their silence over that time would drop all links
    // at once and lose all queued frames.
    const bool wasStalled = now - m_lastSweep > 2 * m_options.heartbeatInterval;
    m_lastSweep = now;
    closeIdleLinks(now);
    for (const ConnectionPtr &connection : openConnections()) {
        if (wasStalled) {
            connection->restartSilence(now);
        }
        connection->tick(now);
    }
}

template <Clock ClockType>
std::vector<std::shared_ptr<PeerConnection<ClockType>>> PeerNetwork<ClockType>::Core::openConnections() const
{
    std::vector<ConnectionPtr> connections(m_incoming.begin(), m_incoming.end());
    for (const auto &[host, link] : m_links) {
        if (link->connection) {
            connections.push_back(link->connection);
        }
    }
    return connections;
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::closeIdleLinks(TimePoint now)
{
    for (const auto &[host, link] : m_links) {
        const ConnectionPtr connection = link->connection;
        if (connection && connection->queuedBytes() == 0 && link->pending.empty() && now - link->lastUse >= m_options.idleLimit) {
            connection->close(CloseReason::Idle);
        }
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::countSent(const HostId &host, MessageKind kind, std::size_t bytes)
{
    for (PeerTraffic *traffic : {&m_counters.peers[host], &m_counters.kinds[kind]}) {
        ++traffic->framesOut;
        traffic->bytesOut += bytes;
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::received(const HostId &from, const Frame &frame)
{
    ++m_counters.peers[from].framesIn;
    m_counters.peers[from].bytesIn += frameHeaderBytes + frame.payload.size();
    if (frame.kind != MessageKind::Heartbeat) {
        dispatch(from, frame.kind, frame.payload);
    }
}

template <Clock ClockType>
void PeerNetwork<ClockType>::Core::dispatch(const HostId &from, MessageKind kind, std::span<const std::byte> payload)
{
    const auto found = m_frameHandlers.find(kind);
    if (found == m_frameHandlers.end()) {
        ++m_counters.unhandledFrames; // A newer host may send kinds that this one does not know.
        return;
    }
    PeerTraffic &traffic = m_counters.kinds[kind];
    ++traffic.framesIn;
    traffic.bytesIn += frameHeaderBytes + payload.size();
    const std::shared_ptr<const FrameHandler> handler = found->second; // The handler may replace itself or stop().
    (*handler)(from, payload);
}

// The public interface.

template <Clock ClockType>
PeerNetwork<ClockType>::PeerNetwork(boost::asio::io_context &context, PeerNetworkOptions options)
    : m_core(std::make_shared<Core>(context, std::move(options)))
{
}

template <Clock ClockType>
PeerNetwork<ClockType>::~PeerNetwork()
{
    m_core->stop();
}

template <Clock ClockType>
Result<void, StartError> PeerNetwork<ClockType>::start()
{
    return m_core->start();
}

template <Clock ClockType>
void PeerNetwork<ClockType>::stop()
{
    m_core->stop();
}

template <Clock ClockType>
void PeerNetwork<ClockType>::setAddress(const HostId &host, const PeerAddress &address)
{
    m_core->setAddress(host, address);
}

template <Clock ClockType>
void PeerNetwork<ClockType>::forget(const HostId &host)
{
    m_core->forget(host);
}

template <Clock ClockType>
Result<void, SendError> PeerNetwork<ClockType>::send(const HostId &host, MessageKind kind, std::vector<std::byte> payload)
{
    return m_core->send(host, kind, std::move(payload));
}

template <Clock ClockType>
void PeerNetwork<ClockType>::onFrame(MessageKind kind, FrameHandler handler)
{
    m_core->setFrameHandler(kind, std::move(handler));
}

template <Clock ClockType>
void PeerNetwork<ClockType>::onLink(LinkHandler handler)
{
    m_core->addLinkHandler(std::move(handler));
}

template <Clock ClockType>
const PeerCounters &PeerNetwork<ClockType>::counters() const
{
    return m_core->counters();
}

template <Clock ClockType>
std::uint16_t PeerNetwork<ClockType>::listenPort() const
{
    return m_core->listenPort();
}

template class PeerNetwork<SteadyClock>;
template class PeerNetwork<ManualClock>;

} // namespace Rhubarbwind
