#include "relay/requestlife.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <array>
#include <map>
#include <set>

namespace Rhubarbwind
{

namespace
{

const EndpointId engineA("a");

constexpr unsigned onward = 21;
constexpr unsigned onwardDelivering = 22; // the same, and what came is handed to the caller
constexpr unsigned tokenKind = 11;
constexpr unsigned deliveredKind = 17;

/** One event of a random history; which one, and how late it is. */
struct LifeEvent
{
    unsigned kind = 0; ///< `onward`: whatever moves the request on in the state it is in
    unsigned attemptBack = 0; ///< 0: of the attempt in hand; else of an earlier one
    unsigned connectionBack = 0;
};

std::ostream &operator<<(std::ostream &stream, const LifeEvent &event)
{
    static const std::array<const char *, 23> names{
        "granted",    "refused",   "claimGranted", "claimRepeated", "claimUnavailable", "connectFailed", "firstByte", "notStarted", "endpointFailed",
        "rejected",   "began",     "token",        "done",          "broken",           "silent",        "missing",   "diverged",   "delivered",
        "callerGone", "preempted", "deadline",     "onward",        "onwardDelivering"};
    return stream << names.at(event.kind) << "(-" << event.attemptBack << ",-" << event.connectionBack << ")";
}

// What really happened, kept apart from the life's own facts: bytes that left, what endpoints confirmed, which
// offsets came. Deliberately slow and simple: everything is a set over all attempts.
struct WorldOracle
{
    std::set<std::uint32_t> sent;
    std::set<std::uint32_t> confirmedNotStarted;
    std::set<std::uint32_t> granted;
    std::map<std::uint32_t, TimePoint> expires;
    std::multiset<std::uint32_t> released;
    std::map<std::uint32_t, StreamOffset> offsets; ///< by attempt, without gap
    std::set<std::uint32_t> wholeEnds; ///< attempts whose end came
    std::map<ConnectionNumber, std::uint32_t> attemptOf; ///< by connection
    std::optional<ConnectionNumber> open;
    StreamOffset delivered = 0; ///< handed to the caller so far
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
        const unsigned kind = event.kind >= onward ? nextKind() : event.kind;
        apply(kind, event);
        if (event.kind == onwardDelivering && kind == tokenKind) {
            apply(deliveredKind, event);
        }
    }

    void apply(unsigned kind, const LifeEvent &event)
    {
        m_now += 10ms;
        const std::uint32_t attempt = m_attempt - std::min(event.attemptBack, m_attempt);
        const ConnectionNumber connection = m_connection - std::min(event.connectionBack, m_connection);
        const bool live = m_world.open == connection;
        const std::uint32_t attemptHere = m_world.attemptOf[connection];
        const AttemptId id{RequestId("r"), attempt};
        switch (kind) {
        case 0:
            if (attempt >= 1) {
                const Duration lifetime = event.connectionBack > 0 ? 5ms : 5s; // a short one expires before the next event
                if (m_world.granted.insert(attempt).second) {
                    m_world.expires[attempt] = m_now + lifetime;
                }
                take(m_life.granted(Grant{id, engineA, 0, 1, lifetime}, m_now));
            }
            break;
        case 1:
            take(m_life.refused(Refusal{id, RefusalReason::QueueFull, 1s}));
            break;
        case 2:
            m_world.claimGranted = m_world.claimGranted || m_world.claims > 0;
            take(m_life.claimAnswered({ClaimResult::Granted, {}, {}, {}}, m_now));
            break;
        case 3:
            take(m_life.claimAnswered({ClaimResult::Repeated, RequestId("q"), HostId("h"), ClaimState::InProgress}, m_now));
            break;
        case 4:
            take(m_life.claimAnswered({ClaimResult::Unavailable, {}, {}, {}}, m_now));
            break;
        case 5:
            take(m_life.connectFailed(connection));
            break;
        case 6:
            take(m_life.firstByteWritten(connection, m_now));
            if (live && m_life.state() == LifeState::Sent && m_world.sent.insert(attemptHere).second) {
                RC_ASSERT(m_now <= m_world.expires[attemptHere]);
            }
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
                m_world.delivered = std::max(m_world.delivered, m_held);
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
    unsigned nextKind() const
    {
        switch (m_life.state()) {
        case LifeState::AwaitPermit:
            return 0;
        case LifeState::AwaitClaim:
            return 2;
        case LifeState::Connecting:
            return 6;
        case LifeState::Sent:
        case LifeState::Resuming:
            return 10;
        default:
            return 11;
        }
    }

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
        RC_ASSERT((m_world.delivered == 0 || m_rules.reproducible));
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
        RC_ASSERT(action.verify == (m_world.delivered > 0));
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

struct LifeHistory
{
    LifeRules rules;
    unsigned budget = 0;
    std::vector<LifeEvent> events;
};

std::ostream &operator<<(std::ostream &stream, const LifeHistory &history)
{
    stream << (history.rules.idempotent ? "idempotent " : "") << (history.rules.reproducible ? "reproducible " : "")
           << (history.rules.resumable ? "resumable " : "") << (history.rules.claimed ? "claimed " : "") << (history.rules.claimFirst ? "claim-first " : "")
           << "budget " << history.budget << ":";
    for (const LifeEvent &event : history.events) {
        stream << " " << event;
    }
    return stream;
}

// Half of the events move the request on, so that histories get past their first steps; some are late or doubled.
rc::Gen<std::vector<LifeEvent>> lifeEvents()
{
    const rc::Gen<unsigned> kinds = rc::gen::weightedOneOf<unsigned>({{6, rc::gen::just(onward)},
                                                                      {6, rc::gen::just(onwardDelivering)},
                                                                      {4, rc::gen::element(8U, 12U, 13U, 15U)}, // fails, ends, breaks, is missing
                                                                      {6, rc::gen::inRange(0U, onward)}});
    const rc::Gen<unsigned> back = rc::gen::weightedElement<unsigned>({{8, 0}, {1, 1}, {1, 2}});
    const rc::Gen<LifeEvent> event = rc::gen::build<LifeEvent>(
        rc::gen::set(&LifeEvent::kind, kinds), rc::gen::set(&LifeEvent::attemptBack, back), rc::gen::set(&LifeEvent::connectionBack, back));
    return rc::gen::container<std::vector<LifeEvent>>(event);
}

rc::Gen<LifeHistory> lifeHistories()
{
    const rc::Gen<LifeRules> rules = rc::gen::map(rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>()), [](const std::vector<bool> &bits) {
        LifeRules made;
        made.idempotent = bits[0];
        made.reproducible = bits[0] && bits[1];
        made.resumable = bits[2];
        made.claimed = !bits[0] && bits[3];
        made.claimFirst = bits[4];
        made.outlivesCaller = made.claimed;
        return made;
    });
    return rc::gen::build<LifeHistory>(rc::gen::set(&LifeHistory::rules, rules),
                                       rc::gen::set(&LifeHistory::budget, rc::gen::inRange(0U, 4U)),
                                       rc::gen::set(&LifeHistory::events, lifeEvents()));
}

// Many at once: a run of the test sees some two thousand histories, enough for those that need five steps in one order.
rc::Gen<std::vector<LifeHistory>> manyHistories()
{
    constexpr std::size_t historiesEach = 30;
    return rc::gen::container<std::vector<LifeHistory>>(historiesEach, lifeHistories());
}

LifeRun runOf(const LifeHistory &history)
{
    LifeRun run(history.rules, history.budget);
    for (const LifeEvent &event : history.events) {
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
        for (const LifeHistory &history : *manyHistories()) {
            const LifeRun run = runOf(history);
            RC_ASSERT(run.world().answers == 1U);
            RC_ASSERT((run.answer().outcome != Outcome::NotRun || run.world().sent == run.world().confirmedNotStarted));
        }
    });
}

// The customer is charged twice for one licence. The first send has reached the endpoint when its connection
// breaks; a retry would send it again. A request that is not idempotent passes the point of no return once.
TEST_CASE("A request that is not idempotent is sent at most once", "[relay][at-most-once]")
{
    rc::prop("over any history", [] {
        for (const LifeHistory &history : *manyHistories()) {
            const LifeRun run = runOf(history);
            RC_ASSERT((history.rules.idempotent || run.world().sent.size() <= 1U));
        }
    });
}

// The caller sees an answer that lacks its end, or one half of two different answers. Connections break and
// are resumed, runs start over, late events of earlier connections arrive in between.
TEST_CASE("Completed is told only of an answer that one run gave to its end", "[relay][whole-answer]")
{
    rc::prop("over any history", [] {
        for (const LifeHistory &history : *manyHistories()) {
            const LifeRun run = runOf(history);
            const WorldOracle &world = run.world();
            if (run.answer().error != RelayError::None) {
                continue;
            }
            RC_ASSERT(world.wholeEnds.size() == 1U);
            const auto ended = world.offsets.find(*world.wholeEnds.begin());
            RC_ASSERT((ended == world.offsets.end() ? 0 : ended->second) >= world.delivered);
        }
    });
}

// The shard loses a slot for good, or counts one that is in use as free. Grants arrive doubled, or after the
// caller has gone; a release too few or too many would follow.
TEST_CASE("Each granted permit is released exactly once", "[relay][permit]")
{
    rc::prop("over any history", [] {
        for (const LifeHistory &history : *manyHistories()) {
            const LifeRun run = runOf(history);
            const std::set<std::uint32_t> &granted = run.world().granted;
            RC_ASSERT(run.world().released == std::multiset<std::uint32_t>(granted.begin(), granted.end()));
        }
    });
}

} // namespace Rhubarbwind
