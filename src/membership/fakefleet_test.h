#pragma once

// Test support: many Membership instances on virtual time, connected by a lossy network.

#include "membership/membership.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <string>

namespace Rhubarbwind::FakeFleet
{

inline constexpr std::string_view secret = "fleet";
inline constexpr Duration step = 10ms;
/** Bytes of the UDP and IP headers of a datagram. */
inline constexpr std::size_t udpOverhead = 28;

struct Node
{
    Membership core;
    Member self;
    std::size_t slot = 0; ///< index that determines address and failure domain; a replacement process reuses it
    bool running = true;
    bool frozen = false;
    TimePoint nextTick;
    std::vector<MembershipMessage> unread; ///< what the socket buffers while the process is frozen
    std::size_t bytesOut = 0;
    std::size_t bytesIn = 0;
    std::vector<Member> changes;
};

struct InFlight
{
    TimePoint due;
    std::uint64_t order = 0;
    std::size_t toSlot = 0;
    std::vector<std::byte> bytes;
    friend bool operator<(const InFlight &left, const InFlight &right)
    {
        return std::tie(left.due, left.order) > std::tie(right.due, right.order);
    }
};

class Fleet
{
public:
    Fleet(std::size_t hosts, std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t slot = 0; slot < hosts; ++slot) {
            add(slot, "host-" + std::to_string(slot));
        }
        listAll();
    }

    /** Starts a process; listAll() updates the host lists. */
    Node &add(std::size_t slot, const std::string &name)
    {
        Node node{Membership(MembershipSettings(), m_random.engine()()), {}, slot, true, false, now, {}, 0, 0, {}};
        node.self.host = HostId(name);
        node.self.address = addressOf(slot);
        node.self.domain = FailureDomain("domain-" + std::to_string(slot % 3));
        node.self.incarnation.start = static_cast<std::uint64_t>(toMicroseconds(now.time_since_epoch()) / 1000) + 1;
        node.nextTick = now + step * static_cast<Duration::rep>(m_random.below(10));
        nodes.push_back(std::make_unique<Node>(std::move(node)));
        Node &added = *nodes.back();
        carryOut(added, added.core.start(now, added.self, list));
        return added;
    }

    void listAll()
    {
        list.clear();
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->running) {
                list.push_back({node->self.host, node->self.address, node->self.domain, false});
            }
        }
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->running && !node->frozen) {
                carryOut(*node, node->core.hostList(now, list));
            }
        }
    }

    void run(Duration duration)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            now += step;
            deliverDue();
            for (const std::unique_ptr<Node> &node : nodes) {
                if (node->running && !node->frozen && node->nextTick <= now) {
                    node->nextTick = now + MembershipSettings().tickInterval;
                    carryOut(*node, node->core.tick(now));
                }
            }
        }
    }

    /** Runs until the condition holds; returns how long that took, or the bound. */
    template <class Condition>
    Duration runUntil(Condition condition, Duration bound, Duration checkInterval = step)
    {
        const TimePoint begin = now;
        while (!condition() && now - begin < bound) {
            run(checkInterval);
        }
        return now - begin;
    }

    void wake(Node &node)
    {
        node.frozen = false;
        const std::vector<MembershipMessage> unread = std::exchange(node.unread, {});
        if (m_random.below(2) == 0) {
            carryOut(node, node.core.tick(now));
        }
        for (const MembershipMessage &message : unread) {
            carryOut(node, node.core.datagram(now, message));
        }
    }

    std::vector<HostId> running() const
    {
        std::vector<HostId> hosts;
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->running) {
                hosts.push_back(node->self.host);
            }
        }
        std::sort(hosts.begin(), hosts.end());
        return hosts;
    }

    bool everyViewIs(const std::vector<HostId> &expected) const
    {
        return std::all_of(
            nodes.begin(), nodes.end(), [&](const std::unique_ptr<Node> &node) { return !node->running || node->core.aliveHosts() == expected; });
    }

    static PeerAddress addressOf(std::size_t slot)
    {
        return {"10.0." + std::to_string(slot / 250) + "." + std::to_string(slot % 250 + 1), 4000};
    }

    void carryOut(Node &node, const MembershipActions &actions)
    {
        for (const MembershipAction &action : actions) {
            if (const SendDatagram *datagram = std::get_if<SendDatagram>(&action)) {
                transmit(node, *datagram);
            }
            if (const MemberChanged *change = std::get_if<MemberChanged>(&action)) {
                node.changes.push_back(change->member);
            }
        }
    }

    TimePoint now = TimePoint(1h);
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<SeedHost> list;
    double loss = 0;
    Duration maxDelay = 20ms;
    /** True when no datagram passes from the first slot to the second. */
    std::function<bool(std::size_t from, std::size_t to)> cut = [](std::size_t, std::size_t) { return false; };
    std::vector<std::vector<std::byte>> *recorded = nullptr;

private:
    void transmit(Node &node, const SendDatagram &datagram)
    {
        std::vector<std::byte> bytes = encodeDatagram(datagram.message, secret).value();
        node.bytesOut += bytes.size() + udpOverhead;
        if (recorded != nullptr) {
            recorded->push_back(bytes);
        }
        const std::optional<std::size_t> slot = slotOf(datagram.to);
        if (!slot || cut(node.slot, *slot) || m_random.uniform() < loss) {
            return;
        }
        const Duration delay = 1ms + fromSeconds(m_random.uniform() * toSeconds(maxDelay));
        m_inFlight.push({now + delay, m_order++, *slot, std::move(bytes)});
    }

    void deliverDue()
    {
        constexpr std::size_t socketBuffer = 64;
        while (!m_inFlight.empty() && m_inFlight.top().due <= now) {
            const InFlight arrived = m_inFlight.top();
            m_inFlight.pop();
            for (const std::unique_ptr<Node> &node : nodes) {
                if (!node->running || node->slot != arrived.toSlot) {
                    continue;
                }
                node->bytesIn += arrived.bytes.size() + udpOverhead;
                const MembershipMessage message = decodeDatagram(arrived.bytes, secret).value();
                if (!node->frozen) {
                    carryOut(*node, node->core.datagram(now, message));
                } else if (node->unread.size() < socketBuffer) {
                    node->unread.push_back(message);
                }
            }
        }
    }

    std::optional<std::size_t> slotOf(const PeerAddress &address) const
    {
        for (const std::unique_ptr<Node> &node : nodes) {
            if (node->self.address == address) {
                return node->slot;
            }
        }
        return std::nullopt;
    }

    Random m_random;
    std::priority_queue<InFlight> m_inFlight;
    std::uint64_t m_order = 0;
};

} // namespace Rhubarbwind::FakeFleet
