#include "preset/presetfakes_test.h"
#include "preset/presetframes.h"
#include "preset/presetspread.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace Rhubarbwind;
using namespace Rhubarbwind::Testing;

namespace
{

constexpr TimePoint start(1h);

PresetPointer version(PresetVersion number, const std::string &operation = "op")
{
    return std::make_shared<const PresetInForce>(PresetInForce{number, OperationId(operation), OperatorName("ada"), 0, namedPreset("ordinary")});
}

HostId hostName(std::size_t index)
{
    return HostId("host-" + std::to_string(index));
}

std::vector<PresetPeer> fleet(std::size_t hosts)
{
    std::vector<PresetPeer> peers;
    for (std::size_t i = 0; i < hosts; ++i) {
        peers.push_back({hostName(i), FailureDomain("domain-" + std::to_string(i % 3))});
    }
    return peers;
}

bool has(const SpreadActions &actions, SpreadAction::Kind kind)
{
    return std::ranges::find(actions, kind, &SpreadAction::kind) != actions.end();
}

/** A host that holds version 1 and has no call in progress. */
PresetSpread settledHost()
{
    PresetSpread spread({}, 5, start);
    spread.setHosts(hostName(0), fleet(9), start);
    spread.advance(start);
    spread.adopted(1, start);
    spread.onPlatformRead(1, start);
    for (std::size_t i = 1; i < 9; ++i) {
        spread.onPeerAnswer(hostName(i), 1, start);
    }
    spread.advance(start);
    return spread;
}

} // namespace

TEST_CASE("a host adopts only greater versions", "[config-monotonic]")
{
    PresetHolder holder;
    CHECK(holder.offerFromPlatform(version(3), 0) == PresetOfferResult::Adopted);
    CHECK(holder.offerFromPeer(version(2)) == PresetOfferResult::Older);
    CHECK(holder.offerFromPlatform(version(2), 2) == PresetOfferResult::Older); // requested before version 3 came from a peer
    CHECK(holder.offerFromPlatform(version(2), 3) == PresetOfferResult::Regressed);
    CHECK(holder.offerFromPlatform(version(3), 3) == PresetOfferResult::Known);
    CHECK(holder.offerFromPeer(version(3, "other")) == PresetOfferResult::Forked);
    CHECK(holder.version() == 3);
    CHECK(holder.offerFromPeer(version(4)) == PresetOfferResult::Adopted);
}

TEST_CASE("two hosts of each failure domain watch, also after one is removed")
{
    for (const std::size_t removed : {99, 0, 4}) {
        std::vector<PresetPeer> live = fleet(9);
        std::erase_if(live, [&](const PresetPeer &peer) { return peer.host == hostName(removed); });
        std::map<FailureDomain, int> watchers;
        for (const PresetPeer &peer : live) {
            PresetSpread spread({}, 1, start);
            spread.setHosts(peer.host, live, start);
            watchers[peer.domain] += spread.isWatcher() ? 1 : 0;
        }
        for (const auto &[domain, count] : watchers) {
            CHECK(count == 2);
        }
    }
}

TEST_CASE("a starting host reads the platform and requests from a peer at once, and is not ready before it holds a preset")
{
    PresetSpread spread({}, 1, start);
    spread.setHosts(hostName(0), fleet(9), start);
    const SpreadActions actions = spread.advance(start);
    CHECK(has(actions, SpreadAction::Kind::ReadPlatform));
    CHECK(has(actions, SpreadAction::Kind::RequestFromPeer));
    CHECK_FALSE(spread.isReady(start));
    spread.adopted(1, start);
    spread.advance(start);
    CHECK(spread.isReady(start));
}

TEST_CASE("a starting host that knows of a newer version waits for it, at most for the settle limit")
{
    PresetSpread spread({}, 1, start);
    spread.setHosts(hostName(0), fleet(9), start);
    spread.onPeerVersion(hostName(1), 5, start);
    spread.adopted(4, start);
    spread.advance(start);
    CHECK_FALSE(spread.isReady(start));
    CHECK(spread.isReady(start + PresetSpreadOptions().settleLimit));
}

TEST_CASE("a host that learns of a newer version requests it from that peer, then from the platform")
{
    PresetSpread spread = settledHost();
    spread.onPeerVersion(hostName(3), 2, start + 100ms);
    const SpreadActions actions = spread.advance(start + 100ms);
    REQUIRE(has(actions, SpreadAction::Kind::RequestFromPeer));
    CHECK(std::ranges::find(actions, SpreadAction::Kind::RequestFromPeer, &SpreadAction::kind)->peer == hostName(3));
    CHECK_FALSE(has(actions, SpreadAction::Kind::ReadPlatform));
    CHECK(has(spread.advance(start + 600ms), SpreadAction::Kind::ReadPlatform));
}

// A watch that ends without an answer may have missed a change, so the platform is read over another connection at once. Without that read the
// change would wait for the next poll.
TEST_CASE("a watch that ended without an answer is followed by a read at once")
{
    PresetSpread spread = settledHost();
    spread.onWatch(platformError<WatchBatch>(PlatformErrorKind::Unknown), start + 3s);
    CHECK(has(spread.advance(start + 3s), SpreadAction::Kind::ReadPlatform));
}

TEST_CASE("a host that adopts a version announces it to a few peers, once")
{
    PresetSpread spread = settledHost();
    spread.adopted(2, start);
    SpreadActions actions = spread.advance(start);
    std::erase_if(actions, [](const SpreadAction &action) { return action.kind != SpreadAction::Kind::Announce; });
    std::set<HostId> recipients;
    for (const SpreadAction &action : actions) {
        recipients.insert(action.peer);
    }
    CHECK(recipients.size() == PresetSpreadOptions().announceTo);
    CHECK_FALSE(recipients.contains(hostName(0)));
    CHECK_FALSE(has(spread.advance(start + 1ms), SpreadAction::Kind::Announce));
}

TEST_CASE("a change reported during a read leads to another read")
{
    PresetSpread spread = settledHost();
    spread.onWatch(WatchBatch{{{presetInForceKey, 7, false}}, 7}, start + 1s);
    CHECK(has(spread.advance(start + 1s), SpreadAction::Kind::ReadPlatform));
    spread.onWatch(WatchBatch{{{presetInForceKey, 8, false}}, 8}, start + 1s);
    spread.onPlatformRead(7, start + 1s);
    CHECK(has(spread.advance(start + 1s), SpreadAction::Kind::ReadPlatform));
}

// A change must be found although the platform skipped its event, so that neither watches nor peeks report it. A watcher's polls therefore read
// the object itself; those of other hosts read it regularly and peek otherwise.
TEST_CASE("without changes a host peeks and regularly reads the object; a watcher always reads it")
{
    const bool watcher = GENERATE(false, true);
    PresetSpread spread = settledHost();
    std::vector<PresetPeer> live = fleet(9);
    for (PresetPeer &peer : live) {
        peer.domain = FailureDomain(watcher ? peer.host.text() : "one");
    }
    spread.setHosts(hostName(0), live, start);
    REQUIRE(spread.isWatcher() == watcher);
    TimePoint now = start;
    std::vector<SpreadAction::Kind> polls;
    while (polls.size() < 12) {
        now = std::max(now + 1ms, spread.nextTick());
        for (const SpreadAction &action : spread.advance(now)) {
            if (action.kind == SpreadAction::Kind::Peek) {
                polls.push_back(action.kind);
                spread.onPeek(WatchBatch{{}, 9}, now);
            } else if (action.kind == SpreadAction::Kind::ReadPlatform) {
                polls.push_back(action.kind);
                spread.onPlatformRead(9, now);
            }
        }
    }
    CHECK(std::ranges::count(polls, SpreadAction::Kind::ReadPlatform) == (watcher ? 12 : 2));
    CHECK(now - start > 12 * PresetSpreadOptions().pollInterval / 2);
}

TEST_CASE("a host that receives from neither platform nor peers becomes not ready, and ready again when it does")
{
    PresetSpread spread = settledHost();
    const Duration limit = PresetSpreadOptions().isolationLimit;
    CHECK(spread.isReady(start + limit));
    CHECK_FALSE(spread.isReady(start + limit + 1ms));
    spread.onPeerVersion(hostName(4), 1, start + limit + 1s);
    CHECK(spread.isReady(start + limit + 1s));
}

TEST_CASE("frames are read back equal, and arbitrary bytes are nothing or a whole frame")
{
    CHECK(decodePresetFetch(encodePresetFetch({7})) == PresetFetch{7});
    CHECK(decodePresetContent(encodePresetContent({7, "text"})) == PresetContent{7, "text"});
    CHECK(decodePresetContent(encodePresetContent({0, ""})) == PresetContent{0, ""});
    const std::vector<std::byte> whole = encodePresetContent({7, "text"});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const std::optional<PresetContent> content = decodePresetContent(std::span(whole).first(length));
        CHECK((!content || content->document.size() <= length));
    }
    rc::prop("arbitrary bytes", [](const std::vector<std::uint8_t> &bytes) {
        const std::optional<PresetContent> content = decodePresetContent(std::as_bytes(std::span(bytes)));
        RC_ASSERT((!content || content->document.size() <= bytes.size()));
    });
}
