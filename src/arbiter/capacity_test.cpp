// Figures for docs/CAPACITY.md: what permits cost on the links, in processor time and in memory, by the amount of work.

#include "arbiter/arbiterhost.h"
#include "arbiter/arbiterhostfakes.h"
#include "base/rendezvous.h"
#include "base/requestid.h"
#include "routing/endpointpool.h"

#include <algorithm>
#include <cstdio>
#include <ctime>

#include <malloc.h>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

double processorSeconds()
{
    return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

// The peak load: 423 tokens per answer; at 40 ms per token a request runs for 17 s and reports progress every 16 tokens.
constexpr Duration requestDuration = 17s;
constexpr Duration progressGap = 640ms;
constexpr std::uint32_t progressTokens = 16;
constexpr std::size_t digestsOfTicket = 12; ///< 3 KB of prompt
constexpr std::size_t endpointsOfShard = 42;
constexpr std::uint32_t slotsOfEndpoint = 128;
const HostId entryHost("host-muc-nord-117");
const HostId arbiterHost("host-muc-sued-023");
const ShardId shardName("contract-drafts-2");

std::vector<Endpoint> endpointsOf(std::size_t count)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i < count; ++i) {
        Endpoint endpoint;
        endpoint.id = EndpointId("engine-muc-sued-" + std::to_string(1000 + i));
        endpoint.shard = shardName;
        endpoint.domain = FailureDomain("domain-" + std::to_string(i % 14));
        endpoint.slots = slotsOfEndpoint;
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

std::shared_ptr<const PresetInForce> presetOf(std::size_t customers)
{
    std::shared_ptr<PresetInForce> preset = std::make_shared<PresetInForce>(*PermitFakes::presetOfTwoClasses());
    for (std::size_t i = 0; i < customers; ++i) {
        preset->preset.customers.push_back({CustomerId("customer-number-" + std::to_string(i)), 1.5, std::string(64, 'a')});
    }
    return preset;
}

Ticket ticketNumber(std::size_t number)
{
    Ticket ticket;
    ticket.id = {RequestId(freshId()), 0};
    ticket.entry = entryHost;
    ticket.classId = ClassId("query");
    ticket.customer = CustomerId("customer-number-" + std::to_string(number % 5100));
    ticket.deadlineIn = 30s;
    ticket.promptTokens = 800;
    for (std::size_t block = 0; block < digestsOfTicket; ++block) {
        ticket.prefixDigests.push_back((number % 100 + 1) * 1000 + block);
    }
    return ticket;
}

struct LinkTotals
{
    std::size_t requestFrames = 0;
    std::size_t requestBytes = 0;
    std::size_t answerFrames = 0;
    std::size_t answerBytes = 0;
    double clientProcessor = 0; ///< including encoding and decoding
    double arbiterProcessor = 0;
};

/** One client and the real arbiter of its shard in virtual time; every message is encoded and decoded. */
class PairRun
{
public:
    explicit PairRun(double requestsPerSecond)
        : m_gap(requestsPerSecond > 0 ? fromSeconds(1 / requestsPerSecond) : Duration::max())
        , m_client({.shard = shardName, .self = entryHost}, m_now)
        , m_term(
              shardName, arbiterHost, ArbiterOptions(), 2ms, [this](const ShardId &) { return std::make_unique<EndpointPool>(EndpointPoolOptions{}, m_now); })
        , m_nextRequest(requestsPerSecond > 0 ? m_now : TimePoint::max())
    {
        const std::vector<Endpoint> endpoints = endpointsOf(endpointsOfShard);
        const std::vector<HostId> hosts{entryHost, arbiterHost};
        const std::shared_ptr<const PresetInForce> preset = presetOf(0);
        m_client.applyPreset(m_now, preset);
        m_client.setEndpoints(m_now, endpoints);
        m_client.setHosts(m_now, hosts);
        m_term.applyPreset(m_now, preset);
        m_term.setEndpoints(m_now, endpoints);
        m_client.ownerChanged(m_now, arbiterHost);
    }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        for (; m_now < end; m_now += 2ms) {
            if (m_nextRequest <= m_now) {
                m_nextRequest += m_gap;
                m_client.request(m_now, ticketNumber(m_number++));
            }
            work();
            driveClient();
            driveArbiter();
        }
    }

    std::size_t held() const
    {
        return m_running.size();
    }
    LinkTotals totals;

private:
    struct Running
    {
        Grant grant;
        TimePoint endsAt;
        TimePoint nextProgress;
        std::uint32_t tokens = 0;
    };

    void work()
    {
        const double start = processorSeconds();
        bool any = false;
        for (std::size_t i = 0; i < m_running.size();) {
            Running &running = m_running[i];
            if (running.endsAt <= m_now) {
                m_client.release(m_now, {running.grant.id, running.grant.endpoint, ReleaseKind::Completed, 300ms, 40ms, 423, 512});
                m_running[i] = m_running.back();
                m_running.pop_back();
                any = true;
                continue;
            }
            if (running.nextProgress <= m_now) {
                running.nextProgress += progressGap;
                running.tokens += progressTokens;
                m_client.progress(m_now, running.grant.id, running.tokens);
                any = true;
            }
            ++i;
        }
        totals.clientProcessor += any ? processorSeconds() - start : 0;
    }

    void driveClient()
    {
        if (const std::optional<TimePoint> wake = m_client.nextWake(); wake && *wake <= m_now) {
            const double start = processorSeconds();
            m_client.tick(m_now);
            totals.clientProcessor += processorSeconds() - start;
        }
        for (const PermitClientAction &action : m_client.takeActions()) {
            if (const SendPermitRequests *message = std::get_if<SendPermitRequests>(&action)) {
                sendRequests(message->batch);
            } else if (const Grant *grant = std::get_if<Grant>(&action)) {
                m_running.push_back({*grant, m_now + requestDuration, m_now + progressGap, 0});
            }
        }
    }

    void sendRequests(const PermitRequests &batch)
    {
        const double start = processorSeconds();
        const std::vector<std::byte> bytes = encodePermitRequests(batch);
        const double encoded = processorSeconds();
        const Result<PermitRequests, PermitDecodeError> decoded = decodePermitRequests(bytes);
        REQUIRE(decoded.has_value());
        m_term.requests(m_now, decoded.value());
        totals.clientProcessor += encoded - start;
        totals.arbiterProcessor += processorSeconds() - encoded;
        ++totals.requestFrames;
        totals.requestBytes += bytes.size();
    }

    void driveArbiter()
    {
        const double start = processorSeconds();
        const std::vector<PermitAnswersTo> messages = m_term.takeAnswers(m_now);
        if (messages.empty()) {
            return;
        }
        for (const PermitAnswersTo &message : messages) {
            const std::vector<std::byte> bytes = encodePermitAnswers(message.answers);
            const double encoded = processorSeconds();
            totals.arbiterProcessor += encoded - start;
            const Result<PermitAnswers, PermitDecodeError> decoded = decodePermitAnswers(bytes);
            REQUIRE(decoded.has_value());
            m_client.answers(m_now, arbiterHost, decoded.value());
            totals.clientProcessor += processorSeconds() - encoded;
            ++totals.answerFrames;
            totals.answerBytes += bytes.size();
        }
    }

    Duration m_gap;
    TimePoint m_now = TimePoint(1h);
    PermitClient m_client;
    ArbiterTerm<EndpointPool> m_term;
    TimePoint m_nextRequest;
    std::size_t m_number = 0;
    std::vector<Running> m_running;
};

/** A transport that drops sent frames; the test passes received frames to its handlers. */
struct DroppingPort
{
    std::map<MessageKind, FrameHandler> handlers;

    Result<void, SendError> send(const HostId &, MessageKind, const std::vector<std::byte> &)
    {
        return success();
    }
    void onFrame(MessageKind kind, FrameHandler handler)
    {
        handlers[kind] = std::move(handler);
    }
};

void pump(boost::asio::io_context &context)
{
    context.restart();
    context.poll();
}

/** Processor time of one pass over all shards, in microseconds. */
template <class Host>
double passMicroseconds(Host &host, boost::asio::io_context &context)
{
    const int passes = 2000;
    const double start = processorSeconds();
    for (int i = 0; i < passes; ++i) {
        host.progress(ShardId("model-0"), {RequestId("none"), 0}, 1);
        pump(context);
    }
    return (processorSeconds() - start) * 1e6 / passes;
}

/** Connects a client of every other host to the arbiter of the first shard that the host owns; false if it owns none. */
bool connectClients(DroppingPort &port, boost::asio::io_context &context, const std::vector<HostId> &hosts, std::size_t shards)
{
    for (std::size_t i = 0; i < shards; ++i) {
        const ShardId shard("model-" + std::to_string(i));
        if (rendezvousOwner(hosts, "arbiter/" + shard.text()) != hosts.front()) {
            continue;
        }
        for (std::size_t client = 1; client < hosts.size(); ++client) {
            PermitRequests batch;
            batch.shard = shard;
            batch.sender = hosts[client];
            batch.incarnation = 1;
            batch.sequence = 1;
            batch.complete = true;
            port.handlers.at(MessageKind::ArbiterRequests)(hosts[client], encodePermitRequests(batch));
        }
        pump(context);
        return true;
    }
    return false;
}

} // namespace

TEST_CASE("one client and its arbiter: frames, bytes and processor time by requests a second", "[.measure][capacity]")
{
    // 13,000 requests per second over 370 hosts and 90 shards are 0.39 per second for a client; the other rates show the slope.
    for (const double rate : {0.06, 0.39, 1.56, 6.25}) {
        PairRun run(rate);
        run.run(40s); // until as many requests end as begin
        run.totals = {};
        const double seconds = 60;
        run.run(fromSeconds(seconds));
        const LinkTotals &totals = run.totals;
        std::printf("slope permit-pair requests_a_second=%.2f held=%zu request_frames_a_second=%.2f request_bytes_a_second=%.0f answer_frames_a_second=%.2f "
                    "answer_bytes_a_second=%.0f desk_us_a_second=%.1f arbiter_us_a_second=%.1f\n",
                    rate,
                    run.held(),
                    static_cast<double>(totals.requestFrames) / seconds,
                    static_cast<double>(totals.requestBytes) / seconds,
                    static_cast<double>(totals.answerFrames) / seconds,
                    static_cast<double>(totals.answerBytes) / seconds,
                    totals.clientProcessor * 1e6 / seconds,
                    totals.arbiterProcessor * 1e6 / seconds);
    }
    std::fflush(stdout);
}

TEST_CASE("an arbiter's memory by permits held and tickets waiting", "[.measure][capacity]")
{
    TimePoint now = TimePoint(1h);
    EndpointPool pool({}, now);
    const std::vector<Endpoint> endpoints = endpointsOf(endpointsOfShard);
    pool.update(now, endpoints);
    const std::size_t empty = mallinfo2().uordblks;
    Arbiter<EndpointPool> arbiter(shardName, ArbiterOptions(), pool, 1, now);
    arbiter.applyPreset(now, presetOf(0));
    now += 1s;
    arbiter.tick(now);
    std::size_t granted = 0;
    std::size_t sent = 0;
    const double start = processorSeconds();
    while (granted == sent && sent < 10'000) {
        now += 1ms;
        arbiter.ticket(now, ticketNumber(sent++));
        granted += arbiter.takeActions().size();
    }
    const double grantedBy = processorSeconds();
    const std::size_t full = mallinfo2().uordblks;
    const std::size_t waiting = 3000;
    for (std::size_t i = 0; i < waiting; ++i) {
        arbiter.ticket(now, ticketNumber(sent++));
        (void)arbiter.takeActions();
    }
    const std::size_t queued = arbiter.status().queued;
    REQUIRE(queued > 0);
    std::printf("slope arbiter held=%zu queued=%zu grant_us=%.1f memory_bytes_a_permit=%zu memory_bytes_a_ticket=%zu\n",
                granted,
                queued,
                (grantedBy - start) * 1e6 / static_cast<double>(sent - waiting),
                (full - empty) / granted,
                (mallinfo2().uordblks - full) / queued);
    std::fflush(stdout);
}

TEST_CASE("a host's permits by the number of shards: memory, a pass, a change of hosts, a change of preset", "[.measure][capacity]")
{
    using MeasuredHost = ArbiterHost<ManualClock, DroppingPort, EndpointPool>;
    const std::shared_ptr<const PresetInForce> preset = presetOf(5100);
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < 370; ++i) {
        hosts.emplace_back("host-" + std::to_string(1000 + i));
    }
    // With 90 shards some hosts own several and some none; the measured host must own at least one.
    while (rendezvousOwner(hosts, "arbiter/model-0") != hosts.front()) {
        std::rotate(hosts.begin(), hosts.begin() + 1, hosts.end());
    }
    for (const std::size_t shards : {2, 36, 90}) {
        ManualClock::reset();
        boost::asio::io_context context;
        DroppingPort port;
        ArbiterHostOptions options;
        options.self = hosts.front();
        const std::size_t memoryBefore = mallinfo2().uordblks;
        const std::shared_ptr<MeasuredHost> host = std::make_shared<MeasuredHost>(
            context, port, options, [](const ShardId &) { return std::make_unique<EndpointPool>(EndpointPoolOptions{}, ManualClock::now()); });
        host->start();
        host->setHosts(hosts);
        for (std::size_t i = 0; i < shards; ++i) {
            host->setEndpoints(ShardId("model-" + std::to_string(i)), endpointsOf(endpointsOfShard));
        }
        host->setPreset(preset);
        pump(context);
        const std::size_t memory = mallinfo2().uordblks - memoryBefore;
        const double pass = passMicroseconds(*host, context);

        const int changes = 20;
        const double begin = processorSeconds();
        for (int i = 0; i < changes; ++i) {
            std::vector<HostId> live = hosts;
            live.erase(live.begin() + 1 + i);
            host->setHosts(std::move(live));
            pump(context);
        }
        const double moved = processorSeconds();
        for (int i = 0; i < changes; ++i) {
            std::shared_ptr<PresetInForce> next = std::make_shared<PresetInForce>(*preset);
            next->version = static_cast<PresetVersion>(i) + 2;
            host->setPreset(next);
            pump(context);
        }
        const double changed = processorSeconds();
        host->setHosts(hosts);
        REQUIRE(connectClients(port, context, hosts, shards));
        const std::size_t served = mallinfo2().uordblks - memoryBefore;
        std::printf("slope permit-host shards=%zu memory_kb_a_shard=%.1f memory_kb_of_a_served_shard=%.0f pass_us=%.2f pass_us_with_369_desks=%.2f "
                    "host_change_ms=%.2f preset_change_ms=%.2f\n",
                    shards,
                    static_cast<double>(memory) / 1024.0 / static_cast<double>(shards),
                    static_cast<double>(served - memory) / 1024.0,
                    pass,
                    passMicroseconds(*host, context),
                    (moved - begin) * 1e3 / changes,
                    (changed - moved) * 1e3 / changes);
        host->stop();
    }
    std::fflush(stdout);
}
