#include "relay/requestlife.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

namespace Rhubarbwind
{

namespace
{

const EndpointId engineA("a");

/** One event of a random history; which one, and the numbers it is told with. */
struct LifeEvent
{
    unsigned kind = 0;
    unsigned attemptBack = 0; ///< 0: of the attempt in hand; else of an earlier one
    unsigned connectionBack = 0;
    unsigned offsetStep = 1;
};

std::ostream &operator<<(std::ostream &stream, const LifeEvent &event)
{
    static const char *const names[] = {
        "granted",    "refused",   "claimGranted", "claimRepeated", "claimUnavailable", "connectFailed", "firstByte", "notStarted", "endpointFailed",
        "rejected",   "began",     "token",        "done",          "broken",           "silent",        "missing",   "diverged",   "delivered",
        "callerGone", "preempted", "deadline"};
    return stream << names[event.kind] << "(-" << event.attemptBack << ",-" << event.connectionBack << ")";
}

// What really happened, kept apart from the life's own facts: bytes that left, what endpoints confirmed, which
// offsets came. Deliberately slow and simple: everything is a set over all attempts.
struct WorldOracle
{
    std::set<std::uint32_t> sent;
    std::set<std::uint32_t> confirmedNotStarted;
    std::set<std::uint32_t> granted;
    std::multiset<std::uint32_t> released;
    std::map<std::uint32_t, StreamOffset> offsets; ///< by attempt, without gap
    std::set<std::uint32_t> wholeEnds; ///< attempts whose end came
    std::map<ConnectionNumber, std::uint32_t> attemptOf; ///< by connection
    std::optional<ConnectionNumber> open;
    bool deliveredBeforeAttempt = false;
    unsigned answers = 0;
    unsigned claims = 0;
    bool claimGranted = false;
};

class LifeRun
{
public:
    LifeRun(const LifeRules &rules, double budget)
        : m_rules(rules)
        , m_budget(RetryBudgetOptions{0.1, budget, 10.0, 16})
        , m_life(rules, m_budget, RetryAccount{CustomerId("c"), ShardId("s")}, m_now + 30s)
    {
        take(m_life.start(m_now));
    }

    void step(const LifeEvent &event)
    {
        m_now += 10ms;
        const std::uint32_t attempt = m_attempt - std::min(event.attemptBack, m_attempt);
        const ConnectionNumber connection = m_connection - std::min(event.connectionBack, m_connection);
        const bool live = m_world.open == connection;
        const std::uint32_t attemptHere = m_world.attemptOf[connection];
        const AttemptId id{RequestId("r"), attempt};
        switch (event.kind) {
        case 0:
            if (attempt >= 1) {
                m_world.granted.insert(attempt);
                take(m_life.granted(Grant{id, engineA, 0, 1, 5s}, m_now));
            }
            break;
        case 1:
            take(m_life.refused(Refusal{id, RefusalReason::QueueFull, 1s}));
            break;
        case 2:
            m_world.claimGranted = m_world.claimGranted || m_world.claims > 0;
            take(m_life.claimAnswered({ClaimVerdict::Granted, {}, {}, {}}, m_now));
            break;
        case 3:
            take(m_life.claimAnswered({ClaimVerdict::Repeated, RequestId("q"), HostId("h"), ClaimState::InProgress}, m_now));
            break;
        case 4:
            take(m_life.claimAnswered({ClaimVerdict::Unavailable, {}, {}, {}}, m_now));
            break;
        case 5:
            take(m_life.connectFailed(connection));
            break;
        case 6:
            if (live && m_life.state() == LifeState::Connecting) {
                m_world.sent.insert(attemptHere);
            }
            take(m_life.firstByteWritten(connection, m_now));
            break;
        case 7:
            if (live && m_life.state() == LifeState::Sent) {
                m_world.confirmedNotStarted.insert(attemptHere);
            }
            take(m_life.refusedNotStarted(connection, 1s));
            break;
        case 8:
            take(m_life.endpointFailed(connection));
            break;
        case 9:
            take(m_life.endpointRejected(connection));
            break;
        case 10:
            take(m_life.answerBegan(connection));
            break;
        case 11: {
            StreamOffset &offset = m_world.offsets[attemptHere];
            if (live && m_life.state() == LifeState::Streaming) {
                ++offset;
                m_held = std::max(m_held, offset);
            }
            take(m_life.token(connection, offset, m_now));
            break;
        }
        case 12:
            if (live && m_life.state() == LifeState::Streaming) {
                m_world.wholeEnds.insert(attemptHere);
            }
            take(m_life.done(connection, m_held, 0));
            break;
        case 13:
            take(m_life.broken(connection));
            break;
        case 14:
            take(m_life.silent(connection));
            break;
        case 15:
            take(m_life.streamMissing(connection));
            break;
        case 16:
            take(m_life.diverged(connection));
            break;
        case 17:
            if (m_held > 0) {
                m_world.deliveredBeforeAttempt = true;
                m_life.delivered();
            }
            break;
        case 18:
            take(m_life.callerGone());
            break;
        case 19:
            take(m_life.preempted(attempt));
            break;
        default:
            take(m_life.deadline());
        }
    }

    /** Whatever is still open ends: the endpoint's connection breaks for good, then the caller leaves. */
    void settle()
    {
        take(m_life.deadline());
        for (int round = 0; round < 100 && !m_life.ended(); ++round) {
            take(m_life.connectFailed(m_connection));
            take(m_life.broken(m_connection));
        }
        take(m_life.callerGone());
    }

    const WorldOracle &world() const
    {
        return m_world;
    }
    const Answer &answer() const
    {
        return m_answer;
    }

private:
    void take(const LifeActions &actions)
    {
        for (const LifeAction &action : actions) {
            std::visit([this](const auto &each) { note(each); }, action);
        }
    }
    void note(const AskPermit &action)
    {
        m_attempt = action.attempt;
    }
    void note(const MakeClaim & /*action*/)
    {
        ++m_world.claims;
    }
    void note(const Dispatch &action)
    {
        RC_ASSERT((!m_rules.claimed || m_world.claimGranted));
        RC_ASSERT(m_world.granted.count(action.attempt) == 1U);
        RC_ASSERT(!m_world.open);
        RC_ASSERT((!m_world.deliveredBeforeAttempt || m_rules.reproducible));
        RC_ASSERT((m_rules.idempotent || m_world.sent.empty()));
        openConnection(action.connection, action.attempt);
    }
    void note(const ResumeStream &action)
    {
        RC_ASSERT(m_world.sent.count(action.attempt) == 1U);
        RC_ASSERT(action.after == m_world.offsets[action.attempt]);
        RC_ASSERT(!m_world.open);
        openConnection(action.connection, action.attempt);
    }
    void note(const DropConnection &action)
    {
        RC_ASSERT((m_world.open && *m_world.open == action.connection));
        m_world.open.reset();
    }
    void note(const ReleasePermit &action)
    {
        RC_ASSERT(m_world.granted.count(action.attempt) == 1U);
        m_world.released.insert(action.attempt);
    }
    void note(const RestartStream &action)
    {
        RC_ASSERT(action.verify == m_world.deliveredBeforeAttempt);
        m_held = action.verify ? m_held : 0;
    }
    void note(const Answer &action)
    {
        ++m_world.answers;
        m_answer = action;
        m_world.open.reset();
    }
    void note(const CancelTicket & /*action*/)
    {
    }
    void note(const FinishClaim & /*action*/)
    {
    }
    void note(const CancelAtEndpoint &action)
    {
        RC_ASSERT(m_world.sent.count(action.attempt) == 1U);
    }

    void openConnection(ConnectionNumber connection, std::uint32_t attempt)
    {
        RC_ASSERT(connection > m_connection);
        m_connection = connection;
        m_world.open = connection;
        m_world.attemptOf[connection] = attempt;
    }

    LifeRules m_rules;
    RetryBudget m_budget;
    TimePoint m_now = TimePoint(1h);
    RequestLife m_life;
    WorldOracle m_world;
    Answer m_answer;
    std::uint32_t m_attempt = 0;
    ConnectionNumber m_connection = 0;
    StreamOffset m_held = 0;
};

// Mostly events that move a request on, so that histories get past their first steps; some late or doubled.
rc::Gen<LifeEvent> lifeEvents()
{
    const rc::Gen<unsigned> kinds =
        rc::gen::weightedElement<unsigned>({{9, 0},  {1, 1},  {6, 2},  {1, 3},  {2, 4},  {2, 5},  {9, 6},  {2, 7},  {1, 8},  {1, 9}, {9, 10},
                                            {9, 11}, {4, 12}, {3, 13}, {2, 14}, {2, 15}, {1, 16}, {2, 17}, {1, 18}, {2, 19}, {1, 20}});
    const rc::Gen<unsigned> back = rc::gen::weightedElement<unsigned>({{8, 0}, {1, 1}, {1, 2}});
    return rc::gen::build<LifeEvent>(
        rc::gen::set(&LifeEvent::kind, kinds), rc::gen::set(&LifeEvent::attemptBack, back), rc::gen::set(&LifeEvent::connectionBack, back));
}

LifeRules anyRules()
{
    LifeRules rules;
    rules.idempotent = *rc::gen::arbitrary<bool>();
    rules.reproducible = rules.idempotent && *rc::gen::arbitrary<bool>();
    rules.resumable = *rc::gen::arbitrary<bool>();
    rules.claimed = !rules.idempotent && *rc::gen::arbitrary<bool>();
    rules.claimFirst = *rc::gen::arbitrary<bool>();
    rules.outlivesCaller = rules.claimed;
    return rules;
}

LifeRun anyRun(const LifeRules &rules)
{
    const std::vector<LifeEvent> events = *rc::gen::container<std::vector<LifeEvent>>(lifeEvents());
    LifeRun run(rules, *rc::gen::inRange(0, 4));
    for (const LifeEvent &event : events) {
        run.step(event);
    }
    run.settle();
    return run;
}

} // namespace

// The caller sees "not run" for a quote that a label has received. An endpoint takes the request and its
// connection breaks before any answer; or an earlier attempt was sent and only the last one was refused. Only
// bytes that left and what endpoints confirmed decide, over all attempts, whatever came late or twice.
TEST_CASE("Not-run is told only of requests that did not run", "[relay][truthful-not-run]")
{
    rc::prop("against what left this host", [] {
        const LifeRun run = anyRun(anyRules());
        RC_ASSERT(run.world().answers == 1U);
        if (run.answer().outcome == Outcome::NotRun) {
            RC_ASSERT(run.world().sent == run.world().confirmedNotStarted);
        }
    });
}

// The customer is charged twice for one licence. The first send has reached the endpoint when its connection
// breaks; a retry would send it again. A request that is not idempotent passes the point of no return once.
TEST_CASE("A request that is not idempotent is sent at most once", "[relay][at-most-once]")
{
    rc::prop("over any history", [] {
        LifeRules rules = anyRules();
        rules.idempotent = false;
        rules.reproducible = false;
        const LifeRun run = anyRun(rules);
        RC_ASSERT(run.world().sent.size() <= 1U);
    });
}

// The caller sees an answer that lacks its end, or one half of two different answers. Connections break and
// are resumed, runs start over, late events of earlier connections arrive in between.
TEST_CASE("Completed is told only of an answer that one run gave to its end", "[relay][whole-answer]")
{
    rc::prop("over any history", [] {
        const LifeRun run = anyRun(anyRules());
        if (run.answer().outcome == Outcome::Completed && run.answer().error == RelayError::None) {
            RC_ASSERT(!run.world().wholeEnds.empty());
            const std::uint32_t last = *run.world().wholeEnds.rbegin();
            for (const auto &[attempt, offset] : run.world().offsets) {
                RC_ASSERT((!run.world().deliveredBeforeAttempt || offset <= run.world().offsets.at(last)));
            }
        }
    });
}

// The shard loses a slot for good, or counts one that is in use as free. Grants arrive doubled, or after the
// caller has gone; a release too few or too many would follow.
TEST_CASE("Each granted permit is released exactly once", "[relay][permit]")
{
    rc::prop("over any history", [] {
        const LifeRun run = anyRun(anyRules());
        const std::set<std::uint32_t> &granted = run.world().granted;
        RC_ASSERT(run.world().released == std::multiset<std::uint32_t>(granted.begin(), granted.end()));
    });
}

} // namespace Rhubarbwind
