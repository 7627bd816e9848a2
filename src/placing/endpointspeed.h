#pragma once

// Learns how fast the endpoints of a service work: the usual time between two events of a stream, the usual rate at which prompts are read, and how much
// slower than usual an endpoint is now. Pure decision logic; performs no I/O.
//
// Load pattern: engines of one service differ by a factor of two to six, each has spells in which all its work takes 2.5 times as long, and no
// configuration states either. A reported slowdown is relative to what is usual at the engine, so it says nothing about the usual speed. A host of 73 sees
// an engine once in 20 s, so what its peers announce decides.
//
// Event time: the pauses of all streams, as they would be with one stream (a step takes longer with each stream, see steppace.h). A pause is counted apart
// while prompt tokens are known to be unread at the endpoint, and while it states a slowdown; such pauses are used only until there are others. A low
// quantile of the rest is not affected by spells and chunks that the host does not know of. The figures of peers are merged in the same way, weighted by
// their samples.
//
// Read rate: decoding and reading scale alike with the speed of an engine, so the rate is inferred from its event time and the tokens that an engine of
// the service reads in one event time. That product is the same for all engines of a service: it is learned from the waits for first events of all of
// them, and starts from the stated rate. Waits at the engine itself adjust its rate, within bounds.
//
// Slowdown: as last reported, fading towards 1 with the age of the report, since spells are shorter than a second. A report never changes the usual
// speed: it only excludes pauses. While an endpoint reports a slowdown, the pauses there show how much of it is real, and that share is applied. So a
// false figure is outweighed by some tens of pauses, and its effect is bounded before.
//
// One object per incarnation of an endpoint: everything learned is lost with it. About 200 bytes each; estimates take constant time.

#include "base/time.h"
#include "fleet/fleetmessage.h"
#include "placing/speedestimate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Rhubarbwind
{

/** The last N values. */
template <class Value, std::size_t size>
class RecentValues
{
public:
    void add(Value value)
    {
        m_values[m_next] = value;
        m_next = (m_next + 1) % size;
        m_count = m_count < size ? m_count + 1 : size;
    }
    const Value *begin() const
    {
        return m_values.data();
    }
    const Value *end() const
    {
        return m_values.data() + m_count;
    }
    std::size_t count() const
    {
        return m_count;
    }

private:
    std::array<Value, size> m_values{};
    std::size_t m_next = 0;
    std::size_t m_count = 0;
};

/** How often the endpoints of a service report which slowdown. Reports arrive with answers, so they sample the time in which the endpoints are used. */
class SlowdownShares
{
public:
    void observe(double slowdown);
    /** Share of the time with a slowdown above `slowdown`, to a quarter; zero without reports. */
    double shareAbove(double slowdown) const;

private:
    static constexpr double memory = 1000; ///< reports that count; a host sees some in a second, and a share of 0.15 needs hundreds
    static constexpr double binWidth = 0.25;
    static std::size_t binOf(double slowdown);

    std::array<double, 17> m_weights{}; ///< by bin; the last one holds all above
    double m_total = 0;
};

/** What the endpoints of one service have in common. */
class ServiceSpeedEstimator
{
public:
    /** @param statedTokensPerMs read rate as stated for the deployment */
    explicit ServiceSpeedEstimator(double statedTokensPerMs = 60)
        : m_statedTokensPerMs(statedTokensPerMs)
    {
    }

    /** An endpoint reported a slowdown, to this host or to a peer. */
    void observeReport(double slowdown, TimePoint now);
    /** Whether the service's endpoints report their slowdown. Without that, estimates are not used. */
    bool isInForce(TimePoint now) const;
    double shareSlowerThan(double slowdown) const
    {
        return m_slowdowns.shareAbove(slowdown);
    }

    const SlowdownShares &slowdowns() const
    {
        return m_slowdowns;
    }

    /** An endpoint that takes `eventMs` for an event read prompts at this rate. */
    void observeRead(double tokensPerMs, double eventMs);
    /** Sets the mean over the endpoints with samples; zero: none has any. */
    void setMeanEventMs(double ms)
    {
        m_meanEventMs = ms;
    }
    double meanEventMs() const
    {
        return m_meanEventMs;
    }
    /** Usual read rate of an endpoint, inferred from its event time. @param eventMs zero: not known, the service's mean is used */
    double tokensPerMs(double eventMs) const;

private:
    double m_statedTokensPerMs;
    SlowdownShares m_slowdowns;
    std::optional<TimePoint> m_reportedAt;
    double m_meanEventMs = 0;
    RecentValues<float, 32> m_tokensPerEventTime;
    double m_usualTokensPerEventTime = 0; ///< of them; zero: none
};

/** A pause between two events of a stream, and what was known of the endpoint meanwhile. */
struct ObservedPause
{
    double ms = 0;
    double running = 1; ///< streams at the endpoint, this one included
    double doublingStreams = 32; ///< that double a step's time
    bool hasUnreadTokens = false; ///< the endpoint was most likely reading prompts
};

struct ObservedFirstEvent
{
    std::uint32_t readTokens = 0; ///< tokens that the endpoint most likely had to read for it
    double predictedMs = 0; ///< wait before that, as predicted
    double waitMs = 0;
};

class EndpointSpeedEstimator
{
public:
    static constexpr double minSlowdown = 0.5;
    static constexpr double maxSlowdown = 4.0; ///< limits the effect of a false report

    void observePause(const ObservedPause &pause, const ServiceSpeedEstimator &service, TimePoint now);
    void observeFirstEvent(const ObservedFirstEvent &event, ServiceSpeedEstimator &service, TimePoint now);
    /** @param slowdownPercent as reported: 100 is usual; zero: not stated */
    void observeReport(std::uint32_t slowdownPercent, ServiceSpeedEstimator &service, TimePoint now);
    void addPeer(const SharedSpeed &speed, ServiceSpeedEstimator &service, TimePoint now);

    SpeedEstimate estimate(const ServiceSpeedEstimator &service, TimePoint now) const;
    /** Time of an event with one stream; zero: no samples. */
    double eventMs() const
    {
        return m_eventMs;
    }
    /** Pauses that this host has observed. */
    std::uint32_t ownSamples() const
    {
        return m_ownSamples;
    }
    /** When something was last learned about it. */
    std::optional<TimePoint> learnedAt() const
    {
        return m_learnedAt;
    }

    /** How much peers would learn from this host's figures; zero: nothing that they don't know. */
    double novelty() const;
    /** The figures for peers. They count as announced from now on. @param key as in SharedLoad */
    SharedSpeed announce(std::uint32_t key, TimePoint now);

private:
    struct PeerFigure
    {
        float eventMs = 0;
        std::uint16_t samples = 0;
    };

    double ownEventMs() const;
    double ownWeight() const;
    void merge();
    double slowdown(TimePoint now) const;
    /** Weight of the last report: 1 when it arrives, falling to 0. */
    double fading(TimePoint now) const;
    /** The stated slowdown, of a report that is recent enough to tell a spell. */
    std::optional<double> recentSlowdown(TimePoint now) const;
    void addRate(double tokensPerMs, ServiceSpeedEstimator &service);

    RecentValues<float, 32> m_pauses; ///< as with one stream, in ms
    RecentValues<float, 24> m_doubtful; ///< the same while a slowdown was stated
    RecentValues<float, 24> m_lengthened; ///< the same while tokens were unread
    double m_maxLengthenedMs = 0; ///< a higher value of m_lengthened is not used
    RecentValues<PeerFigure, 8> m_peers;
    RecentValues<float, 8> m_rates; ///< tokens per ms, from waits here and at peers
    double m_eventMs = 0; ///< of own and peers' samples
    double m_peerEventMs = 0; ///< of peers' samples alone
    double m_peerWeight = 0;
    double m_usualRate = 0; ///< of m_rates; zero: none
    double m_unpairedRate = 0; ///< measured before the event time was known
    double m_ownRate = 0; ///< last one measured by this host
    std::uint32_t m_ownSamples = 0;
    std::uint32_t m_announcedSamples = 0;
    double m_announcedEventMs = 0;
    double m_stated = 1;
    std::optional<TimePoint> m_statedAt;
    double m_realShare = 1; ///< of stated slowdowns, on a logarithmic scale
    std::optional<TimePoint> m_learnedAt;
};

} // namespace Rhubarbwind
