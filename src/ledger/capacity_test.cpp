// Figures for docs/CAPACITY.md: what claims cost in platform writes, bytes, processor time and memory.

#include "base/requestid.h"
#include "ledger/ledgerwriter.h"

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

constexpr Duration platformAnswer = 5ms;
constexpr Duration requestLife = 2s;
constexpr double measuredSeconds = 20;

struct Totals
{
    std::size_t claims = 0;
    std::size_t granted = 0;
    std::size_t appends = 0;
    std::size_t bytes = 0;
};

/** One writer over virtual time: claims at an even rate, each ended after requestLife, each append answered after platformAnswer. */
class WriterRun
{
public:
    WriterRun(double claimsPerSecond, Duration appendInterval)
        : m_gap(fromSeconds(1 / claimsPerSecond))
        , m_writer("writer/0", optionsOf(appendInterval))
        , m_random(1)
    {
        m_writer.setLive(std::vector<HostId>{HostId("host-muc-nord-117")});
        REQUIRE(m_writer.nextCall(m_now)->kind == LedgerCallKind::List);
        m_writer.listDone({}, m_now, m_random);
    }

    void run()
    {
        const TimePoint end = m_now + fromSeconds(measuredSeconds);
        TimePoint nextClaim = m_now;
        for (; m_now < end; m_now += 1ms) {
            for (; nextClaim <= m_now; nextClaim += m_gap) {
                claim();
            }
            for (; !m_running.empty() && m_running.front().first <= m_now; m_running.pop_front()) {
                m_writer.end(HostId("host-muc-nord-117"), m_running.front().second, m_now);
            }
            callPlatform();
        }
    }

    Totals totals;

private:
    static LedgerWriterOptions optionsOf(Duration appendInterval)
    {
        LedgerWriterOptions options;
        options.appendInterval = appendInterval;
        return options;
    }

    void claim()
    {
        const ClaimRequest request{
            ClaimKey(freshId()), ClaimToken(freshId() + "." + std::to_string(totals.claims)), RequestId(freshId()), HostId("host-muc-nord-117"), 4s};
        m_writer.claim(request, m_now);
        m_running.emplace_back(m_now + requestLife, ClaimEnd{request.key, request.token, RecordKind::Finish, ClaimState::Completed});
        ++totals.claims;
    }

    void callPlatform()
    {
        if (m_answerAt && *m_answerAt <= m_now) {
            m_answerAt.reset();
            m_writer.appendDone(++m_version, m_now);
        }
        if (!m_answerAt) {
            if (const std::optional<LedgerCall> call = m_writer.nextCall(m_now)) {
                totals.bytes += formatSegment(call->segment).size();
                ++totals.appends;
                m_answerAt = m_now + platformAnswer;
            }
        }
        for (const AddressedAnswer &answer : m_writer.takeAnswers()) {
            totals.granted += answer.answer.kind == LedgerAnswerKind::Granted ? 1 : 0;
        }
    }

    Duration m_gap;
    LedgerWriter m_writer;
    Random m_random;
    TimePoint m_now = TimePoint{} + 1h;
    std::deque<std::pair<TimePoint, ClaimEnd>> m_running;
    std::optional<TimePoint> m_answerAt;
    ObjectVersion m_version = 0;
};

} // namespace

TEST_CASE("a ledger writer's platform writes, bytes, processor time and memory by claims a second", "[.measure]")
{
    struct Row
    {
        double claimsPerSecond;
        Duration appendInterval;
    };
    for (const Row &row : {Row{10, 0ms}, Row{65, 0ms}, Row{325, 0ms}, Row{10, 200ms}, Row{65, 200ms}, Row{325, 200ms}}) {
        const std::size_t memoryBefore = mallinfo2().uordblks;
        const double before = processorSeconds();
        WriterRun run(row.claimsPerSecond, row.appendInterval);
        run.run();
        const double processor = processorSeconds() - before;
        const double claims = static_cast<double>(run.totals.claims);
        REQUIRE(run.totals.granted > 0);
        std::printf("slope ledger claims_a_second=%.0f append_interval_ms=%lld appends_a_second=%.1f segment_bytes_a_claim=%.0f processor_us_a_claim=%.1f "
                    "memory_bytes_a_key=%.0f\n",
                    row.claimsPerSecond,
                    static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(row.appendInterval).count()),
                    static_cast<double>(run.totals.appends) / measuredSeconds,
                    static_cast<double>(run.totals.bytes) / claims,
                    processor * 1e6 / claims,
                    static_cast<double>(mallinfo2().uordblks - memoryBefore) / claims);
    }
    std::fflush(stdout);
}

TEST_CASE("bytes of a claim between its entry host and its writer", "[.measure]")
{
    const ClaimRequest request{ClaimKey(freshId()), ClaimToken(freshId() + ".1"), RequestId(freshId()), HostId("host-muc-nord-117"), 4s};
    const std::size_t claim = encodeRequests({0, {request}, {}}).size();
    const std::size_t end = encodeRequests({0, {}, {{request.key, request.token, RecordKind::Finish, ClaimState::Completed}}}).size();
    const std::vector<LedgerAnswer> granted{{LedgerAnswerKind::Granted, request.key, request.token, {}, {}, ClaimState::InProgress}};
    const std::vector<LedgerAnswer> ended{{LedgerAnswerKind::Ended, request.key, request.token, {}, {}, ClaimState::InProgress}};
    std::printf("slope ledger-link claim_bytes=%zu grant_bytes=%zu end_bytes=%zu end_answer_bytes=%zu\n",
                claim,
                encodeAnswers(granted).size(),
                end,
                encodeAnswers(ended).size());
    std::fflush(stdout);
}
