#include "quarantine/suspectbook.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

/** An order that does not depend on who heard what first. */
bool isEarlier(const Crash &left, const Crash &right)
{
    return left.at != right.at ? left.at < right.at : left.incarnationKey < right.incarnationKey;
}

} // namespace

std::size_t SuspectTable::momentsOf(std::span<const Crash> crashes) const
{
    std::size_t moments = 0;
    TimePoint began{};
    for (const Crash &ending : crashes) {
        if (moments == 0 || ending.at - began > m_options.crashEventWindow) {
            ++moments;
            began = ending.at;
        }
    }
    return moments;
}

bool SuspectTable::proves(std::span<const Crash> crashes) const
{
    if (crashes.size() < m_options.crashesToQuarantine || momentsOf(crashes) < m_options.crashEventsToQuarantine) {
        return false;
    }
    double chance = 1;
    for (const Crash &ending : crashes) {
        chance *= ending.chance;
    }
    return chance <= m_options.chanceToQuarantine || crashes.size() >= m_options.sufficientCrashes;
}

std::optional<TimePoint> SuspectTable::quarantinedUntil(std::span<const Crash> crashes) const
{
    std::optional<TimePoint> until;
    Duration hold = m_options.firstQuarantine;
    for (std::size_t count = 1; count <= crashes.size(); ++count) {
        const TimePoint at = crashes[count - 1].at;
        if (!until) {
            if (proves(crashes.first(count))) {
                until = at + hold;
            }
        } else if (at > *until) {
            // Let run after its hold, it ended an endpoint again.
            hold = std::min(hold * 2, m_options.maxQuarantine);
            until = at + hold;
        }
    }
    return until;
}

SuspectStatus SuspectTable::standingOf(const Record &record, TimePoint now) const
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
    return found == m_records.end() ? SuspectStatus() : standingOf(found->second, now);
}

std::span<const Crash> SuspectTable::crashes(const RequestIdentity &identity) const
{
    const auto found = m_records.find(identity);
    return found == m_records.end() ? std::span<const Crash>() : found->second.crashes;
}

bool SuspectTable::add(Record &record, const Crash &ending) const
{
    std::vector<Crash> &crashes = record.crashes;
    const auto known = std::ranges::find(crashes, ending.incarnationKey, &Crash::incarnationKey);
    if (known != crashes.end()) {
        // News come later than what they tell of, never earlier: of two hosts' times the first is nearer the truth.
        known->at = std::min(known->at, ending.at);
        // Whoever saw more endings beside it knows better.
        known->chance = std::max(known->chance, ending.chance);
        std::ranges::sort(crashes, isEarlier);
        return false;
    }
    crashes.insert(std::ranges::upper_bound(crashes, ending, isEarlier), ending);
    if (crashes.size() > m_options.maxCrashesKept) {
        crashes.erase(crashes.begin() + static_cast<std::ptrdiff_t>(m_options.sufficientCrashes));
    }
    return true;
}

SuspectChange SuspectTable::addCrash(const Suspect &suspect, const Crash &ending, TimePoint now)
{
    const auto known = m_records.find(suspect.identity);
    SuspectChange change;
    if (known != m_records.end() && ending.at <= known->second.clearedAt) {
        change.after = standingOf(known->second, now);
        change.before = change.after.state;
        return change;
    }
    Record &record = known != m_records.end() ? known->second : recordOf(suspect);
    change.before = standingOf(record, now).state;
    if (record.crashes.empty()) {
        ++m_shapes[record.suspect.shape];
    }
    change.isNew = add(record, ending);
    change.after = standingOf(record, now);
    return change;
}

bool SuspectTable::markCleared(const Suspect &suspect, TimePoint at, TimePoint now)
{
    const auto known = m_records.find(suspect.identity);
    // What nobody suspects needs no word; but endings before it may still be on their way.
    if (known == m_records.end() && now - at > m_options.suspectLifetime) {
        return false;
    }
    Record &record = known != m_records.end() ? known->second : recordOf(suspect);
    if (at <= record.clearedAt) {
        return false;
    }
    record.clearedAt = at;
    const bool wasSuspected = !record.crashes.empty();
    std::erase_if(record.crashes, [at](const Crash &ending) { return ending.at <= at; });
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

bool SuspectTable::isOver(const Record &record, TimePoint now) const
{
    if (record.crashes.empty()) {
        return now - record.clearedAt > m_options.suspectLifetime;
    }
    const std::optional<TimePoint> until = quarantinedUntil(record.crashes);
    // One that was held is known for longer: if it ends an endpoint again, it is held again at once.
    return until ? now - *until > m_options.maxQuarantine : now - record.crashes.back().at > m_options.suspectLifetime;
}

void SuspectTable::forget(TimePoint now)
{
    for (auto record = m_records.begin(); record != m_records.end();) {
        record = isOver(record->second, now) ? erase(record) : std::next(record);
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
        makeRoom();
    }
    return m_records.try_emplace(suspect.identity, Record{suspect, {}, {}}).first->second;
}

void SuspectTable::makeRoom()
{
    std::size_t fewest = m_options.maxCrashesKept;
    for (const auto &[identity, record] : m_records) {
        fewest = std::min(fewest, record.crashes.size());
    }
    std::unordered_map<std::uint32_t, std::size_t> ofCustomer;
    for (const auto &[identity, record] : m_records) {
        ofCustomer[record.suspect.customer] += record.crashes.size() == fewest ? 1 : 0;
    }
    const auto lastNews = [](const Record &record) { return record.crashes.empty() ? record.clearedAt : record.crashes.back().at; };
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
        if (others > firstOthers || (others == firstOthers && lastNews(record->second) < lastNews(first->second))) {
            first = record;
        }
    }
    erase(first);
}

std::vector<SuspectRow> SuspectTable::rows(TimePoint now) const
{
    std::vector<SuspectRow> rows;
    for (const auto &[identity, record] : m_records) {
        rows.push_back({record.suspect, standingOf(record, now), record.crashes, record.clearedAt});
    }
    std::ranges::stable_sort(rows, [](const SuspectRow &left, const SuspectRow &right) {
        const bool isLeftHeld = left.state.state == SuspectState::Quarantined;
        const bool isRightHeld = right.state.state == SuspectState::Quarantined;
        return isLeftHeld != isRightHeld ? isLeftHeld : left.state.crashes > right.state.crashes;
    });
    return rows;
}

} // namespace Rhubarbwind
