#include "relay/requeststatemachine.h"

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
constexpr unsigned onwardDelivering = 22; // the same, and the received tokens are delivered to the caller
constexpr unsigned tokenKind = 11;
constexpr unsigned deliveredKind = 17;

/** One event of a random history: its kind and how late it is. */
struct MachineEvent
{
    unsigned kind = 0; ///< `onward`: the event that advances the request in its current state
    unsigned attemptBack = 0; ///< 0: the current attempt; otherwise that many before it
    unsigned connectionBack = 0;
};

std::ostream &operator<<(std::ostream &stream, const MachineEvent &event)
{
    static const std::array<const char *, 23> names{
        "granted",    "refused",   "claimGranted", "claimRepeated", "claimUnavailable", "connectFailed", "firstByte", "notStarted", "endpointFailed",
        "rejected",   "began",     "token",        "done",          "broken",           "silent",        "missing",   "diverged",   "delivered",
        "callerGone", "preempted", "deadline",     "onward",        "onwardDelivering"};
    return stream << names.at(event.kind) << "(-" << event.attemptBack << ",-" << event.connectionBack << ")";
}

// The actual facts, recorded independently of the state machine: bytes sent, confirmations of endpoints, offsets received. Slow and simple
// on purpose: everything is a set over all attempts.
struct FactsOracle
{
    std::set<std::uint32_t> sent;
    std::set<std::uint32_t> confirmedNotStarted;
    std::set<std::uint32_t> granted;
    std::map<std::uint32_t, TimePoint> expires;
    std::multiset<std::uint32_t> released;
    std::map<std::uint32_t, StreamOffset> offsets; ///< by attempt, without gaps
    std::set<std::uint32_t> wholeEnds; ///< attempts whose end was received
    std::map<ConnectionNumber, std::uint32_t> attemptOf; ///< by connection
    std::optional<ConnectionNumber> open;
    StreamOffset delivered = 0; ///< passed to the caller so far
    unsigned answers = 0;
    unsigned claims = 0;
    bool claimGranted = false;
};

class MachineRun
{
public:
    MachineRun(const RequestRules &rules, double budget)
        : m_rules(rules)
        , m_budget(RetryBudgetOptions{0.1, budget, 10.0, 16})
        , m_stateMachine(rules, m_budget, RetryAccount{CustomerId("c"), ShardId("s")}, m_now + 30s)
    {
        take(m_stateMachine.start(m_now));
    }

    void step(const MachineEvent &event)
    {
        const unsigned kind = event.kind >= onward ? nextKind() : event.kind;
        apply(kind, event);
        if (event.kind == onwardDelivering && kind == tokenKind) {
            apply(deliveredKind, event);
        }
    }

    void apply(unsigned kind, const MachineEvent &event)
    {
        m_now += 10ms;
        const std::uint32_t attempt = m_attempt - std::min(event.attemptBack, m_attempt);
        const ConnectionNumber connection = m_connection - std::min(event.connectionBack, m_connection);
        const bool live = m_oracle.open == connection;
        const std::uint32_t attemptHere = m_oracle.attemptOf[connection];
        const AttemptId id{RequestId("r"), attempt};
        switch (kind) {
        case 0:
            if (attempt >= 1) {
                const Duration lifetime = event.connectionBack > 0 ? 5ms : 5s; // a short one expires before the next event
                if (m_oracle.granted.insert(attempt).second) {
                    m_oracle.expires[attempt] = m_now + lifetime;
                }
                take(m_stateMachine.granted(Grant{id, engineA, 0, 1, lifetime}, m_now));
            }
            break;
        case 1:
            take(m_stateMachine.refused(Refusal{id, RefusalReason::QueueFull, 1s}));
            break;
        case 2:
            m_oracle.claimGranted = m_oracle.claimGranted || m_oracle.claims > 0;
            take(m_stateMachine.claimAnswered({ClaimResult::Granted, {}, {}, {}}, m_now));
            break;
        case 3:
            take(m_stateMachine.claimAnswered({ClaimResult::Repeated, RequestId("q"), HostId("h"), ClaimState::InProgress}, m_now));
            break;
        case 4:
            take(m_stateMachine.claimAnswered({ClaimResult::Unavailable, {}, {}, {}}, m_now));
            break;
        case 5:
            take(m_stateMachine.connectFailed(connection));
            break;
        case 6:
            take(m_stateMachine.firstByteWritten(connection, m_now));
            if (live && m_stateMachine.state() == RequestState::Sent && m_oracle.sent.insert(attemptHere).second) {
                RC_ASSERT(m_now <= m_oracle.expires[attemptHere]);
            }
            break;
        case 7:
            if (live && m_stateMachine.state() == RequestState::Sent) {
                m_oracle.confirmedNotStarted.insert(attemptHere);
            }
            take(m_stateMachine.refusedNotStarted(connection, 1s));
            break;
        case 8:
            take(m_stateMachine.endpointFailed(connection));
            break;
        case 9:
            take(m_stateMachine.endpointRejected(connection));
            break;
        case 10:
            take(m_stateMachine.answerBegan(connection));
            break;
        case 11: {
            StreamOffset &offset = m_oracle.offsets[attemptHere];
            if (live && m_stateMachine.state() == RequestState::Streaming) {
                ++offset;
                m_held = std::max(m_held, offset);
            }
            take(m_stateMachine.token(connection, offset, m_now));
            break;
        }
        case 12:
            if (live && m_stateMachine.state() == RequestState::Streaming) {
                m_oracle.wholeEnds.insert(attemptHere);
            }
            take(m_stateMachine.done(connection, m_held, 0));
            break;
        case 13:
            take(m_stateMachine.broken(connection));
            break;
        case 14:
            take(m_stateMachine.silent(connection));
            break;
        case 15:
            take(m_stateMachine.streamMissing(connection));
            break;
        case 16:
            take(m_stateMachine.diverged(connection));
            break;
        case 17:
            if (m_held > 0) {
                m_oracle.delivered = std::max(m_oracle.delivered, m_held);
                m_stateMachine.delivered();
            }
            break;
        case 18:
            take(m_stateMachine.callerDisconnected());
            break;
        case 19:
            take(m_stateMachine.preempted(attempt));
            break;
        default:
            take(m_stateMachine.deadline());
        }
    }

    /** Ends whatever is still open: the connection to the endpoint breaks permanently, then the caller disconnects. */
    void settle()
    {
        take(m_stateMachine.deadline());
        for (int round = 0; round < 100 && !m_stateMachine.ended(); ++round) {
            take(m_stateMachine.connectFailed(m_connection));
            take(m_stateMachine.broken(m_connection));
        }
        take(m_stateMachine.callerDisconnected());
    }

    const FactsOracle &oracle() const
    {
        return m_oracle;
    }
    const Answer &answer() const
    {
        return m_answer;
    }

private:
    unsigned nextKind() const
    {
        switch (m_stateMachine.state()) {
        case RequestState::AwaitPermit:
            return 0;
        case RequestState::AwaitClaim:
            return 2;
        case RequestState::Connecting:
            return 6;
        case RequestState::Sent:
        case RequestState::Resuming:
            return 10;
        default:
            return 11;
        }
    }

    void take(const RequestActions &actions)
    {
        for (const RequestAction &action : actions) {
            std::visit([this](const auto &each) { record(each); }, action);
        }
    }
    void record(const RequestPermit &action)
    {
        m_attempt = action.attempt;
    }
    void record(const MakeClaim & /*action*/)
    {
        ++m_oracle.claims;
    }
    void record(const Dispatch &action)
    {
        RC_ASSERT((!m_rules.claimed || m_oracle.claimGranted));
        RC_ASSERT(m_oracle.granted.count(action.attempt) == 1U);
        RC_ASSERT(!m_oracle.open);
        RC_ASSERT((m_oracle.delivered == 0 || m_rules.reproducible));
        RC_ASSERT((m_rules.idempotent || m_oracle.sent.empty()));
        openConnection(action.connection, action.attempt);
    }
    void record(const ResumeStream &action)
    {
        RC_ASSERT(m_oracle.sent.count(action.attempt) == 1U);
        RC_ASSERT(action.after == m_oracle.offsets[action.attempt]);
        RC_ASSERT(!m_oracle.open);
        openConnection(action.connection, action.attempt);
    }
    void record(const DropConnection &action)
    {
        RC_ASSERT((m_oracle.open && *m_oracle.open == action.connection));
        m_oracle.open.reset();
    }
    void record(const ReleasePermit &action)
    {
        RC_ASSERT(m_oracle.granted.count(action.attempt) == 1U);
        m_oracle.released.insert(action.attempt);
    }
    void record(const RestartStream &action)
    {
        RC_ASSERT(action.verify == (m_oracle.delivered > 0));
        m_held = action.verify ? m_held : 0;
    }
    void record(const Answer &action)
    {
        ++m_oracle.answers;
        m_answer = action;
        m_oracle.open.reset();
    }
    void record(const CancelTicket & /*action*/)
    {
    }
    void record(const FinishClaim & /*action*/)
    {
    }
    void record(const CancelAtEndpoint &action)
    {
        RC_ASSERT(m_oracle.sent.count(action.attempt) == 1U);
    }

    void openConnection(ConnectionNumber connection, std::uint32_t attempt)
    {
        RC_ASSERT(connection > m_connection);
        m_connection = connection;
        m_oracle.open = connection;
        m_oracle.attemptOf[connection] = attempt;
    }

    RequestRules m_rules;
    RetryBudget m_budget;
    TimePoint m_now = TimePoint(1h);
    RequestStateMachine m_stateMachine;
    FactsOracle m_oracle;
    Answer m_answer;
    std::uint32_t m_attempt = 0;
    ConnectionNumber m_connection = 0;
    StreamOffset m_held = 0;
};

struct MachineHistory
{
    RequestRules rules;
    unsigned budget = 0;
    std::vector<MachineEvent> events;
};

std::ostream &operator<<(std::ostream &stream, const MachineHistory &history)
{
    stream << (history.rules.idempotent ? "idempotent " : "") << (history.rules.reproducible ? "reproducible " : "")
           << (history.rules.resumable ? "resumable " : "") << (history.rules.claimed ? "claimed " : "") << (history.rules.claimFirst ? "claim-first " : "")
           << "budget " << history.budget << ":";
    for (const MachineEvent &event : history.events) {
        stream << " " << event;
    }
    return stream;
}

// Half of the events advance the request, so that histories get past their first steps. Some events are late or duplicates.
rc::Gen<std::vector<MachineEvent>> machineEvents()
{
    const rc::Gen<unsigned> kinds = rc::gen::weightedOneOf<unsigned>({{6, rc::gen::just(onward)},
                                                                      {6, rc::gen::just(onwardDelivering)},
                                                                      {4, rc::gen::element(8U, 12U, 13U, 15U)}, // fails, ends, breaks, is missing
                                                                      {6, rc::gen::inRange(0U, onward)}});
    const rc::Gen<unsigned> back = rc::gen::weightedElement<unsigned>({{8, 0}, {1, 1}, {1, 2}});
    const rc::Gen<MachineEvent> event = rc::gen::build<MachineEvent>(
        rc::gen::set(&MachineEvent::kind, kinds), rc::gen::set(&MachineEvent::attemptBack, back), rc::gen::set(&MachineEvent::connectionBack, back));
    return rc::gen::container<std::vector<MachineEvent>>(event);
}

rc::Gen<MachineHistory> machineHistories()
{
    const rc::Gen<RequestRules> rules = rc::gen::map(rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>()), [](const std::vector<bool> &bits) {
        RequestRules made;
        made.idempotent = bits[0];
        made.reproducible = bits[0] && bits[1];
        made.resumable = bits[2];
        made.claimed = !bits[0] && bits[3];
        made.claimFirst = bits[4];
        made.outlivesCaller = made.claimed;
        return made;
    });
    return rc::gen::build<MachineHistory>(rc::gen::set(&MachineHistory::rules, rules),
                                          rc::gen::set(&MachineHistory::budget, rc::gen::inRange(0U, 4U)),
                                          rc::gen::set(&MachineHistory::events, machineEvents()));
}

// Many per case, so that a run of the test covers about two thousand histories, enough for cases that need five steps in one order.
rc::Gen<std::vector<MachineHistory>> manyHistories()
{
    constexpr std::size_t historiesEach = 30;
    return rc::gen::container<std::vector<MachineHistory>>(historiesEach, machineHistories());
}

MachineRun runOf(const MachineHistory &history)
{
    MachineRun run(history.rules, history.budget);
    for (const MachineEvent &event : history.events) {
        run.step(event);
    }
    run.settle();
    return run;
}

} // namespace

// Guards against a not-run answer for a request that an endpoint received: the connection breaks before any answer, or an earlier attempt
// was sent and only the last one was refused. Only the bytes sent and the confirmations of endpoints count, over all attempts, including
// late and duplicate events.
TEST_CASE("Not-run is told only of requests that did not run", "[relay][truthful-not-run]")
{
    rc::prop("against what left this host", [] {
        for (const MachineHistory &history : *manyHistories()) {
            const MachineRun run = runOf(history);
            RC_ASSERT(run.oracle().answers == 1U);
            RC_ASSERT((run.answer().outcome != Outcome::NotRun || run.oracle().sent == run.oracle().confirmedNotStarted));
        }
    });
}

// Guards against running a request twice, for instance charging a customer for two licences: the first send has reached the endpoint when
// its connection breaks, and a retry would send it again. A request that is not idempotent passes the point of no return at most once.
TEST_CASE("A request that is not idempotent is sent at most once", "[relay][at-most-once]")
{
    rc::prop("over any history", [] {
        for (const MachineHistory &history : *manyHistories()) {
            const MachineRun run = runOf(history);
            RC_ASSERT((history.rules.idempotent || run.oracle().sent.size() <= 1U));
        }
    });
}

// Guards against an answer without its end, or one composed of two different answers: connections break and are resumed, runs start over,
// and late events of earlier connections arrive in between.
TEST_CASE("Completed is told only of an answer that one run gave to its end", "[relay][whole-answer]")
{
    rc::prop("over any history", [] {
        for (const MachineHistory &history : *manyHistories()) {
            const MachineRun run = runOf(history);
            const FactsOracle &oracle = run.oracle();
            if (run.answer().error != RelayError::None) {
                continue;
            }
            RC_ASSERT(oracle.wholeEnds.size() == 1U);
            const auto ended = oracle.offsets.find(*oracle.wholeEnds.begin());
            RC_ASSERT((ended == oracle.offsets.end() ? 0 : ended->second) >= oracle.delivered);
        }
    });
}

// Guards against a slot that is never freed, or one that is in use and counted as free: grants arrive twice or after the caller
// disconnected, and one release too few or too many would follow.
TEST_CASE("Each granted permit is released exactly once", "[relay][permit]")
{
    rc::prop("over any history", [] {
        for (const MachineHistory &history : *manyHistories()) {
            const MachineRun run = runOf(history);
            const std::set<std::uint32_t> &granted = run.oracle().granted;
            RC_ASSERT(run.oracle().released == std::multiset<std::uint32_t>(granted.begin(), granted.end()));
        }
    });
}

} // namespace Rhubarbwind
