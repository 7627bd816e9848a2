#pragma once

// Changes that wait to be told to other hosts, paced. A decision without I/O.
//
// Load pattern: configurations come twelve a second for seconds, and each of three watchers tells them; each watcher skips others, so a
// relay hears nearly all of them. Told in pieces to all hosts of a failure domain, each is some hundred kilobytes on the teller's
// link. So of one object only the newest waits. One that has begun is told to its end: dropped half told each time, none would ever
// arrive while they go on coming. So the last waits for one other at the most, and a link of ten megabits a second stays half free.
//
// Promise: whatever was added, the newest version of an object is told after at most two of its own times. Bound: mostWaiting datagrams; a change
// beyond it is refused, and its hosts see from beacons that they are behind.

#include "base/time.h"
#include "fleet/fleetmessage.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** To whom a change is told. */
enum class ChangeReach : std::uint8_t {
    Fleet, ///< all hosts, by relays or directly
    Domain, ///< the other hosts of the own failure domain, as their relay
};

class ChangeQueue
{
public:
    struct Item
    {
        FleetMessage message; ///< one datagram
        std::uint64_t change = 0; ///< number of the change that it is of
        std::uint8_t topic = 0;
        std::string object; ///< whose whole content the change is; empty: not one object's, or not good alone
        ChangeReach reach = ChangeReach::Fleet;
    };

    /**
     * @param messages the change, cut to datagrams  @param object as Item's  @param revision of that object
     * @return false if there is no room; a version that is not newer than one added before is dropped, and true
     */
    bool add(std::vector<FleetMessage> messages, std::uint8_t topic, const std::string &object, std::uint64_t revision, ChangeReach reach);

    bool isEmpty() const
    {
        return m_waiting.empty();
    }
    const Item &front() const
    {
        return m_waiting.front();
    }
    void pop()
    {
        m_waiting.pop_front();
    }
    /** Until the next datagram after one that went to so many hosts. */
    static Duration pauseAfter(const Item &item, std::size_t targets);

    static constexpr std::size_t mostWaiting = 4 * maxPieces; ///< a few configurations

private:
    struct ObjectKey
    {
        std::uint8_t topic = 0;
        std::string name;
        friend auto operator<=>(const ObjectKey &, const ObjectKey &) = default;
    };

    void dropSuperseded(std::uint8_t topic, const std::string &object);

    std::deque<Item> m_waiting; ///< the first has begun
    std::map<ObjectKey, std::uint64_t> m_newest; ///< revision of the last version added; bounded by mostObjects
    std::uint64_t m_changes = 0;
};

} // namespace Rhubarbwind
