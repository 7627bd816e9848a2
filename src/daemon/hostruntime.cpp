#include "daemon/hostruntime.h"

#include "daemon/hostadmin.h"
#include "daemon/hostoptions.h"
#include "daemon/hostparts.h"
#include "telemetry/log.h"

#include <set>

namespace Rhubarbwind
{

namespace
{

constexpr Duration drainTickInterval = 50ms;
// An operator's order must be seen again before the directory forgets a report of leaving (60 s).
constexpr Duration drainOrderInterval = 15s;

} // namespace

std::uint64_t unixMilliseconds()
{
    const std::chrono::system_clock::duration since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

HostParts::HostParts(boost::asio::io_context &given, const Settings &givenSettings)
    : context(given)
    , settings(givenSettings)
    , started(SteadyClock::now())
    , incarnation(unixMilliseconds())
    , spans(settings.spanRing)
    , network(context, networkOptions(settings))
    , platform(std::make_shared<PlatformConnections<SteadyClock>>(context.get_executor(), platformOptions(settings)))
    , objects(platform)
    , hostList(platform)
    , members(context, membershipOptions(settings, std::hash<std::string>()(freshId())))
    , presets(std::make_shared<HostPresets>(context.get_executor(), objects, network, presetOptions(settings, std::hash<std::string>()(freshId()))))
    , directory(DirectoryOptions{})
    , permits(std::make_shared<HostPermits>(
          context,
          network,
          arbiterOptions(settings, incarnation),
          [options = poolOptions(settings)](const ShardId &) { return std::make_unique<EndpointPool>(options, SteadyClock::now()); }))
    , claims(std::make_shared<HostClaims>(context, objects, network, ledgerOptions(settings)))
    , relay(
          context,
          relayOptions(settings),
          *permits,
          *claims,
          [this] { return presets->current(); },
          [this](const EndpointId &id) -> std::optional<EndpointLocation> {
              const std::optional<Endpoint> endpoint = directory.find(id);
              return endpoint ? std::optional<EndpointLocation>(*endpoint) : std::nullopt;
          },
          metrics,
          spans,
          settings.host)
    , endpointOrders(context.get_executor())
    , placement(std::make_shared<HostPlacement>(context, objects, endpointOrders, placementOptions(settings)))
    , explain(std::make_shared<ExplainGather<SteadyClock, HostNetwork>>(context.get_executor(), network, spans, settings.host))
    , drain(drainOptions(settings))
{
}

class HostRuntime::Impl : public std::enable_shared_from_this<HostRuntime::Impl>
{
public:
    Impl(boost::asio::io_context &context, const Settings &settings)
        : m_parts(context, settings)
        , m_poller(std::make_shared<EndpointPoller<SteadyClock>>(context.get_executor(), settings.platform.loadReportInterval, endpointNews()))
        , m_admin(context, adminOptions(settings), settings.operators, adminPorts(m_parts, orders()))
        , m_hostListTimer(context)
        , m_drainOrderTimer(context)
        , m_drainTimer(context)
    {
    }

    Result<void, HostStartError> start()
    {
        wireMembers();
        wirePresets();
        m_parts.relay.onEndpointDraining([this](const EndpointId &endpoint) { endpointLeaving(endpoint); });
        m_parts.network.onLink([this](const HostId &peer, LinkState state) { m_parts.permits->linkChanged(peer, state); });
        m_parts.network.onFrame(MessageKind::DrainOrder, [this](const HostId &, std::span<const std::byte>) { orderStop(); });
        if (m_parts.network.start().has_error() || m_parts.members.start(ownMember(), {}).has_error()) {
            return HostStartError::PeersAddress;
        }
        m_parts.explain->start();
        m_parts.claims->start();
        m_parts.permits->start();
        m_parts.presets->start();
        m_poller->start();
        viewChanged();
        if (m_parts.relay.listen().has_error()) {
            return HostStartError::CallersAddress;
        }
        if (m_admin.listen().has_error()) {
            return HostStartError::AdminAddress;
        }
        readHostList();
        readDrainOrders();
        return success();
    }

    void orderStop()
    {
        const std::vector<DrainStep> steps = m_parts.drain.order(SteadyClock::now());
        if (!steps.empty()) {
            m_log.info("A planned stop has begun.");
            carryOut(steps);
            tickDrain();
        }
    }

private:
    Member ownMember() const
    {
        Member member;
        member.host = m_parts.settings.host;
        member.address = {m_parts.settings.peers.ip, m_parts.settings.peers.port};
        member.domain = m_parts.settings.domain;
        member.incarnation.start = m_parts.incarnation;
        return member;
    }

    void wireMembers()
    {
        MembershipHandlers handlers;
        handlers.onMember = [this](const Member &member) { m_parts.network.setAddress(member.host, member.address); };
        handlers.onForgotten = [this](const HostId &host) { m_parts.network.forget(host); };
        handlers.onView = [this] { viewChanged(); };
        handlers.onEndpointFact = [this](const EndpointFact &fact) { factChanged(fact); };
        handlers.onPresetVersion = [this](const HostId &host, std::uint64_t version) { m_parts.presets->heard(host, version); };
        handlers.onSuperseded = [this] {
            m_log.error("Another process started later under this host's name; this one stops.");
            orderStop();
        };
        m_parts.members.setHandlers(std::move(handlers));
    }

    void wirePresets()
    {
        m_parts.presets->onChange([this](const PresetPointer &preset) {
            m_log.info("Preset " + preset->preset.name.text() + " is in force, version " + std::to_string(preset->version) + ".");
            m_parts.permits->setPreset(preset);
            m_parts.placement->setRules(preset->preset.placement);
            m_parts.members.setPresetVersion(preset->version);
        });
    }

    /** The members changed: duties move with them. */
    void viewChanged()
    {
        const std::vector<HostId> live = m_parts.members.view().aliveHosts();
        m_parts.permits->setDomains(hostDomains());
        m_parts.permits->setHosts(live);
        m_parts.claims->setHosts(live);
        m_parts.placement->setHosts(live);
        m_parts.presets->setHosts(m_parts.settings.host, livePeers(live));
        pollServedShards();
    }

    std::map<HostId, FailureDomain> hostDomains() const
    {
        std::map<HostId, FailureDomain> domains{{m_parts.settings.host, m_parts.settings.domain}};
        for (const Member &member : m_parts.members.view().members()) {
            domains.emplace(member.host, member.domain);
        }
        return domains;
    }

    std::vector<PresetPeer> livePeers(std::span<const HostId> live) const
    {
        std::vector<PresetPeer> peers;
        for (const Member &member : m_parts.members.view().members()) {
            if (std::ranges::binary_search(live, member.host)) {
                peers.push_back({member.host, member.domain});
            }
        }
        if (std::ranges::binary_search(live, m_parts.settings.host)) {
            peers.push_back({m_parts.settings.host, m_parts.settings.domain});
        }
        return peers;
    }

    void readHostList()
    {
        m_parts.hostList.hosts([this](const PlatformResult<std::vector<ListedHost>> &listed) {
            m_parts.platformReached = listed.has_value();
            if (listed.has_value()) {
                takeHostList(listed.value());
            }
            after(m_hostListTimer, jittered(m_parts.settings.platform.hostListInterval), [this] { readHostList(); });
        });
    }

    void takeHostList(std::span<const ListedHost> listed)
    {
        std::vector<SeedHost> routers;
        for (const ListedHost &host : listed) {
            if (host.role == "router") {
                routers.push_back({HostId(host.name), {host.ip, host.port}, FailureDomain(host.domain), host.state == "leaving"});
            }
        }
        m_parts.members.hostList(routers);
        if (m_parts.directory.hostList(SteadyClock::now(), listed)) {
            endpointsChanged();
        }
    }

    void endpointsChanged()
    {
        for (const ShardId &shard : m_parts.directory.shards()) {
            m_shards.insert(shard);
        }
        for (const ShardId &shard : m_shards) {
            m_parts.permits->setEndpoints(shard, m_parts.directory.endpointsOf(shard));
        }
        m_parts.placement->setEndpoints(orderedEndpoints());
        pollServedShards();
    }

    /** Engines that take orders: one that leaves is left as it is. */
    std::vector<OrderedEndpoint> orderedEndpoints() const
    {
        std::vector<OrderedEndpoint> ordered;
        for (const Endpoint &endpoint : m_parts.directory.all()) {
            if (endpoint.kind == EndpointKind::Engine && endpoint.state == EndpointState::Live) {
                ordered.push_back({endpoint.id, endpoint.domain, endpoint.address, endpoint.port, endpoint.checksFencing});
            }
        }
        return ordered;
    }

    /** Only the arbiter's host asks a shard's endpoints, so that their number does not grow with the fleet. */
    void pollServedShards()
    {
        std::vector<Endpoint> polled;
        for (const ShardId &shard : m_parts.directory.shards()) {
            m_parts.permits->withPool(shard, [&](EndpointPool &) {
                const std::vector<Endpoint> endpoints = m_parts.directory.endpointsOf(shard);
                polled.insert(polled.end(), endpoints.begin(), endpoints.end());
            });
        }
        m_poller->setEndpoints(polled);
    }

    EndpointNews endpointNews()
    {
        EndpointNews news;
        news.onLoad = [this](const LoadReport &report) { m_parts.permits->loadReport(report); };
        news.onCacheEvent = [this](const CacheEvent &event) {
            const std::optional<Endpoint> endpoint = m_parts.directory.find(event.endpoint);
            if (endpoint) {
                m_parts.permits->withPool(endpoint->shard, [&event](EndpointPool &pool) { pool.cacheEvent(SteadyClock::now(), event); });
            }
        };
        news.onDraining = [this](const EndpointId &endpoint) { endpointLeaving(endpoint); };
        return news;
    }

    /** First-hand news that an endpoint leaves: in force here at once, told to the members. */
    void endpointLeaving(const EndpointId &endpoint)
    {
        if (m_parts.directory.leaving(SteadyClock::now(), endpoint)) {
            m_log.info("Endpoint " + endpoint.text() + " is leaving.");
            endpointsChanged();
            m_parts.members.endpointLeaving(endpoint, unixMilliseconds());
        }
    }

    void endpointReturned(const EndpointId &endpoint)
    {
        m_parts.members.endpointReturned(endpoint, unixMilliseconds());
        if (m_parts.directory.returned(endpoint)) {
            endpointsChanged();
        }
    }

    void factChanged(const EndpointFact &fact)
    {
        const bool news = fact.leaving ? m_parts.directory.leaving(SteadyClock::now(), fact.endpoint) : m_parts.directory.returned(fact.endpoint);
        if (news) {
            endpointsChanged();
        }
    }

    void readDrainOrders()
    {
        m_parts.objects.list(std::string(drainOrderPrefix), [this](const PlatformResult<std::vector<StoredObject>> &ordered) {
            if (ordered.has_value()) {
                takeDrainOrders(ordered.value());
            }
            after(m_drainOrderTimer, jittered(drainOrderInterval), [this] { readDrainOrders(); });
        });
    }

    void takeDrainOrders(std::span<const StoredObject> ordered)
    {
        for (const StoredObject &object : ordered) {
            endpointLeaving(EndpointId(object.key.substr(drainOrderPrefix.size())));
        }
    }

    void tickDrain()
    {
        if (m_parts.drain.stage() == DrainStage::Stopped) {
            return;
        }
        carryOut(m_parts.drain.tick(SteadyClock::now(), m_parts.relay.stats().running));
        after(m_drainTimer, drainTickInterval, [this] { tickDrain(); });
    }

    void carryOut(std::span<const DrainStep> steps)
    {
        for (const DrainStep step : steps) {
            switch (step) {
            case DrainStep::TurnNotReady:
                break; // readiness reads the stage
            case DrainStep::CloseListener:
                m_parts.relay.drain([] {});
                break;
            case DrainStep::AnnounceLeave:
                m_parts.members.leave();
                break;
            case DrainStep::Stop:
                stop();
                break;
            }
        }
    }

    void stop()
    {
        if (m_parts.drain.cutOff() > 0) {
            m_log.warn("The drain limit cut off " + std::to_string(m_parts.drain.cutOff()) + " requests.");
        }
        m_poller->stop();
        m_parts.presets->stop();
        m_parts.placement->stop();
        m_parts.claims->stop();
        m_parts.permits->stop();
        m_parts.members.stop();
        m_parts.network.stop();
        m_parts.platform->close();
        m_parts.context.stop();
    }

    /** Half to one and a half of the interval: hosts that started together must not read the platform in step. */
    Duration jittered(Duration interval)
    {
        return fromSeconds(toSeconds(interval) * (0.5 + m_random.uniform()));
    }

    template <class Action>
    void after(SessionTimer<SteadyClock> &timer, Duration wait, Action action)
    {
        timer.expires_after(wait);
        timer.async_wait([self = shared_from_this(), action](boost::system::error_code error) {
            if (!error) {
                action();
            }
        });
    }

    HostOrders orders()
    {
        return {[this] { orderStop(); },
                [this](const EndpointId &endpoint) { endpointLeaving(endpoint); },
                [this](const EndpointId &endpoint) { endpointReturned(endpoint); }};
    }

    Log m_log{LogPart::Daemon};
    Random m_random{std::hash<std::string>()(freshId())};
    HostParts m_parts;
    std::shared_ptr<EndpointPoller<SteadyClock>> m_poller;
    AdminFront m_admin;
    /** Every shard ever seen: one whose endpoints all went is told so. */
    std::set<ShardId> m_shards;
    SessionTimer<SteadyClock> m_hostListTimer;
    SessionTimer<SteadyClock> m_drainOrderTimer;
    SessionTimer<SteadyClock> m_drainTimer;
};

HostRuntime::HostRuntime(boost::asio::io_context &context, const Settings &settings)
    : m_impl(std::make_shared<Impl>(context, settings))
{
}

HostRuntime::~HostRuntime() = default;

Result<void, HostStartError> HostRuntime::start()
{
    return m_impl->start();
}

void HostRuntime::orderStop()
{
    m_impl->orderStop();
}

} // namespace Rhubarbwind
