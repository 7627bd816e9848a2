#pragma once

// Keeps a host's mirrors of the platform's objects current together with the other hosts: passes on what its mirrors receive, applies what peers send, watches
// when the fleet decides so, and requests what is missing, first from peers and then from the platform.
//
// Use: add a mirror for each topic of the fleet, in the order of the topics; pass the events of the mirrors and of the fleet; call tick() about ten times a
// second. The fleet must outlive it.

#include "daemon/sharedchanges.h"
#include "fleet/fleetview.h"
#include "telemetry/decisionlog.h"

#include <array>
#include <concepts>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace Rhubarbwind
{

template <class T>
concept SyncedMirror = requires(T mirror, const T &constMirror, const MirrorChanges &changes)
{
    {
        constMirror.changedAt()
        } -> std::same_as<std::uint64_t>;
    {
        constMirror.revision()
        } -> std::same_as<std::uint64_t>;
    {
        constMirror.isCurrent()
        } -> std::same_as<bool>;
    {
        mirror.applyChanges(changes)
        } -> std::same_as<bool>;
    mirror.requestChanges();
    mirror.setWatching(true, Duration());
};

template <class T>
concept SyncedFleet = requires(T fleet, const SharedBatch &batch)
{
    {
        fleet.view()
        } -> std::same_as<FleetView &>;
    {
        fleet.share(batch, true)
        } -> std::same_as<bool>;
    fleet.hold(batch, true);
    fleet.requestFromPeers(std::size_t(), std::uint64_t(), true);
    fleet.announce();
};

template <SyncedMirror Mirror, SyncedFleet Fleet>
class TopicSync
{
public:
    using EventLog = std::function<void(std::string_view event, const LogFields &)>;

    /** @param startedAt when this host started */
    TopicSync(Fleet &fleet, EventLog log, TimePoint startedAt)
        : m_fleet(fleet)
        , m_log(std::move(log))
        , m_startedAt(startedAt)
    {
    }

    void add(std::shared_ptr<Mirror> mirror)
    {
        m_mirrors.push_back(std::move(mirror));
    }
    Mirror &mirror(std::size_t topic)
    {
        return *m_mirrors[topic];
    }
    std::span<const std::shared_ptr<Mirror>> mirrors() const
    {
        return m_mirrors;
    }

    /** The platform answered a mirror. */
    void answered(std::size_t topic, TimePoint now)
    {
        publishPosition(topic, now);
    }
    /** The platform answered a mirror without anything newer, as of `revision`. */
    void unchanged(std::size_t topic, std::uint64_t revision)
    {
        m_fleet.view().noteUnchanged(topic, revision);
    }
    /** The platform answered a mirror with changes. Broadcasts them; those too large for datagrams are only announced. */
    void changed(std::size_t topic, const MirrorChanges &changes, RequestCause cause, TimePoint now)
    {
        const Mirror &mirror = *m_mirrors[topic];
        m_missing[topic].lastSource = cause == RequestCause::HistoryGone ? "listing" : "platform";
        publishPosition(topic, now);
        const bool standalone = mirror.requestsFullListing();
        const bool broadcasts = shouldBroadcast(cause, mirror.isWatching());
        bool isShared = true;
        for (const SharedBatch &batch : batchesOf(static_cast<std::uint8_t>(topic), changes, standalone)) {
            if (broadcasts) {
                isShared = m_fleet.share(batch, standalone) && isShared;
            } else {
                m_fleet.hold(batch, standalone);
            }
        }
        if (!isShared) {
            m_fleet.announce();
        }
    }

    /** Applies a peer's batch. @return false if its content can't be read */
    bool receive(const SharedBatch &batch, TimePoint now)
    {
        if (batch.topic >= m_mirrors.size()) {
            return true;
        }
        const std::optional<MirrorChanges> changes = changesOf(batch);
        if (!changes) {
            return false;
        }
        Mirror &mirror = *m_mirrors[batch.topic];
        m_fleet.hold(batch, mirror.requestsFullListing());
        m_missing[batch.topic].lastSource = "peer";
        // After a gap the watchers' beacons will show that this host is behind, unless another host's copy has filled the gap by then.
        m_isReceiving = true;
        mirror.applyChanges(*changes);
        m_isReceiving = false;
        publishPosition(batch.topic, now);
        return true;
    }
    /** True while a peer's batch is being applied. */
    bool isReceiving() const
    {
        return m_isReceiving;
    }

    void tick(TimePoint now)
    {
        updateWatches(now);
        requestMissing(now);
        m_hasCaughtUp = m_hasCaughtUp || isAsCurrentAsPeers(now);
    }

    /** Requests what peers have announced and this host does not hold. Call after a beacon, too. */
    void requestMissing(TimePoint now)
    {
        for (std::size_t topic = 0; topic < m_mirrors.size(); ++topic) {
            Mirror &mirror = *m_mirrors[topic];
            publishPosition(topic, now);
            logMissing(topic, now);
            if (m_fleet.view().isBehind(topic, now)) {
                m_fleet.view().markRequested(topic, now);
                mirror.requestChanges();
            }
            const bool standalone = mirror.requestsFullListing();
            m_fleet.requestFromPeers(topic, standalone ? mirror.changedAt() : mirror.revision(), standalone);
        }
    }

    /**
     * Whether this host has been as current as its peers once since it started. A host that has not been could send requests to endpoints that its peers
     * know to be leaving.
     */
    bool hasCaughtUp() const
    {
        return m_hasCaughtUp;
    }

private:
    // A host of a fleet that has just started as a whole hears of the first peer after a beacon's interval.
    static constexpr Duration maxWaitForPeers = 1s;
    // A host that can reach neither the platform nor a peer that has the changes may serve by what it has: better than no host.
    static constexpr Duration maxCatchUp = 5s;
    // Changes usually arrive within half a second of their first announcement.
    static constexpr Duration missingLogAge = 500ms;

    /** An episode in which this host lacks a change that peers have announced. */
    struct Missing
    {
        TimePoint since{}; ///< of the first announcement; zero: no episode has been logged
        std::string_view lastSource; ///< of the last change
    };

    bool isAsCurrentAsPeers(TimePoint now)
    {
        const FleetView &view = m_fleet.view();
        for (std::size_t topic = 0; topic < m_mirrors.size(); ++topic) {
            if (m_mirrors[topic]->changedAt() == 0) {
                return false;
            }
        }
        m_listedAt = m_listedAt == TimePoint() ? now : m_listedAt;
        if (now - m_listedAt >= maxCatchUp) {
            m_log("served-before-caught-up", LogFields());
            return true;
        }
        if (view.alive() == 0 && now - m_startedAt < maxWaitForPeers) {
            return false;
        }
        for (std::size_t topic = 0; topic < m_mirrors.size(); ++topic) {
            if (!m_mirrors[topic]->isCurrent() || view.missingFor(topic, now) > Duration::zero()) {
                return false;
            }
        }
        return true;
    }

    void publishPosition(std::size_t topic, TimePoint now)
    {
        const Mirror &mirror = *m_mirrors[topic];
        m_fleet.view().setPosition(topic, {mirror.changedAt(), now - mirror.lastAnswerAt(), mirror.isWatching()}, now, mirror.revision());
    }

    /** Starts or stops each mirror's watch, as the fleet decides. */
    void updateWatches(TimePoint now)
    {
        FleetView &view = m_fleet.view();
        const std::size_t hosts = view.alive() + 1;
        for (std::size_t topic = 0; topic < m_mirrors.size(); ++topic) {
            Mirror &mirror = *m_mirrors[topic];
            mirror.setFollowers(hosts);
            const bool watches = view.shouldWatch(topic, now);
            if (watches != mirror.isWatching()) {
                const Duration silence = view.platformSilence(topic, now);
                m_log(watches ? "watch-taken" : "watch-left",
                      LogFields().number("topic", static_cast<std::int64_t>(topic)).number("unheard_ms", milliseconds(silence)));
            }
            mirror.setWatching(watches, view.watchWait(topic, now));
        }
    }

    void logMissing(std::size_t topic, TimePoint now)
    {
        const FleetView &view = m_fleet.view();
        const Mirror &mirror = *m_mirrors[topic];
        Missing &missing = m_missing[topic];
        const Duration age = view.missingFor(topic, now);
        const bool hasBegun = age >= missingLogAge && missing.since == TimePoint();
        const bool hasEnded = age == Duration::zero() && missing.since != TimePoint();
        if (!hasBegun && !hasEnded) {
            return;
        }
        LogFields fields;
        fields.text("topic", mirror.kind()).number("revision", static_cast<std::int64_t>(mirror.revision()));
        if (hasBegun) {
            missing.since = now - age;
            fields.number("announced", static_cast<std::int64_t>(view.announcedRevision(topic))).number("age_ms", milliseconds(age));
            m_log("changes-missing", fields);
        } else {
            fields.text("source", missing.lastSource).number("age_ms", milliseconds(now - std::exchange(missing.since, TimePoint())));
            m_log("changes-received", fields);
        }
    }

    static std::int64_t milliseconds(Duration duration)
    {
        constexpr std::int64_t microsecondsPerMs = 1000;
        return toMicroseconds(duration) / microsecondsPerMs;
    }

    Fleet &m_fleet;
    EventLog m_log;
    TimePoint m_startedAt;
    TimePoint m_listedAt{}; ///< when each topic had been listed
    std::vector<std::shared_ptr<Mirror>> m_mirrors; ///< indexed by the fleet's topic
    std::array<Missing, maxTopics> m_missing; ///< the same
    bool m_isReceiving = false;
    bool m_hasCaughtUp = false;
};

} // namespace Rhubarbwind
