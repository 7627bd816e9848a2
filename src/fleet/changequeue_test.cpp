// What waits to be told, on virtual time: the newest version of an object soon, nothing older after it, never more than the link bears.

#include "fleet/changequeue.h"

#include "fleet/fleetplaces_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Rhubarbwind;

namespace
{

std::vector<FleetMessage> piecesOf(std::uint64_t version, std::uint16_t count)
{
    std::vector<FleetMessage> messages(count);
    for (std::uint16_t i = 0; i < count; ++i) {
        messages[i].piece = BatchPiece{version, i, count, "x"};
    }
    return messages;
}

struct Told
{
    std::uint64_t version = 0;
    TimePoint at{};
};

/** Takes the queue's datagrams out as a session does; keeps versions that were told to their end. */
class Teller
{
public:
    explicit Teller(std::size_t targets)
        : m_targets(targets)
    {
    }

    void until(ChangeQueue &queue, TimePoint end)
    {
        while (!queue.isEmpty() && m_nextAt <= end) {
            const BatchPiece piece = *queue.front().message.piece;
            const TimePoint at = m_nextAt;
            m_nextAt += ChangeQueue::pauseAfter(queue.front(), m_targets);
            queue.pop();
            if (piece.number + 1 == piece.count) {
                whole.push_back({piece.whole, at});
            }
        }
        m_nextAt = std::max(m_nextAt, queue.isEmpty() ? end : m_nextAt);
    }

    std::vector<Told> whole;

private:
    std::size_t m_targets;
    TimePoint m_nextAt = FleetTest::start;
};

} // namespace

TEST_CASE("the newest version of an object is told within two of its own times, whatever came before and from whom", "[config-monotonic]")
{
    // Callers are served by an old configuration while the newest waits behind those that nobody needs. Versions come at any gap, some
    // twice, some late from a watcher that lags; each has as many pieces as it needs.
    rc::prop("any storm", [] {
        const std::size_t targets = *rc::gen::inRange<std::size_t>(1, 80);
        const std::uint16_t pieces = *rc::gen::inRange<std::uint16_t>(1, maxPieces + 1);
        ChangeQueue queue;
        Teller teller(targets);
        TimePoint now = FleetTest::start;
        std::uint64_t newest = 0;
        TimePoint newestAt{};
        for (int i = 0; i < 30; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            teller.until(queue, now);
            const std::uint64_t lag = *rc::gen::inRange<std::uint64_t>(0, 3);
            const std::uint64_t version = static_cast<std::uint64_t>(i) + 3 - lag;
            RC_ASSERT(queue.add(piecesOf(version, pieces), 0, "main", version, ChangeReach::Domain));
            if (version > newest) {
                newest = version;
                newestAt = now;
            }
        }
        teller.until(queue, now + 1min);
        const Duration ownTime = pieces * std::max<Duration>(40ms, 2ms * static_cast<std::int64_t>(targets));
        RC_ASSERT(!teller.whole.empty());
        RC_ASSERT(teller.whole.back().version == newest);
        RC_ASSERT(teller.whole.back().at - newestAt <= 2 * ownTime);
        RC_ASSERT(std::ranges::is_sorted(teller.whole, std::ranges::less(), &Told::version));
        const auto isTwice = [](const Told &one, const Told &other) { return one.version == other.version; };
        RC_ASSERT(std::ranges::adjacent_find(teller.whole, isTwice) == teller.whole.end());
    });
}

TEST_CASE("changes that are no whole object wait in their order, and none is dropped for another", "[config-monotonic]")
{
    // An endpoint that leaves gets requests for as long as a host has not heard of it: its entry must not give way to another's.
    ChangeQueue queue;
    CHECK(queue.add(piecesOf(1, 2), 1, "", 5, ChangeReach::Fleet));
    CHECK(queue.add(piecesOf(2, 1), 1, "", 5, ChangeReach::Fleet));
    CHECK(queue.add(piecesOf(3, 1), 1, "", 4, ChangeReach::Fleet));
    CHECK(queue.add(piecesOf(4, 1), 0, "main", 6, ChangeReach::Fleet));
    std::vector<std::uint64_t> order;
    for (; !queue.isEmpty(); queue.pop()) {
        order.push_back(queue.front().message.piece->whole);
    }
    CHECK(order == std::vector<std::uint64_t>{1, 1, 2, 3, 4});
}

TEST_CASE("what does not fit is refused, and what waits stays")
{
    ChangeQueue queue;
    for (std::uint64_t i = 0; i < ChangeQueue::mostWaiting / maxPieces; ++i) {
        CHECK(queue.add(piecesOf(i, maxPieces), 1, "", i, ChangeReach::Fleet));
    }
    CHECK_FALSE(queue.add(piecesOf(9, 1), 1, "", 9, ChangeReach::Fleet));
    CHECK(queue.front().message.piece->whole == 0);
}
