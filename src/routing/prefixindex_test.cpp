#include "routing/prefixindex.h"

#include <map>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;

namespace
{

constexpr PrefixIndex::Holder holders = 4;
constexpr std::uint64_t digests = 24;
constexpr Duration generation = 60s;

/** The slow oracle: unbounded, one time for each digest and holder, one pass per query. */
class HolderMap
{
public:
    void learn(std::uint64_t era, PrefixIndex::Holder holder, std::uint64_t digest)
    {
        m_learned[{digest, holder}] = era;
    }
    void forget(PrefixIndex::Holder holder, std::uint64_t digest)
    {
        m_learned.erase({digest, holder});
    }
    void clear(PrefixIndex::Holder holder)
    {
        std::erase_if(m_learned, [holder](const auto &entry) { return entry.first.second == holder; });
    }
    float match(std::uint64_t era, PrefixIndex::Holder holder, const std::vector<std::uint64_t> &prompt) const
    {
        float blocks = 0;
        for (const std::uint64_t digest : prompt) {
            const auto found = m_learned.find({digest, holder});
            if (found == m_learned.end() || era - found->second > 1) {
                break;
            }
            blocks += found->second == era ? 1.0F : 0.5F;
        }
        return blocks;
    }

private:
    std::map<std::pair<std::uint64_t, PrefixIndex::Holder>, std::uint64_t> m_learned;
};

std::vector<std::uint64_t> promptAt(std::uint64_t first)
{
    std::vector<std::uint64_t> prompt;
    for (std::uint64_t digest = first; digest < digests && prompt.size() < 6; ++digest) {
        prompt.push_back(digest);
    }
    return prompt;
}

CacheEvent eventOf(std::uint64_t sequence, int kind, std::uint64_t digest)
{
    return {EndpointId("e"), sequence, static_cast<CacheEvent::Kind>(kind), digest};
}

/** Applies an event to the index and to the oracle. */
void applyBoth(PrefixIndex &index, HolderMap &oracle, TimePoint now, std::uint64_t era, PrefixIndex::Holder holder, const CacheEvent &event)
{
    index.apply(now, holder, event);
    switch (event.kind) {
    case CacheEvent::Kind::Stored:
        oracle.learn(era, holder, event.blockDigest);
        return;
    case CacheEvent::Kind::Evicted:
        oracle.forget(holder, event.blockDigest);
        return;
    case CacheEvent::Kind::Cleared:
        oracle.clear(holder);
        return;
    }
}

/** One run of sends, events (some lost, some repeated late) and passing time, checked after each step. */
void runAgainstOracle(std::size_t entries, bool exact)
{
    const TimePoint start = TimePoint(1h);
    TimePoint now = start;
    PrefixIndex index({entries, generation}, start);
    HolderMap oracle;
    std::array<std::uint64_t, holders> sequence{};
    std::array<std::vector<CacheEvent>, holders> delivered;
    const int steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        now += 1s * *rc::gen::inRange(0, 25);
        const std::uint64_t era = (now - start) / generation;
        const auto holder = *rc::gen::inRange<PrefixIndex::Holder>(0, holders);
        const std::uint64_t digest = *rc::gen::inRange<std::uint64_t>(0, digests);
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            const std::vector<std::uint64_t> prompt = promptAt(digest);
            index.learn(now, holder, prompt);
            for (const std::uint64_t block : prompt) {
                oracle.learn(era, holder, block);
            }
            break;
        }
        case 1: // lost in transit
            ++sequence[holder];
            break;
        case 2: // an old event arrives again
            if (!delivered[holder].empty()) {
                index.apply(now, holder, delivered[holder][*rc::gen::inRange<std::size_t>(0, delivered[holder].size())]);
            }
            break;
        default: {
            const int kind = *rc::gen::weightedElement<int>({{6, 0}, {3, 1}, {1, 2}});
            const CacheEvent event = eventOf(++sequence[holder], kind, digest);
            delivered[holder].push_back(event);
            applyBoth(index, oracle, now, era, holder, event);
        }
        }
        RC_ASSERT(index.size() <= entries);
        RC_ASSERT(index.memoryBytes() <= entries * PrefixIndex::bytesPerEntry + PrefixIndex::bytesPerEntry);
        const std::vector<std::uint64_t> queried = promptAt(*rc::gen::inRange<std::uint64_t>(0, digests));
        const PrefixIndex::Match match = index.match(now, queried);
        for (PrefixIndex::Holder other = 0; other < holders; ++other) {
            const float truth = oracle.match(era, other, queried);
            RC_ASSERT(match[other] <= truth);
            if (exact) {
                // Only the trust may lower the match, by a tenth per gap at most.
                RC_ASSERT((match[other] > 0) == (truth > 0));
            }
        }
    }
}

} // namespace

// Guards against requests sent to endpoints that don't hold their prompts, after lost, repeated or late cache events. Without the sequence check an old
// "stored" event would restore an evicted block; without the memory bound a caller with ever new prompts would fill the host's memory.
TEST_CASE("the index agrees with an unbounded map under lost and repeated events")
{
    rc::prop("with room for all blocks: the same holders", [] { runAgainstOracle(digests, true); });
    rc::prop("with little room: bounded, and never a holder that the map has not", [] { runAgainstOracle(*rc::gen::inRange<std::size_t>(1, 12), false); });
}

TEST_CASE("under pressure a prompt keeps its first blocks")
{
    const TimePoint now = TimePoint(1h);
    PrefixIndex index({4, generation}, now);
    const std::vector<std::uint64_t> prompt = {11, 12, 13, 14, 15, 16};
    index.learn(now, 0, prompt);
    REQUIRE(index.match(now, prompt)[0] == 4);
    index.learn(now, 1, std::vector<std::uint64_t>{99});
    REQUIRE(index.match(now, prompt)[0] == 3);
}

TEST_CASE("missing reuse lowers the trust, observed reuse restores it")
{
    const TimePoint now = TimePoint(1h);
    PrefixIndex index({64, generation}, now);
    const std::vector<std::uint64_t> prompt = {1, 2, 3, 4};
    index.learn(now, 0, prompt);
    for (int i = 0; i < 20; ++i) {
        index.correct(0, index.match(now, prompt)[0], 0);
    }
    REQUIRE(index.match(now, prompt)[0] < 0.5F);
    for (int i = 0; i < 20; ++i) {
        index.correct(0, index.match(now, prompt)[0], 4);
    }
    REQUIRE(index.match(now, prompt)[0] > 3.5F);
}

TEST_CASE("an engine that restarts may restart its event sequence")
{
    const TimePoint now = TimePoint(1h);
    PrefixIndex index({64, generation}, now);
    index.apply(now, 0, eventOf(50'000, 0, 7));
    index.apply(now, 0, eventOf(1, 0, 8));
    REQUIRE(index.match(now, std::vector<std::uint64_t>{8})[0] > 0);
    index.drop(0);
    REQUIRE(index.match(now, std::vector<std::uint64_t>{8})[0] == 0);
    index.apply(now, 0, eventOf(1, 0, 9));
    REQUIRE(index.match(now, std::vector<std::uint64_t>{9})[0] == 1);
}
