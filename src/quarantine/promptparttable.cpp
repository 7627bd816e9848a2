#include "quarantine/promptparttable.h"

#include "quarantine/eviction.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Rhubarbwind
{

namespace
{

bool isEarlier(const PartCrash &left, const PartCrash &right)
{
    return left.crash != right.crash ? isEarlier(left.crash, right.crash) : left.customer < right.customer;
}

/** One crash for each incarnation, without those in `explained`. The host that saw more other crashes has the better estimate of the chance. */
std::vector<Crash> crashesBeside(std::span<const PartCrash> crashes, const std::set<std::uint64_t> &explained)
{
    std::vector<Crash> merged;
    for (const PartCrash &each : crashes) {
        if (explained.contains(each.crash.incarnationKey)) {
            continue;
        }
        const auto known = std::ranges::find(merged, each.crash.incarnationKey, &Crash::incarnationKey);
        if (known == merged.end()) {
            merged.push_back(each.crash);
        } else {
            known->chance = std::max(known->chance, each.crash.chance);
        }
    }
    return merged;
}

bool isAgainst(const PartEvidence &answer, const PartCrash &crash)
{
    return answer.begunAt > crash.crash.at && (answer.isComplete || crash.isEarly);
}

bool hasRecentAnswers(std::span<const PartCrash> crashes)
{
    return std::ranges::any_of(crashes, [](const PartCrash &each) { return each.crash.chance >= 1; });
}

/** The customers whose requests were at each of the crashes. */
std::vector<std::uint32_t> customersAtAll(std::span<const PartCrash> crashes, std::span<const Crash> counted)
{
    std::set<std::uint32_t> candidates;
    for (const PartCrash &each : crashes) {
        candidates.insert(each.customer);
    }
    const auto wasAt = [crashes](std::uint32_t customer, const Crash &crash) {
        return std::ranges::any_of(crashes,
                                   [&](const PartCrash &each) { return each.customer == customer && each.crash.incarnationKey == crash.incarnationKey; });
    };
    std::erase_if(candidates,
                  [&](std::uint32_t customer) { return !std::ranges::all_of(counted, [&](const Crash &crash) { return wasAt(customer, crash); }); });
    return {candidates.begin(), candidates.end()};
}

} // namespace

bool PromptPartTable::isVoid(const Record &record, const PartCrash &crash) const
{
    if (crash.crash.at <= record.liftedAt) {
        return true;
    }
    std::set<std::uint32_t> customers;
    for (const PartEvidence &each : record.evidence) {
        if (isAgainst(each, crash)) {
            customers.insert(each.customer);
        }
    }
    return customers.size() > 1 || customers.contains(crash.customer);
}

PromptPartTable::Record &PromptPartTable::recordOf(const PartSuspect &part)
{
    const auto known = m_records.find(part.identity);
    if (known != m_records.end()) {
        known->second.part.depth = std::max(known->second.part.depth, part.depth);
        return known->second;
    }
    if (m_records.size() >= m_options.maxParts) {
        evictOne();
    }
    Record record;
    record.part = part;
    return m_records.try_emplace(part.identity, std::move(record)).first->second;
}

// The first crashes decide that a part is quarantined, the latest for how long.
void PromptPartTable::trim(std::vector<PartCrash> &crashes) const
{
    if (crashes.size() > m_options.maxCrashesKept) {
        crashes.erase(crashes.begin() + static_cast<std::ptrdiff_t>(m_options.maxCrashesKept / 2));
    }
}

bool PromptPartTable::addCrash(const PartSuspect &part, const PartCrash &crash)
{
    Record &record = recordOf(part);
    if (isVoid(record, crash)) {
        return false;
    }
    m_isDecided = false;
    std::vector<PartCrash> &crashes = record.crashes;
    const auto known = std::ranges::find_if(
        crashes, [&crash](const PartCrash &each) { return each.crash.incarnationKey == crash.crash.incarnationKey && each.customer == crash.customer; });
    if (known != crashes.end()) {
        // A report is later than the crash, never earlier, so of two hosts' times the earlier is more accurate.
        known->crash.at = std::min(known->crash.at, crash.crash.at);
        known->crash.chance = std::max(known->crash.chance, crash.crash.chance);
        known->isEarly = known->isEarly || crash.isEarly;
        std::ranges::sort(crashes, [](const PartCrash &left, const PartCrash &right) { return isEarlier(left, right); });
        return false;
    }
    if (crashes.empty()) {
        ++m_shapes[record.part.shape];
    }
    crashes.push_back(crash);
    std::ranges::sort(crashes, [](const PartCrash &left, const PartCrash &right) { return isEarlier(left, right); });
    trim(crashes);
    return true;
}

bool PromptPartTable::isUseful(const PartIdentity &part, const PartEvidence &evidence) const
{
    const auto known = m_records.find(part);
    if (known == m_records.end()) {
        return false;
    }
    const auto isKnownAgainst = [&](const PartCrash &crash) {
        return std::ranges::any_of(known->second.evidence,
                                   [&](const PartEvidence &each) { return each.customer == evidence.customer && isAgainst(each, crash); });
    };
    return std::ranges::any_of(known->second.crashes, [&](const PartCrash &crash) { return isAgainst(evidence, crash) && !isKnownAgainst(crash); });
}

bool PromptPartTable::addEvidence(const PartSuspect &part, const PartEvidence &evidence)
{
    Record &record = recordOf(part);
    const auto isSameSource = [&evidence](const PartEvidence &each) { return each.customer == evidence.customer && each.isComplete == evidence.isComplete; };
    const auto known = std::ranges::find_if(record.evidence, isSameSource);
    if (known != record.evidence.end() && known->begunAt >= evidence.begunAt) {
        return false;
    }
    if (known != record.evidence.end()) {
        record.evidence.erase(known);
    }
    record.evidence.push_back(evidence);
    std::ranges::sort(record.evidence, std::ranges::greater(), &PartEvidence::begunAt);
    if (record.evidence.size() > m_options.maxEvidenceKept) {
        record.evidence.pop_back();
    }
    voidCrashes(record);
    return true;
}

bool PromptPartTable::lift(const PartSuspect &part, TimePoint at)
{
    Record &record = recordOf(part);
    if (at <= record.liftedAt) {
        return false;
    }
    record.liftedAt = at;
    voidCrashes(record);
    return true;
}

void PromptPartTable::voidCrashes(Record &record)
{
    const std::size_t voided = std::erase_if(record.crashes, [this, &record](const PartCrash &crash) { return isVoid(record, crash); });
    m_isDecided = m_isDecided && voided == 0;
    if (voided > 0 && record.crashes.empty()) {
        releaseCount(m_shapes, record.part.shape);
    }
}

std::vector<PartChange> PromptPartTable::decide()
{
    if (m_isDecided) {
        return {};
    }
    m_isDecided = true;
    std::vector<Record *> order;
    for (auto &[identity, record] : m_records) {
        if (record.crashes.size() >= m_options.rule.crashesToQuarantine || record.until) {
            order.push_back(&record);
        }
    }
    std::ranges::stable_sort(order, [](const Record *left, const Record *right) {
        const bool isLeftAnswered = hasRecentAnswers(left->crashes);
        const bool isRightAnswered = hasRecentAnswers(right->crashes);
        return isLeftAnswered != isRightAnswered ? isRightAnswered : left->part.depth > right->part.depth;
    });
    std::vector<PartChange> changes;
    std::set<std::uint64_t> explained;
    for (Record *record : order) {
        const bool wasQuarantined = record->until.has_value();
        const std::vector<Crash> crashes = crashesBeside(record->crashes, explained);
        record->until = quarantineEnd(m_options.rule, crashes);
        record->customers = record->until ? customersAtAll(record->crashes, crashes) : std::vector<std::uint32_t>();
        if (record->until) {
            for (const PartCrash &each : record->crashes) {
                explained.insert(each.crash.incarnationKey);
            }
        }
        if (record->until.has_value() != wasQuarantined) {
            changes.push_back({record->part, record->until.has_value()});
        }
    }
    for (auto &[identity, record] : m_records) {
        record.isExplained = std::ranges::all_of(record.crashes, [&explained](const PartCrash &each) { return explained.contains(each.crash.incarnationKey); });
    }
    return changes;
}

PartStatus PromptPartTable::statusOf(const Record &record, TimePoint now) const
{
    PartStatus status;
    status.crashes = record.crashes.size();
    if (record.until) {
        status.state = now < *record.until ? PartState::Quarantined : PartState::Trial;
        status.quarantinedUntil = *record.until;
    } else if (!record.isExplained && !record.crashes.empty()) {
        status.state = PartState::Suspect;
    }
    return status;
}

PartStatus PromptPartTable::status(const PartIdentity &part, std::uint32_t customer, TimePoint now) const
{
    const auto found = m_records.find(part);
    if (found == m_records.end()) {
        return {};
    }
    PartStatus status = statusOf(found->second, now);
    const std::vector<std::uint32_t> &customers = found->second.customers;
    const bool concernsOthers = !customers.empty() && std::ranges::find(customers, customer) == customers.end();
    if (concernsOthers && found->second.until) {
        status.state = PartState::Suspect;
    }
    return status;
}

std::span<const PartCrash> PromptPartTable::crashes(const PartIdentity &part) const
{
    const auto found = m_records.find(part);
    return found == m_records.end() ? std::span<const PartCrash>() : found->second.crashes;
}

bool PromptPartTable::isExpired(const Record &record, TimePoint now) const
{
    if (record.crashes.empty()) {
        const TimePoint last = record.evidence.empty() ? record.liftedAt : std::max(record.liftedAt, record.evidence.front().begunAt);
        return now - last > m_options.evidenceLifetime;
    }
    return record.until ? now - *record.until > m_options.rule.maxQuarantine : now - record.crashes.back().crash.at > m_options.suspectLifetime;
}

void PromptPartTable::forget(TimePoint now)
{
    for (auto record = m_records.begin(); record != m_records.end();) {
        record = isExpired(record->second, now) ? erase(record) : std::next(record);
    }
}

PromptPartTable::Records::iterator PromptPartTable::erase(Records::iterator record)
{
    if (!record->second.crashes.empty()) {
        releaseCount(m_shapes, record->second.part.shape);
        m_isDecided = false;
    }
    return m_records.erase(record);
}

void PromptPartTable::evictOne()
{
    const auto crashCount = [](const Record &record) { return record.crashes.size(); };
    const auto customer = [](const Record &record) { return record.crashes.empty() ? 0 : record.crashes.front().customer; };
    const auto lastChange = [](const Record &record) {
        const TimePoint crashed = record.crashes.empty() ? TimePoint() : record.crashes.back().crash.at;
        return record.evidence.empty() ? crashed : std::max(crashed, record.evidence.front().begunAt);
    };
    erase(evictionVictim(m_records, crashCount, customer, lastChange));
}

std::vector<PartRow> PromptPartTable::rows(TimePoint now) const
{
    std::vector<PartRow> rows;
    for (const auto &[identity, record] : m_records) {
        rows.push_back({record.part, statusOf(record, now), record.crashes, record.evidence, record.liftedAt, record.until && record.customers.empty()});
    }
    std::ranges::stable_sort(rows, [](const PartRow &left, const PartRow &right) {
        const bool isLeftHeld = left.status.state >= PartState::Quarantined;
        const bool isRightHeld = right.status.state >= PartState::Quarantined;
        return isLeftHeld != isRightHeld ? isLeftHeld : left.crashes.size() > right.crashes.size();
    });
    return rows;
}

} // namespace Rhubarbwind
