#pragma once

// Replays the load of one plain service in virtual time: hosts that each place their own requests, endpoints with slots and a queue behind them, and
// knowledge of the age that it has in a deployment.

#include "fleet/fleetmessage.h"
#include "gateway/resendbudget.h"
#include "gateway/sendrecord.h"
#include "gateway/slotqueue.h"
#include "placing/endpointselector.h"

#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Rhubarbwind::SlotReplayTest
{

struct ReplayOptions
{
    std::uint64_t seed = 1;
    bool waits = true; ///< false: as without the queue
    SlotQueueOptions queue;
    std::size_t hosts = 66;
    std::size_t endpoints = 4;
    std::uint32_t slots = 6;
    std::uint32_t endpointQueue = 24;
    double perSecond = 590;
    double medianWorkMs = 30;
    double spread = 0.5; ///< of the lognormal work
    double longShare = 0.02; ///< of the requests, five times as long
    Duration length = 10s;
    bool reportsLoad = true;
    Duration endpointsGoneAt = 1h; ///< all of them are removed then
};

struct ReplayResult
{
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0; ///< answered after the goal
    std::uint64_t resends = 0;
    std::uint64_t heldLongAndRefused = 0; ///< refused after more than an eighth of the goal
    std::uint64_t waited = 0;
    double waitMs = 0; ///< sum of the waits at hosts
    double full = 0; ///< mean share of time in which one endpoint has no place while another has an idle slot
    std::size_t mostWaiting = 0; ///< at one host
    double percent(std::uint64_t count) const
    {
        return 100.0 * static_cast<double>(count) / static_cast<double>(std::max<std::uint64_t>(1, requests));
    }
};

class Replay
{
public:
    explicit Replay(ReplayOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_end(m_now + options.length)
    {
        for (std::size_t i = 0; i < options.endpoints; ++i) {
            m_endpoints.emplace_back();
            m_endpoints.back().id = EndpointId("e" + std::to_string(i));
            publish(i);
        }
        for (std::size_t i = 0; i < options.hosts; ++i) {
            m_hosts.push_back(std::make_unique<Host>(options, options.seed * 1000 + i));
            for (const Endpoint &endpoint : m_endpoints) {
                SelectorEndpoint listed;
                listed.id = endpoint.id;
                listed.service = service();
                listed.slots = options.slots;
                m_hosts.back()->board.put(listed);
                m_hosts.back()->board.setHasConnection(listed.id, true);
            }
            at(fromSeconds(0.3 * m_random.uniform()), [this, i] { beacon(i); });
        }
        at(options.endpointsGoneAt, [this] { removeEndpoints(); });
        arrival();
        sample();
    }

    ReplayResult run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_result;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };
    struct Request
    {
        std::uint64_t id = 0;
        std::size_t host = 0;
        TimePoint receivedAt;
        TimePoint sentAt;
        Duration goal{};
        std::vector<EndpointId> avoid;
        SendRecord record{RouteKind::Unsafe, false, 1};
        bool ended = false;
        bool owesResend = false;
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Host
    {
        Host(const ReplayOptions &options, std::uint64_t seed)
            : board(SelectorOptions(), seed)
            , queue(options.queue, seed)
            , budget(ResendBudgetOptions())
        {
        }
        EndpointSelector board;
        SlotQueue queue;
        ResendBudget budget;
        std::map<std::uint64_t, RequestPtr> waiting;
        std::map<std::uint64_t, TimePoint> waitingSince;
    };
    struct Endpoint
    {
        EndpointId id;
        std::uint32_t running = 0;
        std::deque<RequestPtr> queued;
        ReportedLoad published; ///< a report on its way is this old
        ReportedLoad taken;
    };

    static const ShardId &service()
    {
        static const ShardId name("plain");
        return name;
    }
    void at(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_number, std::move(action)});
    }
    static constexpr Duration oneWay = 900us;

    void arrival()
    {
        if (m_now >= m_end) {
            return;
        }
        at(fromSeconds(-std::log(1 - m_random.uniform()) / m_options.perSecond), [this] { arrival(); });
        const RequestPtr request = std::make_shared<Request>();
        request->id = ++m_result.requests;
        request->host = m_random.below(m_hosts.size());
        request->receivedAt = m_now;
        // calib-signoff and status-read at their rates.
        request->goal = m_random.uniform() < 165 / (165 + 38.3) ? 200ms : 150ms;
        m_hosts[request->host]->budget.requestReceived(service(), m_now);
        place(request);
    }

    // Reports are 100 to 200 ms old on arrival.
    void publish(std::size_t index)
    {
        Endpoint &endpoint = m_endpoints[index];
        endpoint.published = endpoint.taken;
        endpoint.taken = {endpoint.running, static_cast<std::uint32_t>(endpoint.queued.size()), m_options.slots};
        if (m_now < m_end + 2s) {
            at(100ms, [this, index] { publish(index); });
        }
    }

    // The counts of other hosts are 0.3 to 0.5 s old when their successors arrive.
    void beacon(std::size_t index)
    {
        const std::vector<SharedLoad> loads = m_hosts[index]->board.ownLoad();
        at(100ms, [this, index, loads] {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (i != index) {
                    m_hosts[i]->board.setPeerLoad(std::to_string(index), loads);
                }
            }
        });
        if (m_now < m_end) {
            at(200ms + fromSeconds(0.2 * m_random.uniform()), [this, index] { beacon(index); });
        }
    }

    void sample()
    {
        bool hasFull = false;
        bool hasIdle = false;
        for (const Endpoint &endpoint : m_endpoints) {
            hasFull = hasFull || endpoint.queued.size() >= m_options.endpointQueue;
            hasIdle = hasIdle || endpoint.running < m_options.slots;
        }
        m_result.full += hasFull && hasIdle ? toSeconds(5ms) / toSeconds(m_options.length) : 0;
        if (m_now < m_end) {
            at(5ms, [this] { sample(); });
        }
    }

    void removeEndpoints()
    {
        for (const std::unique_ptr<Host> &host : m_hosts) {
            for (const Endpoint &endpoint : m_endpoints) {
                host->board.remove(endpoint.id);
                host->queue.endpointRemoved(service(), endpoint.id);
            }
        }
    }

    void refuse(const RequestPtr &request)
    {
        request->ended = true;
        ++m_result.refused;
        if (m_now - request->receivedAt > request->goal / 8 + 1ms) {
            ++m_result.heldLongAndRefused;
        }
    }

    void place(const RequestPtr &request)
    {
        Host &host = *m_hosts[request->host];
        if (!m_options.waits) {
            const std::optional<EndpointSelection> chosen = host.board.choose(service(), RequestWork(), request->avoid, m_now);
            chosen ? send(request, chosen->id) : refuse(request);
            return;
        }
        const std::vector<SlotCandidate> candidates = host.board.slotCandidates(service(), request->avoid, m_now);
        if (candidates.empty()) {
            refuse(request);
            return;
        }
        SlotRequest asked;
        asked.id = request->id;
        asked.service = service();
        asked.goal = request->goal;
        asked.goalEnd = request->receivedAt + request->goal;
        asked.isFirstSend = request->record.sends() == 0;
        decided(request, host.queue.arrive(asked, candidates, m_now));
        m_result.mostWaiting = std::max(m_result.mostWaiting, host.queue.waiting(service()));
        wakeLater(request->host);
    }

    void decided(const RequestPtr &request, const SlotDecision &decision)
    {
        Host &host = *m_hosts[request->host];
        if (decision.action == SlotAction::Wait) {
            host.waiting[request->id] = request;
            host.waitingSince[request->id] = m_now;
        } else if (decision.action == SlotAction::Refuse) {
            refuse(request);
        } else if (request->owesResend && !host.budget.tryTake(service(), m_now)) {
            refuse(request);
        } else {
            send(request, decision.endpoint);
        }
    }

    void wake(std::size_t index)
    {
        Host &host = *m_hosts[index];
        while (const std::optional<SlotDecision> decision = host.queue.next(service(), host.board.slotCandidates(service(), {}, m_now), m_now)) {
            const RequestPtr request = host.waiting.at(decision->id);
            host.waiting.erase(decision->id);
            ++m_result.waited;
            m_result.waitMs += toSeconds(m_now - host.waitingSince.at(decision->id)) * 1000;
            decided(request, *decision);
        }
        wakeLater(index);
    }

    void wakeLater(std::size_t index)
    {
        if (const std::optional<TimePoint> due = m_hosts[index]->queue.wakeAt()) {
            at(std::max(*due - m_now, Duration::zero()), [this, index] {
                const std::optional<TimePoint> due = m_hosts[index]->queue.wakeAt();
                if (due && *due <= m_now) {
                    wake(index);
                }
            });
        }
    }

    void send(const RequestPtr &request, const EndpointId &id)
    {
        Host &host = *m_hosts[request->host];
        host.board.sent(id, RequestWork(), 0);
        m_result.resends += request->record.sends() > 0 ? 1 : 0;
        request->record.handedOver();
        request->sentAt = m_now;
        request->owesResend = false;
        at(oneWay, [this, request, id] { received(request, std::stoul(id.text().substr(1))); });
    }

    void received(const RequestPtr &request, std::size_t index)
    {
        Endpoint &endpoint = m_endpoints[index];
        if (endpoint.running < m_options.slots) {
            start(request, index);
        } else if (endpoint.queued.size() < m_options.endpointQueue) {
            endpoint.queued.push_back(request);
        } else {
            at(oneWay, [this, request, index, report = endpoint.published] { refusedBy(request, index, report); });
        }
    }

    void start(const RequestPtr &request, std::size_t index)
    {
        ++m_endpoints[index].running;
        double ms = m_options.medianWorkMs * std::exp(m_options.spread * std::normal_distribution<double>()(m_random.engine()));
        ms *= m_random.uniform() < m_options.longShare ? 5 : 1;
        at(fromSeconds(ms / 1000), [this, request, index] { completed(request, index); });
    }

    void completed(const RequestPtr &request, std::size_t index)
    {
        Endpoint &endpoint = m_endpoints[index];
        --endpoint.running;
        if (!endpoint.queued.empty()) {
            const RequestPtr next = endpoint.queued.front();
            endpoint.queued.pop_front();
            start(next, index);
        }
        at(oneWay, [this, request, index, report = endpoint.published] {
            release(*request, index, report);
            m_hosts[request->host]->queue.answered(service(), m_now - request->sentAt, report.waiting);
            request->ended = true;
            m_result.late += m_now - request->receivedAt > request->goal ? 1 : 0;
            wake(request->host);
        });
    }

    void release(const Request &request, std::size_t index, const ReportedLoad &report)
    {
        Host &host = *m_hosts[request.host];
        if (m_options.reportsLoad) {
            host.board.reported(m_endpoints[index].id, report, m_now);
            host.queue.endpointReported(service(), m_endpoints[index].id, report.waiting);
        }
        host.board.ended(m_endpoints[index].id, RequestWork(), 0);
    }

    void refusedBy(const RequestPtr &request, std::size_t index, const ReportedLoad &report)
    {
        Host &host = *m_hosts[request->host];
        request->record.refused();
        release(*request, index, report);
        if (m_options.waits) {
            host.queue.endpointRefused(service(), m_endpoints[index].id, m_now);
            if (!request->record.maySendAgain() || host.budget.remaining(service(), m_now) < 1) {
                refuse(request);
                return;
            }
            request->owesResend = true;
        } else {
            request->avoid.push_back(m_endpoints[index].id);
            if (!request->record.maySendAgain() || !host.budget.tryTake(service(), m_now)) {
                refuse(request);
                return;
            }
        }
        place(request);
    }

    ReplayOptions m_options;
    Random m_random;
    TimePoint m_now = TimePoint() + 1000s;
    TimePoint m_end;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    ReplayResult m_result;
};

} // namespace Rhubarbwind::SlotReplayTest
