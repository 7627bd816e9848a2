// Compares one object a claim with group commit on virtual time: `ledger_test "[.measure]"`.
//
// Arrivals are open-loop; the platform answers after a fixed time and refuses writes above its rate. Hops between hosts are left out, since
// they are the same for both.

#include "base/backoff.h"
#include "base/tokenbucket.h"
#include "ledger/ledgerwriter.h"

#include <cstdio>
#include <functional>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

constexpr double platformWritesPerSecond = 300;
constexpr double platformBurst = 30;
constexpr Duration measured = 60s;
constexpr Duration claimDeadline = 30s;

struct Load
{
    double claimsPerSecond;
    Duration platformAnswer;
    std::uint32_t shards; ///< 0: one object a claim, without a log
    Duration appendInterval;
};

/** A discrete-event simulation on virtual time. */
class Simulation
{
public:
    explicit Simulation(const Load &load)
        : m_load(load)
    {
        LedgerWriterOptions options;
        options.appendInterval = load.appendInterval;
        options.keyLimit = 2'000'000;
        options.queueLimit = 100'000;
        for (std::uint32_t shard = 0; shard < load.shards; ++shard) {
            m_writers.emplace_back("w", options);
        }
        m_scheduled.assign(load.shards, TimePoint::max());
    }

    void run()
    {
        arrive();
        while (!m_events.empty() && m_now < m_start + measured + claimDeadline) {
            const auto next = m_events.begin();
            m_now = next->first;
            const std::function<void()> event = std::move(next->second);
            m_events.erase(next);
            event();
        }
        std::sort(m_latencies.begin(), m_latencies.end());
    }

    void print(const char *name) const
    {
        std::printf("| %-26s | %8.0f | %3lld ms | %8.1f | %8.1f | %8.1f | %7zu | %8.0f |\n",
                    name,
                    m_load.claimsPerSecond,
                    static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(m_load.platformAnswer).count()),
                    static_cast<double>(m_writes) / toSeconds(measured),
                    quantileMs(0.5),
                    quantileMs(0.99),
                    m_claims - m_latencies.size(),
                    static_cast<double>(m_refused) / toSeconds(measured));
    }

private:
    void at(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    double quantileMs(double part) const
    {
        return m_latencies.empty() ? 0 : 1000 * toSeconds(m_latencies[static_cast<std::size_t>(part * static_cast<double>(m_latencies.size() - 1))]);
    }

    void arrive()
    {
        if (m_now >= m_start + measured) {
            return;
        }
        const std::string token = std::to_string(m_claims);
        ++m_claims;
        if (m_load.shards == 0) {
            tryObject(m_now, Backoff(20ms, 2s));
        } else {
            const std::uint32_t shard = static_cast<std::uint32_t>(m_random.below(m_load.shards));
            m_arrived[token] = m_now;
            // The ids are as long as real digests, tokens and request ids.
            m_writers[shard].claim({ClaimKey("0123456789abcdef0123456789abcdef" + token),
                                    ClaimToken(token),
                                    RequestId("0123456789abcdef0123456789abcdef"),
                                    HostId("host-12"),
                                    claimDeadline},
                                   m_now);
            drive(shard);
        }
        at(m_now + fromSeconds(-std::log(1.0 - m_random.uniform()) / m_load.claimsPerSecond), [this] { arrive(); });
    }

    bool admitWrite()
    {
        const bool admitted = m_bucket.tryTake(1, m_now);
        if (m_now < m_start + measured) {
            (admitted ? m_writes : m_refused) += 1;
        }
        return admitted;
    }

    void tryObject(TimePoint arrived, Backoff backoff)
    {
        const TimePoint answered = m_now + m_load.platformAnswer;
        if (admitWrite()) {
            m_latencies.push_back(answered - arrived);
        } else if (const TimePoint again = answered + backoff.next(m_random); again < arrived + claimDeadline) {
            at(again, [this, arrived, backoff] { tryObject(arrived, backoff); });
        }
    }

    void drive(std::uint32_t shard)
    {
        LedgerWriter &writer = m_writers[shard];
        for (const AddressedAnswer &answer : writer.takeAnswers()) {
            REQUIRE(answer.answer.kind == LedgerAnswerKind::Granted);
            m_latencies.push_back(m_now - m_arrived.at(answer.answer.token.text()));
        }
        if (const std::optional<LedgerCall> call = writer.nextCall(m_now)) {
            const bool refused = call->kind == LedgerCallKind::Append && !admitWrite();
            at(m_now + m_load.platformAnswer, [this, shard, kind = call->kind, refused] { finish(shard, kind, refused); });
        }
        const TimePoint wake = writer.wakeAt();
        if (wake != TimePoint::max() && (m_scheduled[shard] <= m_now || wake < m_scheduled[shard])) {
            m_scheduled[shard] = std::max(wake, m_now);
            at(m_scheduled[shard], [this, shard] { drive(shard); });
        }
    }

    void finish(std::uint32_t shard, LedgerCallKind kind, bool refused)
    {
        LedgerWriter &writer = m_writers[shard];
        if (kind == LedgerCallKind::List) {
            writer.listDone({}, m_now, m_random);
        } else if (refused) {
            writer.appendFailed(PlatformErrorKind::Refused, m_now, m_random);
        } else {
            writer.appendDone(1, m_now);
        }
        drive(shard);
    }

    Load m_load;
    TimePoint m_start{1h};
    TimePoint m_now = m_start;
    Random m_random{20261202};
    TokenBucket m_bucket{platformWritesPerSecond, platformBurst, m_start};
    std::vector<LedgerWriter> m_writers;
    std::vector<TimePoint> m_scheduled; ///< the earliest wake-up still in m_events, by shard
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::unordered_map<std::string, TimePoint> m_arrived;
    std::vector<Duration> m_latencies;
    std::size_t m_claims = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_refused = 0;
};

void measure(const char *name, const Load &load)
{
    Simulation simulation(load);
    simulation.run();
    simulation.print(name);
}

} // namespace

TEST_CASE("one object a claim against group commit", "[.measure]")
{
    std::printf("| %-26s | %8s | %6s | %8s | %8s | %8s | %7s | %8s |\n", "way", "claims/s", "answer", "writes/s", "p50 ms", "p99 ms", "not run", "refused/s");
    for (const Duration answer : {5ms, 20ms}) {
        for (const double rate : {2.0, 20.0, 200.0, 1300.0}) {
            measure("one object a claim", {rate, answer, 0, 0ms});
            measure("group commit, 4 shards", {rate, answer, 4, 0ms});
            measure("group commit, 4, 20 ms", {rate, answer, 4, 20ms});
            measure("group commit, 4, 50 ms", {rate, answer, 4, 50ms});
        }
        for (const double rate : {1300.0, 13000.0}) {
            measure("group commit, 16, 100 ms", {rate, answer, 16, 100ms});
            measure("group commit, 64, 500 ms", {rate, answer, 64, 500ms});
        }
    }
}
