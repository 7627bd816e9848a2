// Random histories of objects, received through listings of several pages, polls, empty answers, and peers' batches that overlap, are lost, split or repeated.

#include "platform/mirrorstate.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <map>

using namespace Rhubarbwind;

namespace
{

constexpr std::size_t pageSize = 2;
constexpr std::uint64_t firstRevision = 10;
constexpr std::uint64_t objects = 5;

using Objects = std::map<std::string, std::uint64_t>; ///< revision by name

/** The platform's objects and their history. */
class Truth
{
public:
    void change(std::uint64_t which, bool removes)
    {
        const std::string name = "e" + std::to_string(which);
        const auto known = m_now.find(name);
        ++m_revision;
        if (removes && known != m_now.end()) {
            m_changes.emplace_back(m_revision, MirroredObject{name, known->second, true, nullptr});
            m_now.erase(known);
        } else {
            m_changes.emplace_back(m_revision, MirroredObject{name, m_revision, false, nullptr});
            m_now[name] = m_revision;
        }
        m_states[m_revision] = m_now;
    }
    /** A change of another kind. */
    void changeOther()
    {
        m_states[++m_revision] = m_now;
    }

    MirrorPage page(std::string_view after) const
    {
        MirrorPage page;
        page.revision = m_revision;
        for (auto next = m_now.upper_bound(std::string(after)); next != m_now.end(); ++next) {
            if (page.objects.size() == pageSize) {
                page.isPartial = true;
                break;
            }
            page.objects.push_back({next->first, next->second, false, nullptr});
        }
        return page;
    }
    MirrorChanges between(std::uint64_t since, std::uint64_t until) const
    {
        MirrorChanges changes{since, until, {}};
        for (const auto &[at, object] : m_changes) {
            if (at > since && at <= until) {
                changes.objects.push_back(object);
            }
        }
        return changes;
    }
    const Objects &at(std::uint64_t revision) const
    {
        return std::prev(m_states.upper_bound(revision))->second;
    }
    const Objects &now() const
    {
        return m_now;
    }
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    std::uint64_t m_revision = firstRevision;
    Objects m_now;
    std::vector<std::pair<std::uint64_t, MirroredObject>> m_changes;
    std::map<std::uint64_t, Objects> m_states{{0, {}}, {firstRevision, {}}};
};

/** What a host knows by what its mirror reports. */
class Knowledge
{
public:
    void list(const std::vector<MirroredObject> &objects)
    {
        held.clear();
        for (const MirroredObject &object : objects) {
            take(object);
        }
    }
    void take(const MirroredObject &object)
    {
        std::uint64_t &newest = m_newest[object.name];
        hasGoneBack = hasGoneBack || (!object.removed && object.revision < newest);
        newest = std::max(newest, object.revision);
        if (object.removed) {
            held.erase(object.name);
        } else {
            held[object.name] = object.revision;
        }
    }

    Objects held;
    bool hasGoneBack = false;

private:
    Objects m_newest;
};

/** False if an object is older than it was at the position, or a removed one is held. Newer states are permitted. */
bool holds(const Knowledge &knowledge, const Truth &truth, std::uint64_t position)
{
    const Objects &claimed = truth.at(position);
    const auto isOlder = [&](const auto &object) {
        const auto held = knowledge.held.find(object.first);
        // It may have been removed after the position.
        return held == knowledge.held.end() ? truth.now().contains(object.first) && truth.now().at(object.first) == object.second
                                            : held->second < object.second;
    };
    const auto isRemoved = [&](const auto &object) { return object.second <= position && !claimed.contains(object.first); };
    return std::ranges::none_of(claimed, isOlder) && std::ranges::none_of(knowledge.held, isRemoved);
}

/** A host whose mirror lists and polls, and broadcasts what it finds. */
struct Host
{
    void receive(const MirrorChanges &batch)
    {
        const MirrorState::Applied applied = state.apply(batch);
        std::ranges::for_each(applied.changes, [this](const MirroredObject &object) { knowledge.take(object); });
    }
    void poll(const Truth &truth, std::vector<MirrorChanges> &batches, bool isEmpty)
    {
        const MirrorChanges answer = truth.between(state.revision(), truth.revision());
        MirrorChanges changes;
        std::vector<MirroredObject> effective;
        state.applyAnswer({isEmpty ? std::vector<MirroredObject>() : answer.objects, truth.revision(), 0}, changes, effective);
        std::ranges::for_each(effective, [this](const MirroredObject &object) { knowledge.take(object); });
        if (!changes.objects.empty()) {
            batches.push_back(changes);
        }
    }
    void readPage(const Truth &truth, std::vector<MirrorChanges> &batches)
    {
        const MirrorState::PageResult result = state.addPage(truth.page(state.beginPage()));
        isListing = result != MirrorState::PageResult::Complete;
        if (result == MirrorState::PageResult::Restart) {
            state.restartListing();
        }
        if (isListing) {
            return;
        }
        const MirrorState::Listed listed = state.finishListing();
        knowledge.list(listed.objects);
        if (!listed.changes.objects.empty()) {
            batches.push_back(listed.changes);
        }
    }

    MirrorState state{false};
    Knowledge knowledge;
    bool isListing = false;
};

} // namespace

TEST_CASE("a position never claims a change that is not held, and no object goes back, whatever arrives in whatever order",
          "[endpoint-drain][config-monotonic]")
{
    // Guards against hosts that seem current and are not: pages read at different times, gaps, split and overlapping batches, and empty answers.
    rc::prop("any history", [] {
        Truth truth;
        for (int i = *rc::gen::inRange(1, 8); i > 0; --i) {
            truth.change(*rc::gen::inRange<std::uint64_t>(0, objects), false);
        }
        std::vector<MirrorChanges> batches;
        std::array<Host, 2> hosts;
        for (int step = *rc::gen::inRange(50, 600); step > 0; --step) {
            Host &host = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
            const int action = *rc::gen::inRange(0, 14);
            if (action < 4) {
                truth.change(*rc::gen::inRange<std::uint64_t>(0, objects), *rc::gen::inRange(0, 3) == 0);
            } else if (action == 4) {
                truth.changeOther();
            } else if (action < 7) { // a watcher's batch
                const std::uint64_t until = truth.revision() - std::min(truth.revision() - firstRevision, *rc::gen::inRange<std::uint64_t>(0, 4));
                batches.push_back(truth.between(until - std::min(until - firstRevision, *rc::gen::inRange<std::uint64_t>(1, 6)), until));
            } else if (action < 11) { // a batch arrives, most likely a recent one; some never do, some twice
                if (!batches.empty()) {
                    const std::size_t back = std::min<std::size_t>(batches.size() - 1, *rc::gen::inRange<std::size_t>(0, 6));
                    host.receive(batches[batches.size() - 1 - back]);
                }
            } else if (host.isListing || !host.state.isListed() || action == 11) {
                host.readPage(truth, batches);
            } else {
                host.poll(truth, batches, *rc::gen::inRange(0, 3) == 0);
            }
            RC_ASSERT(!host.knowledge.hasGoneBack);
            if (host.state.isListed()) {
                RC_ASSERT(host.state.changedAt() <= std::max<std::uint64_t>(host.state.revision(), 1));
                RC_ASSERT(holds(host.knowledge, truth, host.state.revision()));
            }
        }
        for (Host &host : hosts) {
            while (host.isListing || !host.state.isListed()) {
                host.readPage(truth, batches);
            }
            host.poll(truth, batches, false);
            RC_ASSERT(host.state.isCurrent());
            RC_ASSERT(host.knowledge.held == truth.now());
        }
    });
}

TEST_CASE("a listing whose pages differ is current once an answer reaches the last page's revision", "[endpoint-drain]")
{
    // Guards against a host that serves by a list in which an entry that changed meanwhile is missing.
    MirrorState state(false);
    state.beginPage();
    CHECK(state.addPage({{{"a", 4, false, nullptr}}, 5, true}) == MirrorState::PageResult::Partial);
    CHECK(state.beginPage() == "a");
    CHECK(state.addPage({{{"b", 8, false, nullptr}}, 9, false}) == MirrorState::PageResult::Complete);
    state.finishListing();
    CHECK(state.revision() == 5);
    CHECK(state.changedAt() == 5);
    CHECK_FALSE(state.isCurrent());
    MirrorChanges changes;
    std::vector<MirroredObject> effective;
    SECTION("with changes")
    {
        CHECK(state.applyAnswer({{{"a", 7, false, nullptr}, {"b", 8, false, nullptr}}, 9, 0}, changes, effective) == MirrorState::AnswerResult::Newer);
        CHECK(effective.size() == 1);
    }
    SECTION("without changes")
    {
        CHECK(state.applyAnswer({{}, 9, 0}, changes, effective) == MirrorState::AnswerResult::Unchanged);
    }
    SECTION("from a peer")
    {
        CHECK(state.apply({5, 9, {{"a", 7, false, nullptr}, {"b", 8, false, nullptr}}}).isConnected);
    }
    CHECK(state.isCurrent());
    state.beginPage();
    CHECK(state.addPage({{{"a", 7, false, nullptr}, {"b", 8, false, nullptr}}, 12, false}) == MirrorState::PageResult::Complete);
    state.finishListing();
    CHECK(state.isCurrent());
}
