#include "platform/mirrorstate.h"

#include "platform/objectapi.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Rhubarbwind
{

namespace
{

/** The last change of each object, in the order of these. */
std::vector<const MirroredObject *> lastChanges(const std::vector<MirroredObject> &changes)
{
    std::vector<const MirroredObject *> last;
    std::set<std::string_view> names;
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        if (names.insert(change->name).second) {
            last.push_back(&*change);
        }
    }
    std::ranges::reverse(last);
    return last;
}

std::set<std::string_view> namesIn(const std::vector<MirroredObject> &objects)
{
    std::set<std::string_view> names;
    for (const MirroredObject &object : objects) {
        names.insert(object.name);
    }
    return names;
}

bool isWithin(std::uint64_t revision, const MirrorChanges &changes)
{
    return revision > changes.since && revision <= changes.until;
}

} // namespace

std::string_view MirrorState::beginPage()
{
    m_isListing = true;
    return m_listing.empty() ? std::string_view() : std::string_view(m_listing.back().name);
}

void MirrorState::restartListing()
{
    clearPages();
    // What has been applied is part of a listing that is requested from now on.
    std::erase_if(m_retained, [this](const MirrorChanges &changes) { return changes.until <= m_revision; });
}

void MirrorState::clearPages()
{
    m_listing.clear();
    m_lowestPage = 0;
    m_highestPage = 0;
    m_mustRestart = false;
}

MirrorState::PageResult MirrorState::addPage(MirrorPage page)
{
    if (eraOf(page.revision) < eraOf(m_revision)) {
        return PageResult::Outdated;
    }
    if (m_mustRestart || (!m_listing.empty() && eraOf(page.revision) != eraOf(m_lowestPage))) {
        return PageResult::Restart;
    }
    m_lowestPage = m_lowestPage == 0 ? page.revision : std::min(m_lowestPage, page.revision);
    m_highestPage = std::max(m_highestPage, page.revision);
    const bool isLast = !page.isPartial || page.objects.empty();
    m_listing.insert(m_listing.end(), std::make_move_iterator(page.objects.begin()), std::make_move_iterator(page.objects.end()));
    return isLast ? PageResult::Complete : PageResult::Partial;
}

MirrorState::Listed MirrorState::finishListing()
{
    const std::uint64_t listed = m_lowestPage;
    const std::uint64_t highest = m_highestPage;
    Objects objects;
    for (MirroredObject &object : m_listing) {
        std::string name = object.name;
        objects.insert_or_assign(std::move(name), std::move(object));
    }
    clearPages();
    m_isListing = false;

    const std::uint64_t before = std::exchange(m_revision, std::max(m_revision, listed));
    std::vector<const MirrorChanges *> beyondGap;
    for (const MirrorChanges &changes : m_retained) {
        if (eraOf(changes.until) != eraOf(listed) || changes.until <= listed) {
            continue;
        }
        const bool isConnected = changes.since <= m_revision;
        if (!isConnected && !m_isStandalone) {
            beyondGap.push_back(&changes);
            continue;
        }
        overlay(objects, changes);
        m_revision = isConnected ? std::max(m_revision, changes.until) : m_revision;
    }

    Listed result;
    result.isOlderCopy = before != 0 && eraOf(m_revision) > eraOf(before);
    // A first listing has nothing to compensate for. Nor does an object's absence from an older copy mean that it was removed: it may be alive and
    // register again.
    const bool wasExact = isListed() && before >= m_knownUntil;
    MirrorChanges changes;
    if (wasExact && !(result.isOlderCopy && !m_isStandalone)) {
        changes = changesSince(before, objects);
    }
    m_listingDifference.reset();
    if (listed == highest || m_isStandalone) {
        result.changes = std::move(changes);
    } else {
        m_uncoveredUntil = std::max(m_uncoveredUntil, highest);
        m_knownUntil = highest;
        m_listingDifference = changes.objects.empty() ? std::nullopt : std::optional(std::move(changes));
    }

    std::map<std::string, std::uint64_t> known;
    std::uint64_t newest = 1;
    for (const auto &[name, object] : objects) {
        known.emplace(name, object.revision);
        newest = std::max(newest, object.revision);
    }
    // The platform's revision counts changes of all kinds. If a listing's own revision were announced as that of the last change, each host that
    // starts would seem newer than all others, and each of those would call the platform for nothing.
    const std::uint64_t lastChange = m_isStandalone ? newest : std::min(newest, std::max<std::uint64_t>(m_revision, 1));
    if (lastChange > m_changedAt) {
        m_changedAt = lastChange;
    } else if (known != m_known) {
        // An object was removed or created again: that has no revision here.
        m_changedAt = std::max(m_changedAt, m_revision);
    }
    m_known = std::move(known);

    for (const MirrorChanges *changes : beyondGap) {
        if (changes->until > m_revision) {
            overlay(objects, *changes);
        }
    }
    dropCovered();
    result.objects.reserve(objects.size());
    for (auto &[name, object] : objects) {
        result.objects.push_back(std::move(object));
    }
    return result;
}

// Failure: a peer's batch marks an endpoint as leaving while a listing is in progress. The listing, which is older, makes the endpoint ready again,
// and no peer repeats the batch.
void MirrorState::overlay(Objects &objects, const MirrorChanges &changes)
{
    if (changes.isDifference) {
        const std::set<std::string_view> mentioned = namesIn(changes.objects);
        std::erase_if(objects, [&](const auto &object) { return isWithin(object.second.revision, changes) && !mentioned.contains(object.first); });
    }
    for (const MirroredObject *change : lastChanges(changes.objects)) {
        const auto listed = objects.find(change->name);
        // A later page may be newer than the batch.
        if (listed != objects.end() && listed->second.revision > std::max(changes.until, change->revision)) {
            continue;
        }
        if (change->removed) {
            objects.erase(change->name);
        } else {
            objects.insert_or_assign(change->name, *change);
        }
    }
}

// Failure: the platform drops its history and the watchers list again. If only they knew the changes, every other host would call the platform and
// have to list as well. The differences between the listing and the known objects serve like a watch's changes.
MirrorChanges MirrorState::changesSince(std::uint64_t revision, const Objects &listing) const
{
    MirrorChanges changes{revision, m_revision, {}, true};
    for (const auto &[name, object] : listing) {
        const auto before = m_known.find(name);
        if (before == m_known.end() || before->second != object.revision) {
            changes.objects.push_back(object);
        }
    }
    for (const auto &[name, at] : m_known) {
        if (!listing.contains(name)) {
            changes.objects.push_back({name, at, true, nullptr});
        }
    }
    // It is not known when an object was removed, only that it is missing at the end: if the batch is split, removals must be in the last part.
    std::ranges::sort(changes.objects, {}, [](const MirroredObject &object) { return std::pair(object.removed, object.revision); });
    return changes;
}

MirrorState::Applied MirrorState::apply(const MirrorChanges &changes)
{
    if (!isListed()) {
        retain(changes);
        return {{}, false};
    }
    const bool isOtherEra = eraOf(changes.until) != eraOf(m_revision);
    if (isOtherEra && !m_isStandalone) {
        return {{}, false};
    }
    if (changes.until <= m_revision) {
        return {};
    }
    const bool hasGap = changes.since > m_revision || isOtherEra;
    Applied applied{effectiveChanges(changes), !hasGap || m_isStandalone};
    if (hasGap || m_isListing) {
        retain(changes);
    }
    if (!hasGap) {
        advance(changes, applied.changes);
        // The next answer would not cover what this batch does.
        m_listingDifference.reset();
    } else if (m_isStandalone) {
        hold(changes);
    }
    return applied;
}

MirrorState::AnswerResult MirrorState::applyAnswer(MirrorBatch batch, MirrorChanges &changes, std::vector<MirroredObject> &effective)
{
    if (eraOf(batch.revision) != eraOf(m_revision)) {
        // In a later era revisions are reused: objects that this answer does not list may differ from the known ones.
        return eraOf(batch.revision) < eraOf(m_revision) ? AnswerResult::Outdated : AnswerResult::OtherEra;
    }
    if (batch.revision >= m_uncoveredUntil) {
        m_uncoveredUntil = 0;
    }
    const bool hasEvents = !batch.changes.empty() || batch.unreadable > 0;
    const bool isNewer = hasEvents && batch.revision > m_revision;
    const std::optional<MirrorChanges> difference = completeDifference(batch.changes, batch.revision);
    if (isNewer) {
        changes = {m_revision, batch.revision, std::move(batch.changes)};
        effective = effectiveChanges(changes);
        advance(changes, effective);
    }
    changes = difference.value_or(std::move(changes));
    return isNewer ? AnswerResult::Newer : AnswerResult::Unchanged;
}

std::optional<MirrorChanges> MirrorState::completeDifference(const std::vector<MirroredObject> &events, std::uint64_t revision)
{
    if (!m_listingDifference || revision < m_knownUntil) {
        return std::nullopt;
    }
    MirrorChanges difference = *std::exchange(m_listingDifference, std::nullopt);
    difference.until = events.empty() ? m_revision : revision;
    difference.objects.insert(difference.objects.end(), events.begin(), events.end());
    // Without events nothing changed between the pages, unless the answer missed a change.
    const auto isWithinRange = [&difference](const MirroredObject &object) { return object.revision <= difference.until; };
    return std::ranges::all_of(difference.objects, isWithinRange) ? std::optional(std::move(difference)) : std::nullopt;
}

std::uint64_t MirrorState::supersededUntil(const MirroredObject &change, const MirrorChanges &changes)
{
    // A difference does not show which state was removed last.
    return change.removed && changes.isDifference ? changes.until : change.revision;
}

bool MirrorState::isStale(const MirroredObject &change, const MirrorChanges &changes) const
{
    const auto known = m_known.find(change.name);
    if (known == m_known.end()) {
        return false;
    }
    return change.removed ? known->second > supersededUntil(change, changes) : known->second >= change.revision;
}

bool MirrorState::isRetainedLater(const std::string &name, std::uint64_t revision, const MirrorChanges &changes) const
{
    return std::ranges::any_of(m_retained, [&](const MirrorChanges &retained) {
        return std::ranges::any_of(retained.objects, [&](const MirroredObject &object) {
            return object.name == name && (retained.until > changes.until || (!object.removed && object.revision > revision));
        });
    });
}

std::vector<MirroredObject> MirrorState::effectiveChanges(const MirrorChanges &changes) const
{
    std::vector<MirroredObject> effective;
    for (const MirroredObject *change : lastChanges(changes.objects)) {
        if (!isStale(*change, changes) && !isRetainedLater(change->name, supersededUntil(*change, changes), changes)) {
            effective.push_back(*change);
        }
    }
    return effective;
}

void MirrorState::hold(const MirrorChanges &changes)
{
    for (const MirroredObject *change : lastChanges(changes.objects)) {
        // As with listings, the revision that the answer reaches is not that of a change. Only a removal has no better revision.
        const std::uint64_t changedAt = change->removed ? changes.until : std::min(change->revision, changes.until);
        m_changedAt = std::max(m_changedAt, changedAt);
        if (isStale(*change, changes)) {
            continue;
        }
        if (change->removed) {
            m_known.erase(change->name);
        } else {
            m_known.insert_or_assign(change->name, change->revision);
        }
    }
}

void MirrorState::advance(const MirrorChanges &changes, std::vector<MirroredObject> &effective)
{
    m_revision = changes.until;
    hold(changes);
    removeUnmentioned(changes, effective);
    for (const MirrorChanges &next : m_retained) {
        if (next.since <= m_revision && next.until > m_revision) {
            m_revision = next.until;
            hold(next);
            removeUnmentioned(next, effective);
        }
    }
    dropCovered();
}

// Failure: an endpoint registers and leaves while the platform's history is dropped. A watcher that lists again knows nothing of it, and a host that has seen
// it register would keep it.
void MirrorState::removeUnmentioned(const MirrorChanges &difference, std::vector<MirroredObject> &effective)
{
    if (!difference.isDifference || m_isStandalone) {
        return;
    }
    const std::set<std::string_view> mentioned = namesIn(difference.objects);
    const auto isRemoved = [&](const std::string &name, std::uint64_t revision) { return isWithin(revision, difference) && !mentioned.contains(name); };
    std::map<std::string, std::uint64_t> removed;
    for (const auto &[name, revision] : m_known) {
        if (isRemoved(name, revision)) {
            removed.emplace(name, revision);
        }
    }
    for (const MirrorChanges &changes : m_retained) {
        for (const MirroredObject &object : changes.objects) {
            if (changes.until <= difference.until && !object.removed && isRemoved(object.name, object.revision)) {
                removed[object.name] = object.revision;
            }
        }
    }
    for (const auto &[name, revision] : removed) {
        m_known.erase(name);
        m_changedAt = std::max(m_changedAt, difference.until);
        if (!isRetainedLater(name, difference.until, difference)) {
            effective.push_back({name, revision, true, nullptr});
        }
    }
}

void MirrorState::retain(const MirrorChanges &changes)
{
    const auto position = std::ranges::upper_bound(m_retained, changes.until, {}, &MirrorChanges::until);
    m_retained.insert(position, changes);
    if (m_retained.size() > maxRetained) {
        m_mustRestart = m_isListing && isListed();
        if (!m_isStandalone) {
            m_uncoveredUntil = std::max(m_uncoveredUntil, m_retained.front().until);
        }
        m_retained.erase(m_retained.begin());
    }
}

void MirrorState::dropCovered()
{
    // A listing in progress may be older than what has been applied since it was requested.
    if (!m_isListing) {
        std::erase_if(m_retained, [this](const MirrorChanges &changes) { return changes.until <= m_revision || eraOf(changes.until) != eraOf(m_revision); });
    }
}

} // namespace Rhubarbwind
