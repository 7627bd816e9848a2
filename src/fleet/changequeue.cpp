#include "fleet/changequeue.h"

#include <algorithm>

namespace Rhubarbwind
{

namespace
{

// Between datagrams of changes: one goes to some fifty hosts, 60 KB, which a link of twenty megabits a second takes 25 ms for. Sent
// together, those of thirty endpoints that crash at once fill the link's queue, and a whole failure domain misses one of them.
constexpr Duration shortestPause = 40ms;
// A full datagram to each host then takes five of the ten megabits of the smallest link.
constexpr Duration pieceTime = 2ms;
// Of names whose revision is remembered; the platform has one such object.
constexpr std::size_t mostObjects = 64;

} // namespace

bool ChangeQueue::add(std::vector<FleetMessage> messages, std::uint8_t topic, const std::string &object, std::uint64_t revision, ChangeReach reach)
{
    const bool standsAlone = !object.empty();
    if (standsAlone && m_newest.size() >= mostObjects) {
        m_newest.clear();
    }
    if (standsAlone) {
        std::uint64_t &newest = m_newest[{topic, object}];
        if (revision <= newest) {
            return true;
        }
        newest = revision;
        dropSuperseded(topic, object);
    }
    if (m_waiting.size() + messages.size() > mostWaiting) {
        return false;
    }
    ++m_changes;
    for (FleetMessage &message : messages) {
        m_waiting.push_back({std::move(message), m_changes, topic, object, reach});
    }
    return true;
}

// Failure: five configurations come with one answer of a platform that was away, or one each 80 ms. Told one after the other, each in
// paced pieces, the last is in force seconds late, though nobody needs those before it.
void ChangeQueue::dropSuperseded(std::uint8_t topic, const std::string &object)
{
    if (m_waiting.empty()) {
        return;
    }
    const std::uint64_t begun = m_waiting.front().change;
    std::erase_if(m_waiting, [&](const Item &item) { return item.change != begun && item.topic == topic && item.object == object; });
}

Duration ChangeQueue::pauseAfter(const Item &item, std::size_t targets)
{
    return item.message.piece ? std::max(shortestPause, pieceTime * static_cast<std::int64_t>(targets)) : shortestPause;
}

} // namespace Rhubarbwind
