#include "gateway/promptparttracker.h"

#include "gateway/partids.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Rhubarbwind
{

namespace
{

// One crash makes suspects of all parts at an engine; only from the second crash on does a part stand out.
constexpr std::size_t crashesForBroadcast = 2;
// Fewer crashes than these do not quarantine a part that is being answered.
constexpr std::size_t answeredCrashesForBroadcast = 4;
// Bounds the messages about one crash. The parts of an engine's requests without recent answers are fewer.
constexpr std::size_t maxPartsPerBreak = 64;
constexpr std::size_t maxLoggedCrashes = 8;
// A request reaches a host within it where the part is in use, and is answered within it.
constexpr Duration trialInterval = 30s;

SharedPartCrash shared(const PartSuspect &part, const PartCrash &each, TimePoint now)
{
    SharedPartCrash crash;
    crash.identityHigh = part.identity.high;
    crash.identityLow = part.identity.low;
    crash.shape = part.shape;
    crash.incarnationKey = each.crash.incarnationKey;
    crash.customer = each.customer;
    crash.addressDigest = each.crash.addressDigest;
    crash.age = now - each.crash.at;
    crash.chance = each.crash.chance;
    crash.depth = part.depth;
    crash.isEarly = each.isEarly;
    return crash;
}

SharedPartEvidence shared(const PartSuspect &part, const PartEvidence &evidence, TimePoint now)
{
    return {part.identity.high, part.identity.low, part.shape, evidence.customer, now - evidence.begunAt, evidence.isComplete, false};
}

SharedPartEvidence sharedLift(const PartSuspect &part, TimePoint liftedAt, TimePoint now)
{
    SharedPartEvidence lift = shared(part, PartEvidence{0, liftedAt, true}, now);
    lift.isLift = true;
    return lift;
}

PartSuspect partOf(const SharedPartCrash &crash)
{
    return {{crash.identityHigh, crash.identityLow}, crash.shape, crash.depth};
}

PartSuspect partOf(const SharedPartEvidence &evidence)
{
    return {{evidence.identityHigh, evidence.identityLow}, evidence.shape, 0};
}

/** Crashes as `incarnation@age`, the latest last. */
std::string textOf(std::span<const PartCrash> crashes, TimePoint now)
{
    std::string text;
    for (const PartCrash &each : crashes.last(std::min(crashes.size(), maxLoggedCrashes))) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.crash.at).count();
        text += (text.empty() ? "" : " ") + std::to_string(each.crash.incarnationKey) + "@" + std::to_string(age) + "ms";
    }
    return text;
}

std::size_t customersOf(std::span<const PartCrash> crashes)
{
    std::set<std::uint32_t> customers;
    for (const PartCrash &each : crashes) {
        customers.insert(each.customer);
    }
    return customers.size();
}

} // namespace

/** A part of interrupted requests of one customer. */
struct PromptPartTracker::BrokenPart
{
    PartSuspect part; ///< identity not computed
    std::string id;
    std::string service;
    std::uint32_t customer = 0;
    TimePoint firstSentAt;
    bool isEarly = false;
    bool isAnswered = false; ///< this host has recently received answers on it
};

PartVerdict PromptPartTracker::check(const SharedParts &parts, TimePoint now) const
{
    PartVerdict worst;
    if (m_table.empty()) {
        return worst;
    }
    for (std::size_t i = 0; i < parts.ids.size(); ++i) {
        if (!m_table.knowsShape(partShapeOf(parts.service, parts.ids[i]))) {
            continue;
        }
        const PartIdentity identity = partIdentityOf(parts.service, parts.ids[i]);
        const PartStatus status = m_table.status(identity, parts.customer, now);
        const auto weight = [](PartState state) {
            return state == PartState::Quarantined ? 3 : state == PartState::Trial ? 2 : state == PartState::Suspect ? 1 : 0;
        };
        if (weight(status.state) > weight(worst.status.state)) {
            worst = {status, identity, i};
        }
    }
    return worst;
}

bool PromptPartTracker::beginTrial(const PartVerdict &verdict, TimePoint now)
{
    const std::size_t rank = m_handlers.rank ? m_handlers.rank(verdict.part) : 0;
    const bool isTurn = now - verdict.status.quarantinedUntil >= trialInterval * static_cast<std::int64_t>(rank);
    return isTurn && m_trials.insert(verdict.part).second;
}

std::vector<std::uint32_t> PromptPartTracker::crashAddresses(const PartIdentity &part) const
{
    std::vector<std::uint32_t> addresses;
    for (const PartCrash &each : m_table.crashes(part)) {
        addresses.push_back(each.crash.addressDigest);
    }
    return addresses;
}

void PromptPartTracker::answered(const SharedParts &parts, TimePoint begunAt, bool isComplete, TimePoint now)
{
    for (const std::string &id : parts.ids) {
        const std::uint64_t shape = partShapeOf(parts.service, id);
        m_answered.add(shape, now);
        if (!m_table.knowsShape(shape)) {
            continue;
        }
        const PartSuspect part{partIdentityOf(parts.service, id), shape, 0};
        const PartEvidence evidence{parts.customer, begunAt, isComplete};
        if (m_table.isUseful(part.identity, evidence)) {
            addEvidence(part, evidence, now);
        }
    }
}

void PromptPartTracker::addEvidence(const PartSuspect &part, const PartEvidence &evidence, TimePoint now)
{
    // The hosts that know the crashes.
    const std::function<void(const SuspectUpdate &)> &send = isToBroadcast(part.identity) ? m_handlers.broadcast : m_handlers.sendToCrashCounters;
    m_table.addEvidence(part, evidence);
    decide("own", now);
    m_metrics.add("rhubarbwind_prompt_part_evidence_total", {{"kind", evidence.isComplete ? "complete" : "progress"}});
    if (send) {
        send({{}, {}, {}, {shared(part, evidence, now)}});
    }
}

std::vector<PromptPartTracker::BrokenPart> PromptPartTracker::brokenParts(const EndpointBreak &seen) const
{
    std::map<std::pair<std::uint64_t, std::uint32_t>, BrokenPart> parts;
    const std::string &service = seen.endpoint.service.text();
    for (const BrokenSend &send : seen.sends) {
        const std::uint32_t customer = customerKey(send.customer.text());
        for (std::size_t i = 0; i < send.parts.size(); ++i) {
            const std::uint64_t shape = partShapeOf(service, send.parts[i]);
            const auto [entry, isNew] = parts.try_emplace({shape, customer});
            BrokenPart &broken = entry->second;
            if (isNew) {
                broken = {{{}, shape, 0}, send.parts[i], service, customer, send.sentAt, false, m_answered.has(shape)};
            }
            const std::size_t depth = std::min<std::size_t>(i, std::numeric_limits<std::uint8_t>::max());
            broken.part.depth = std::max(broken.part.depth, static_cast<std::uint8_t>(depth));
            broken.firstSentAt = std::min(broken.firstSentAt, send.sentAt);
            broken.isEarly = broken.isEarly || send.events < earlyEvents;
        }
    }
    std::vector<BrokenPart> found;
    for (auto &[key, broken] : parts) {
        found.push_back(std::move(broken));
    }
    std::ranges::stable_sort(found, [](const BrokenPart &left, const BrokenPart &right) {
        return left.isAnswered != right.isAnswered ? right.isAnswered : left.part.depth > right.part.depth;
    });
    found.resize(std::min(found.size(), maxPartsPerBreak));
    return found;
}

void PromptPartTracker::handleBreak(const EndpointBreak &seen, TimePoint now)
{
    if (seen.result != BreakResult::Ended) {
        return;
    }
    m_history.ended(incarnationKey(seen.endpoint.id.text(), seen.endpoint.incarnation), seen.at);
    SuspectUpdate forCrashCounters;
    for (const BrokenPart &broken : brokenParts(seen)) {
        recordCrash(broken, seen, forCrashCounters, now);
    }
    if (!forCrashCounters.empty() && m_handlers.sendToCrashCounters) {
        m_handlers.sendToCrashCounters(forCrashCounters);
    }
    decide("own", now);
}

void PromptPartTracker::recordCrash(const BrokenPart &broken, const EndpointBreak &seen, SuspectUpdate &forCrashCounters, TimePoint now)
{
    PartSuspect part = broken.part;
    part.identity = partIdentityOf(broken.service, broken.id);
    std::vector<std::uint64_t> own;
    for (const PartCrash &before : m_table.crashes(part.identity)) {
        own.push_back(before.crash.incarnationKey);
    }
    const InterruptedRun run{incarnationKey(seen.endpoint.id.text(), seen.endpoint.incarnation), broken.firstSentAt, seen.at, seen.endpoints};
    const double chance = broken.isAnswered ? 1.0 : m_history.chanceOf(run, own, now);
    const PartCrash crash{{run.incarnationKey, addressDigestOf(seen.endpoint), seen.at, static_cast<float>(chance)}, broken.customer, broken.isEarly};
    if (!m_table.addCrash(part, crash)) {
        return;
    }
    const std::span<const PartCrash> crashes = m_table.crashes(part.identity);
    if (crashes.size() >= crashesForBroadcast && !broken.isAnswered) {
        LogFields fields;
        fields.text("part", broken.id.substr(0, maxLoggedPartBytes)).text("identity", Rhubarbwind::textOf(part.identity));
        fields.text("endpoint", seen.endpoint.id.text()).number("crashes", static_cast<std::int64_t>(crashes.size()));
        fields.number("customers", static_cast<std::int64_t>(customersOf(crashes))).number("chance", chance);
        m_log->decision(LogPart::Gateway, "part-suspected", fields, true, now);
    }
    if (isToBroadcast(part.identity)) {
        broadcastCrashes(part, now);
    } else {
        forCrashCounters.partCrashes.push_back(shared(part, crash, now));
    }
}

bool PromptPartTracker::isToBroadcast(const PartIdentity &part) const
{
    const std::span<const PartCrash> crashes = m_table.crashes(part);
    std::set<std::uint64_t> incarnations;
    for (const PartCrash &each : crashes) {
        incarnations.insert(each.crash.incarnationKey);
    }
    const bool isAnswered = std::ranges::any_of(crashes, [](const PartCrash &each) { return each.crash.chance >= 1; });
    return incarnations.size() >= (isAnswered ? answeredCrashesForBroadcast : crashesForBroadcast);
}

void PromptPartTracker::appendCrashes(SuspectUpdate &update, const PartSuspect &part, TimePoint now) const
{
    for (const PartCrash &each : m_table.crashes(part.identity)) {
        update.partCrashes.push_back(shared(part, each, now));
    }
}

void PromptPartTracker::broadcastCrashes(const PartSuspect &part, TimePoint now) const
{
    if (!m_handlers.broadcast) {
        return;
    }
    SuspectUpdate update;
    appendCrashes(update, part, now);
    m_handlers.broadcast(update);
}

void PromptPartTracker::receive(const SuspectUpdate &update, TimePoint now)
{
    for (const SharedPartEvidence &each : update.partEvidence) {
        const PartSuspect part = partOf(each);
        if (each.isLift) {
            m_table.lift(part, now - each.age);
        } else {
            m_table.addEvidence(part, {each.customer, now - each.age, each.isComplete});
        }
    }
    std::map<PartIdentity, std::pair<PartSuspect, std::size_t>> received;
    for (const SharedPartCrash &each : update.partCrashes) {
        const PartSuspect part = partOf(each);
        ++received.try_emplace(part.identity, part, 0).first->second.second;
        m_history.ended(each.incarnationKey, now - each.age);
        m_table.addCrash(part, {{each.incarnationKey, each.addressDigest, now - each.age, each.chance}, each.customer, each.isEarly});
    }
    // Crashes that were known to different hosts are combined here and sent to all.
    for (const auto &[identity, entry] : received) {
        const bool knowsMore = m_table.crashes(identity).size() > entry.second;
        if (knowsMore && isToBroadcast(identity) && m_handlers.countsCrashes && m_handlers.countsCrashes(identity)) {
            broadcastCrashes(entry.first, now);
        }
    }
    decide("peer", now);
}

void PromptPartTracker::decide(std::string_view source, TimePoint now)
{
    bool isAnyQuarantined = false;
    for (const PartChange &change : m_table.decide()) {
        const std::span<const PartCrash> crashes = m_table.crashes(change.part.identity);
        LogFields fields;
        fields.text("identity", Rhubarbwind::textOf(change.part.identity)).text("source", source);
        fields.number("crashes", static_cast<std::int64_t>(crashes.size())).number("customers", static_cast<std::int64_t>(customersOf(crashes)));
        fields.text("endings", textOf(crashes, now));
        m_log->decision(LogPart::Gateway, change.isQuarantined ? "part-quarantined" : "part-cleared", fields, true, now);
        m_metrics.add(change.isQuarantined ? "rhubarbwind_prompt_parts_quarantined_total" : "rhubarbwind_prompt_parts_cleared_total",
                      {{"source", std::string(source)}});
        isAnyQuarantined = isAnyQuarantined || change.isQuarantined;
    }
    if (isAnyQuarantined && m_handlers.onQuarantined) {
        m_handlers.onQuarantined();
    }
}

bool PromptPartTracker::lift(const PartIdentity &part, TimePoint now)
{
    const std::vector<PartRow> all = m_table.rows(now);
    const auto row = std::ranges::find_if(all, [&part](const PartRow &each) { return each.part.identity == part; });
    if (row == all.end() || row->crashes.empty()) {
        return false;
    }
    m_table.lift(row->part, now);
    decide("operator", now);
    if (m_handlers.broadcast) {
        m_handlers.broadcast({{}, {}, {}, {sharedLift(row->part, now, now)}});
    }
    return true;
}

void PromptPartTracker::addRepeats(SuspectUpdate &update, TimePoint now)
{
    const std::vector<PartRow> all = m_table.rows(now);
    for (std::size_t i = 0; i < all.size(); ++i) {
        const PartRow &row = all[(m_repeatOffset + i) % all.size()];
        const bool isDue = isToBroadcast(row.part.identity);
        if (isDue && update.partCrashes.size() + row.crashes.size() > maxUpdatePartCrashes) {
            m_repeatOffset += i;
            return;
        }
        if (isDue) {
            appendCrashes(update, row.part, now);
        }
        if (row.liftedAt != TimePoint() && update.partEvidence.size() < maxUpdatePartEvidence) {
            update.partEvidence.push_back(sharedLift(row.part, row.liftedAt, now));
        }
        for (const PartEvidence &evidence : row.evidence) {
            if (update.partEvidence.size() < maxUpdatePartEvidence) {
                update.partEvidence.push_back(shared(row.part, evidence, now));
            }
        }
    }
    m_repeatOffset = 0;
}

void PromptPartTracker::tick(TimePoint now)
{
    m_table.forget(now);
    m_answered.rotate(now);
    decide("expiry", now);
}

void PromptPartTracker::measure(TimePoint now)
{
    std::map<PartState, double> counts{{PartState::Suspect, 0}, {PartState::Quarantined, 0}, {PartState::Trial, 0}};
    for (const PartRow &row : m_table.rows(now)) {
        ++counts[row.status.state];
    }
    m_metrics.set("rhubarbwind_prompt_parts", {{"state", "suspect"}}, counts[PartState::Suspect]);
    m_metrics.set("rhubarbwind_prompt_parts", {{"state", "quarantined"}}, counts[PartState::Quarantined]);
    m_metrics.set("rhubarbwind_prompt_parts", {{"state", "trial"}}, counts[PartState::Trial]);
}

} // namespace Rhubarbwind
