#include "platform/resolvedwrite.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Rhubarbwind;

namespace
{

/** One object; each call may be lost before or after its effect, or delayed until later. */
struct LossyObject
{
    std::optional<StoredObject> object;
    ObjectVersion revision = 0;
    std::vector<std::string> written; ///< every value that took effect

    PlatformResult<ObjectVersion> put(const WriteRequest &request)
    {
        const ObjectVersion current = object ? object->version : 0;
        const bool holds = request.condition.kind == WriteCondition::Kind::Absent ? !object : (object && current == request.condition.version);
        if (!holds) {
            return failure(PlatformError{PlatformErrorKind::Conflict, current});
        }
        object = StoredObject{request.key, ++revision, request.value};
        written.push_back(request.value);
        return revision;
    }
    /** A put whose answer nobody receives. */
    void arrive(const WriteRequest &request)
    {
        static_cast<void>(put(request));
    }
    PlatformResult<StoredObject> get() const
    {
        if (!object) {
            return failure(PlatformError{PlatformErrorKind::NotFound, 0});
        }
        return *object;
    }
};

OperationId wholeValue(std::string_view value)
{
    return OperationId(std::string(value));
}

ResolvedWrite writer(const std::string &operation, WriteCondition condition)
{
    return {{"k", operation, condition, OperationId(operation)}, wholeValue, {}, 7};
}

template <class T>
PlatformResult<T> error(PlatformErrorKind kind)
{
    return failure(PlatformError{kind, 0});
}

} // namespace

// Guards against repeating a change that took effect, or abandoning one that did. The write takes effect, its answer is lost, and the object read
// back holds the operation.
TEST_CASE("a write whose answer was lost after its effect is found applied")
{
    LossyObject store;
    ResolvedWrite write = writer("mine", WriteCondition::absent());
    const TimePoint now(1h);
    CHECK(write.start(now).kind == PlatformStep::Kind::Put);
    REQUIRE(store.put(write.writeRequest()).has_value());
    CHECK(write.onWritten(error<ObjectVersion>(PlatformErrorKind::Unknown), now).kind == PlatformStep::Kind::Wait);
    CHECK(write.onWaited(now).kind == PlatformStep::Kind::Get);
    CHECK(write.onRead(store.get(), now).kind == PlatformStep::Kind::Done);
    CHECK(write.result().outcome == WriteOutcome::Applied);
    CHECK(write.result().version == 1);
}

TEST_CASE("each answer to the first write leads to its next step")
{
    struct Row
    {
        PlatformErrorKind kind;
        PlatformStep::Kind next;
    };
    const Row row = GENERATE(values<Row>({
        {PlatformErrorKind::Conflict, PlatformStep::Kind::Get},
        {PlatformErrorKind::Refused, PlatformStep::Kind::Done},
        {PlatformErrorKind::Unreachable, PlatformStep::Kind::Wait},
        {PlatformErrorKind::OverBudget, PlatformStep::Kind::Wait},
        {PlatformErrorKind::Unknown, PlatformStep::Kind::Wait},
    }));
    ResolvedWrite write = writer("mine", WriteCondition::absent());
    write.start(TimePoint(1h));
    CHECK(write.onWritten(error<ObjectVersion>(row.kind), TimePoint(1h)).kind == row.next);
}

TEST_CASE("on timeout the result states whether anything was sent")
{
    const TimePoint late(2h);
    ResolvedWrite unsent = writer("mine", WriteCondition::absent());
    unsent.start(TimePoint(1h));
    unsent.onWritten(error<ObjectVersion>(PlatformErrorKind::Unreachable), late);
    CHECK(unsent.result().outcome == WriteOutcome::NotSent);

    ResolvedWrite sent = writer("mine", WriteCondition::absent());
    sent.start(TimePoint(1h));
    sent.onWritten(error<ObjectVersion>(PlatformErrorKind::Unknown), late);
    CHECK(sent.result().outcome == WriteOutcome::Unresolved);
}

// Two writers replace the same version. Every put may be lost before or after its effect, and a lost one may still arrive later. At most one of the
// two values takes effect, and a writer's result Applied or Lost is correct.
TEST_CASE("two writers with lost and late puts never both win")
{
    rc::prop("one winner, truthful results", [] {
        LossyObject store;
        store.object = StoredObject{"k", ++store.revision, "base"};
        std::vector<ResolvedWrite> writers{writer("a", WriteCondition::atVersion(1)), writer("b", WriteCondition::atVersion(1))};
        std::vector<PlatformStep> steps{writers[0].start(TimePoint(1h)), writers[1].start(TimePoint(1h))};
        std::vector<WriteRequest> late;
        TimePoint now(1h);
        const auto pending = [&] { return std::ranges::any_of(steps, [](const PlatformStep &step) { return step.kind != PlatformStep::Kind::Done; }); };
        for (int i = 0; i < 400 && pending(); ++i) {
            now += 10ms;
            const std::size_t who = *rc::gen::inRange<std::size_t>(0, 2);
            const int fate = *rc::gen::inRange(0, 4);
            ResolvedWrite &write = writers[who];
            if (!late.empty() && *rc::gen::inRange(0, 3) == 0) {
                store.arrive(late.back());
                late.pop_back();
            }
            if (steps[who].kind == PlatformStep::Kind::Wait) {
                steps[who] = write.onWaited(now);
            } else if (steps[who].kind == PlatformStep::Kind::Get) {
                steps[who] = write.onRead(fate == 0 ? error<StoredObject>(PlatformErrorKind::Unknown) : store.get(), now);
            } else if (steps[who].kind == PlatformStep::Kind::Put) {
                if (fate == 0) {
                    late.push_back(write.writeRequest());
                }
                const PlatformResult<ObjectVersion> answer = fate == 0 ? error<ObjectVersion>(PlatformErrorKind::Unknown) : store.put(write.writeRequest());
                steps[who] = write.onWritten(fate == 1 ? error<ObjectVersion>(PlatformErrorKind::Unknown) : answer, now);
            }
        }
        for (const WriteRequest &request : late) {
            store.arrive(request);
        }
        RC_ASSERT(store.written.size() <= 1U);
        for (std::size_t who = 0; who < writers.size(); ++who) {
            const bool landed = !store.written.empty() && store.written.front() == writers[who].writeRequest().value;
            const WriteOutcome outcome = writers[who].result().outcome;
            if (steps[who].kind == PlatformStep::Kind::Done && outcome != WriteOutcome::Unresolved) {
                RC_ASSERT((outcome == WriteOutcome::Applied) == landed);
            }
        }
    });
}
