#include "quarantine/suspecttable.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

/** An order that does not depend on the order of arrival. */
bool isEarlier(const Crash &left, const Crash &right)
{
    return left.at != right.at ? left.at < right.at : left.incarnationKey < right.incarnationKey;
}

} // namespace

std::size_t SuspectTable::crashEventsOf(std::span<const Crash> crashes) const
{
    std::size_t events = 0;
    TimePoint began{};
    for (const Crash &crash : crashes) {
        if (events == 0 || crash.at - began > m_options.crashEventWindow) {
            ++events;
            began = crash.at;
        }
    }
    return events;
}

bool SuspectTable::isProven(std::span<const Crash> crashes) const
{
    if (crashes.size() < m_options.crashesToQuarantine || crashEventsOf(crashes) < m_options.crashEventsToQuarantine) {
        return false;
    }
    double chance = 1;
    for (const Crash &crash : crashes) {
        chance *= crash.chance;
    }
    return chance <= m_options.chanceToQuarantine || crashes.size() >= m_options.sufficientCrashes;
}

std::optional<TimePoint> SuspectTable::quarantinedUntil(std::span<const Crash> crashes) const
{
    std::optional<TimePoint> until;
    Duration duration = m_options.firstQuarantine;
    for (std::size_t count = 1; count <= crashes.size(); ++count) {
        const TimePoint at = crashes[count - 1].at;
        if (!until) {
            if (isProven(crashes.first(count))) {
                until = at + duration;
            }
        } else if (at > *until) {
            // It ran after its quarantine and crashed an endpoint again.
            duration = std::min(duration * 2, m_options.maxQuarantine);
            until = at + duration;
        }
    }
    return until;
}

SuspectStatus SuspectTable::statusOf(const Record &record, TimePoint now) const
{
    SuspectStatus state;
    state.crashes = record.crashes.size();
    if (state.crashes == 0) {
        return state;
    }
    const std::optional<TimePoint> until = quarantinedUntil(record.crashes);
    state.state = until && now < *until ? SuspectState::Quarantined : SuspectState::Suspect;
    state.quarantinedUntil = until.value_or(TimePoint());
    return state;
}

SuspectStatus SuspectTable::state(const RequestIdentity &identity, TimePoint now) const
{
    const auto found = m_records.find(identity);
    return found == m_records.end() ? SuspectStatus() : statusOf(found->second, now);
}

std::span<const Crash> SuspectTable::crashes(const RequestIdentity &identity) const
{
    const auto found = m_records.find(identity);
    return found == m_records.end() ? std::span<const Crash>() : found->second.crashes;
}

bool SuspectTable::add(Record &record, const Crash &crash) const
{
    std::vector<Crash> &crashes = record.crashes;
    const auto known = std::ranges::find(crashes, crash.incarnationKey, &Crash::incarnationKey);
    if (known != crashes.end()) {
        // A report is later than the crash, never earlier, so of two hosts' times the earlier is more accurate.
        known->at = std::min(known->at, crash.at);
        // The host that saw more other crashes has the better estimate.
        known->chance = std::max(known->chance, crash.chance);
        std::ranges::sort(crashes, isEarlier);
        return false;
    }
    crashes.insert(std::ranges::upper_bound(crashes, crash, isEarlier), crash);
    if (crashes.size() > m_options.maxCrashesKept) {
        crashes.erase(crashes.begin() + static_cast<std::ptrdiff_t>(m_options.sufficientCrashes));
    }
    return true;
}

SuspectChange SuspectTable::addCrash(const Suspect &suspect, const Crash &crash, TimePoint now)
{
    const auto known = m_records.find(suspect.identity);
    SuspectChange change;
    if (known != m_records.end() && crash.at <= known->second.clearedAt) {
        change.after = statusOf(known->second, now);
        change.before = change.after.state;
        return change;
    }
    Record &record = known != m_records.end() ? known->second : recordOf(suspect);
    change.before = statusOf(record, now).state;
    if (record.crashes.empty()) {
        ++m_shapes[record.suspect.shape];
    }
    change.isNew = add(record, crash);
    change.after = statusOf(record, now);
    return change;
}

bool SuspectTable::markCleared(const Suspect &suspect, TimePoint at, TimePoint now)
{
    const auto known = m_records.find(suspect.identity);
    // A request that is not suspected needs no record, except that crashes before this may still arrive.
    if (known == m_records.end() && now - at > m_options.suspectLifetime) {
        return false;
    }
    Record &record = known != m_records.end() ? known->second : recordOf(suspect);
    if (at <= record.clearedAt) {
        return false;
    }
    record.clearedAt = at;
    const bool wasSuspected = !record.crashes.empty();
    std::erase_if(record.crashes, [at](const Crash &crash) { return crash.at <= at; });
    if (wasSuspected && record.crashes.empty()) {
        dropShape(record.suspect.shape);
    }
    return true;
}

void SuspectTable::dropShape(std::uint64_t shape)
{
    const auto found = m_shapes.find(shape);
    if (--found->second == 0) {
        m_shapes.erase(found);
    }
}

bool SuspectTable::isExpired(const Record &record, TimePoint now) const
{
    if (record.crashes.empty()) {
        return now - record.clearedAt > m_options.suspectLifetime;
    }
    const std::optional<TimePoint> until = quarantinedUntil(record.crashes);
    // A record with a quarantine is retained for longer: if the request crashes an endpoint again, it is quarantined again at once.
    return until ? now - *until > m_options.maxQuarantine : now - record.crashes.back().at > m_options.suspectLifetime;
}

void SuspectTable::forget(TimePoint now)
{
    for (auto record = m_records.begin(); record != m_records.end();) {
        record = isExpired(record->second, now) ? erase(record) : std::next(record);
    }
}

SuspectTable::Records::iterator SuspectTable::erase(Records::iterator record)
{
    if (!record->second.crashes.empty()) {
        dropShape(record->second.suspect.shape);
    }
    return m_records.erase(record);
}

SuspectTable::Record &SuspectTable::recordOf(const Suspect &suspect)
{
    if (m_records.size() >= m_options.maxSuspects) {
        evictOne();
    }
    return m_records.try_emplace(suspect.identity, Record{suspect, {}, {}}).first->second;
}

void SuspectTable::evictOne()
{
    std::size_t fewest = m_options.maxCrashesKept;
    for (const auto &[identity, record] : m_records) {
        fewest = std::min(fewest, record.crashes.size());
    }
    std::unordered_map<std::uint32_t, std::size_t> ofCustomer;
    for (const auto &[identity, record] : m_records) {
        ofCustomer[record.suspect.customer] += record.crashes.size() == fewest ? 1 : 0;
    }
    const auto lastChange = [](const Record &record) { return record.crashes.empty() ? record.clearedAt : record.crashes.back().at; };
    auto first = m_records.end();
    for (auto record = m_records.begin(); record != m_records.end(); ++record) {
        if (record->second.crashes.size() != fewest) {
            continue;
        }
        if (first == m_records.end()) {
            first = record;
            continue;
        }
        const std::size_t others = ofCustomer[record->second.suspect.customer];
        const std::size_t firstOthers = ofCustomer[first->second.suspect.customer];
        if (others > firstOthers || (others == firstOthers && lastChange(record->second) < lastChange(first->second))) {
            first = record;
        }
    }
    erase(first);
}

std::vector<SuspectRow> SuspectTable::rows(TimePoint now) const
{
    std::vector<SuspectRow> rows;
    for (const auto &[identity, record] : m_records) {
        rows.push_back({record.suspect, statusOf(record, now), record.crashes, record.clearedAt});
    }
    std::ranges::stable_sort(rows, [](const SuspectRow &left, const SuspectRow &right) {
        const bool isLeftQuarantined = left.state.state == SuspectState::Quarantined;
        const bool isRightQuarantined = right.state.state == SuspectState::Quarantined;
        return isLeftQuarantined != isRightQuarantined ? isLeftQuarantined : left.state.crashes > right.state.crashes;
    });
    return rows;
}

} // namespace Rhubarbwind
