#pragma once

// Handles prompt parts that crash the endpoints that answer prompts with them (quarantine/promptparttable.h): decides whether a request may be sent, and
// shares what it knows.
//
// Input: broken connections to endpoints as this host saw them, answers to requests, and updates of other hosts. Output: whether a request may be sent,
// updates for other hosts, log lines and counters. Performs no I/O of its own.
//
// A request with a quarantined part is rejected. One with a suspected part may run, at an endpoint chosen as for suspected requests, and is not resent
// after a break; its copies are not limited, since most suspected parts are unaffected. After a quarantine, the hosts may try the part one after the
// other, by their rank for the part, so that usually one request in the fleet decides about it.
//
// Crashes of a part that this host has seen no recent answers on are broadcast from the second on, others when nearly enough are known, since a popular part
// is at every crash, whatever its cause. Before that, crashes and evidence go to the hosts that count for the part.

#include "gateway/crashdetector.h"
#include "quarantine/answeredparts.h"
#include "quarantine/crashhistory.h"
#include "quarantine/promptparttable.h"
#include "telemetry/decisionlog.h"
#include "telemetry/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Rhubarbwind
{

struct PartHandlers
{
    std::function<void(const SuspectUpdate &)> sendToCrashCounters;
    std::function<void(const SuspectUpdate &)> broadcast;
    std::function<bool(const PartIdentity &)> countsCrashes; ///< this host counts the crashes of that part for the fleet
    std::function<std::size_t(const PartIdentity &)> rank; ///< number of live hosts that try the part before this one
    std::function<void()> onQuarantined; ///< called when a part becomes quarantined
};

/** The parts of a request's prompt that other requests may share. */
struct SharedParts
{
    std::string_view service;
    std::span<const std::string> ids; ///< in order, without the last part
    std::uint32_t customer = 0; ///< digest of the customer's id
};

/** What is known about the most suspicious of a request's parts. */
struct PartVerdict
{
    PartStatus status;
    PartIdentity part; ///< valid unless unsuspected
    std::size_t index = 0; ///< of the part in the prompt
};

class PromptPartTracker
{
public:
    PromptPartTracker(PartOptions options, std::shared_ptr<DecisionLog> log, Metrics &metrics)
        : m_table(options)
        , m_history(CrashHistoryOptions())
        , m_log(std::move(log))
        , m_metrics(metrics)
    {
    }

    void setHandlers(PartHandlers handlers)
    {
        m_handlers = std::move(handlers);
    }

    PartVerdict check(const SharedParts &parts, TimePoint now) const;
    /** Registers a request that tries a part after its quarantine. @return false if this host must not try it now */
    bool beginTrial(const PartVerdict &verdict, TimePoint now);
    void endTrial(const PartIdentity &part)
    {
        m_trials.erase(part);
    }
    /** Digests of the addresses of endpoints that crashed under the part. */
    std::vector<std::uint32_t> crashAddresses(const PartIdentity &part) const;

    /** An answer that began at `begunAt` is complete, or has `earlyEvents` events. */
    void answered(const SharedParts &parts, TimePoint begunAt, bool isComplete, TimePoint now);
    /** Handles the result of a check of broken connections, whatever it is. */
    void handleBreak(const EndpointBreak &seen, TimePoint now);
    void receive(const SuspectUpdate &update, TimePoint now);
    /** Clears the part on all hosts, on behalf of an operator. @return false if nothing is held against it */
    bool lift(const PartIdentity &part, TimePoint now);
    void rejected()
    {
        m_metrics.add("rhubarbwind_prompt_part_rejections_total", {});
    }

    /** Adds what other hosts should know, limited to one datagram; a different part with each call. */
    void addRepeats(SuspectUpdate &update, TimePoint now);
    std::vector<PartRow> rows(TimePoint now) const
    {
        return m_table.rows(now);
    }
    /** Call about once a second. */
    void tick(TimePoint now);
    /** Sets the gauges. */
    void measure(TimePoint now);

private:
    struct BrokenPart;
    std::vector<BrokenPart> brokenParts(const EndpointBreak &seen) const;
    void recordCrash(const BrokenPart &broken, const EndpointBreak &seen, SuspectUpdate &forCrashCounters, TimePoint now);
    bool isToBroadcast(const PartIdentity &part) const;
    void appendCrashes(SuspectUpdate &update, const PartSuspect &part, TimePoint now) const;
    void broadcastCrashes(const PartSuspect &part, TimePoint now) const;
    void addEvidence(const PartSuspect &part, const PartEvidence &evidence, TimePoint now);
    void decide(std::string_view source, TimePoint now);

    PromptPartTable m_table;
    CrashHistory m_history;
    AnsweredParts m_answered;
    std::set<PartIdentity> m_trials; ///< parts that a request of this host is trying
    PartHandlers m_handlers;
    std::shared_ptr<DecisionLog> m_log;
    Metrics &m_metrics;
    std::size_t m_repeatOffset = 0; ///< row at which the next addRepeats() begins
};

} // namespace Rhubarbwind
