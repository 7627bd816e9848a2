#include "preset/presetfakes_test.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Rhubarbwind;
using namespace Rhubarbwind::Testing;

namespace
{

constexpr TimePoint start(1h);

PresetSwitch switchOf(const std::string &preset, const std::string &by, PresetVersion held = 0, std::optional<PresetVersion> expected = {})
{
    return {{PresetName(preset), OperatorName(by), OperationId("op-" + by + "-" + preset), held, 0, expected}, {}, 11};
}

/** Carries out one step against the store, without faults. */
template <class Decision>
PlatformStep carryOut(Decision &decision, const PlatformStep &step, FakeStore &store, TimePoint now = start)
{
    switch (step.kind) {
    case PlatformStep::Kind::Put:
        return decision.onWritten(store.put(decision.writeRequest()), now);
    case PlatformStep::Kind::Get:
        return decision.onRead(store.get(decision.readKey()), now);
    case PlatformStep::Kind::Wait:
        return decision.onWaited(now);
    case PlatformStep::Kind::Done:
        break;
    }
    return step;
}

template <class Decision>
ChangeResult finish(Decision &decision, PlatformStep step, FakeStore &store)
{
    while (step.kind != PlatformStep::Kind::Done) {
        step = carryOut(decision, step, store);
    }
    return decision.result();
}

template <class Decision>
ChangeResult runWhole(Decision decision, FakeStore &store)
{
    return finish(decision, decision.start(start), store);
}

/** Runs the switch until it is about to write the object in force. */
PlatformStep untilWriteInForce(PresetSwitch &decision, FakeStore &store)
{
    PlatformStep step = decision.start(start);
    while (step.kind != PlatformStep::Kind::Put || decision.writeRequest().key != presetInForceKey) {
        step = carryOut(decision, step, store);
    }
    return step;
}

} // namespace

TEST_CASE("a switch puts the library's preset in force and records the old one in the history")
{
    FakeStore store = storeWith({"ordinary", "peak"});
    CHECK(runWhole(switchOf("ordinary", "ada"), store).accepted->version == 1);
    const ChangeResult second = runWhole(switchOf("peak", "bo", 1), store);
    CHECK(second.outcome == ChangeOutcome::Accepted);
    CHECK(store.inForce() == *second.accepted);
    CHECK(second.accepted->version == 2);
    CHECK(parseHistoryEntry(store.get(presetHistoryKey(1)).value().value).value().by == OperatorName("ada"));
}

TEST_CASE("a switch to a missing or faulty preset reports the reason and changes nothing")
{
    struct Row
    {
        const char *name;
        ChangeOutcome outcome;
    };
    const Row row = GENERATE(values<Row>({{"missing", ChangeOutcome::NoSuchPreset}, {"broken", ChangeOutcome::Faulty}}));
    FakeStore store = storeWith({"ordinary"});
    store.overwrite("preset/library/broken", R"({"operation":"x","by":"y","preset":{"name":"broken","classes":[]}})");
    const ChangeResult result = runWhole(switchOf(row.name, "ada"), store);
    CHECK(result.outcome == row.outcome);
    CHECK(result.faults.empty() == (row.outcome == ChangeOutcome::NoSuchPreset));
    CHECK(store.get(presetInForceKey).has_error());
}

// Two operators switch at the same moment: both switches read version 1, then both write version 2. Without the write condition both would be
// reported as in force; with it exactly one is, and the other operator learns the winner.
TEST_CASE("of two concurrent switches exactly one is accepted and the other reports the winner", "[config-monotonic]")
{
    FakeStore store = storeWith({"ordinary", "peak", "maintenance"});
    runWhole(switchOf("ordinary", "ada"), store);
    PresetSwitch first = switchOf("peak", "bo", 1);
    PresetSwitch second = switchOf("maintenance", "cy", 1);
    const PlatformStep firstStep = untilWriteInForce(first, store);
    const PlatformStep secondStep = untilWriteInForce(second, store);
    CHECK(finish(second, secondStep, store).outcome == ChangeOutcome::Accepted);
    const ChangeResult lost = finish(first, firstStep, store);
    CHECK(lost.outcome == ChangeOutcome::Lost);
    CHECK(lost.winner == OperatorName("cy"));
    CHECK(lost.winnerPreset == PresetName("maintenance"));
    CHECK(lost.winnerVersion == 2);
}

TEST_CASE("a switch that expects another version is lost to the operator who changed it")
{
    FakeStore store = storeWith({"ordinary", "peak"});
    runWhole(switchOf("ordinary", "ada"), store);
    const ChangeResult result = runWhole(switchOf("peak", "bo", 1, 7), store);
    CHECK(result.outcome == ChangeOutcome::Lost);
    CHECK(result.winner == OperatorName("ada"));
}

// A write takes effect and its answer is lost; another operator switches before the object is read back. Without the history entry the first
// change would be reported as lost although it was in force.
TEST_CASE("a change that was replaced before its lost answer was resolved is still reported as accepted")
{
    FakeStore store = storeWith({"ordinary", "peak"});
    PresetSwitch ours = switchOf("ordinary", "ada");
    untilWriteInForce(ours, store);
    REQUIRE(store.put(ours.writeRequest()).has_value());
    const PlatformStep step = ours.onWritten(platformError<ObjectVersion>(PlatformErrorKind::Unknown), start);
    CHECK(runWhole(switchOf("peak", "bo"), store).accepted->version == 2);
    const ChangeResult result = finish(ours, step, store);
    CHECK(result.outcome == ChangeOutcome::Accepted);
    CHECK(result.accepted->version == 1);
}

TEST_CASE("a switch after the platform lost newer versions takes a version above those that hosts hold")
{
    FakeStore store = storeWith({"ordinary", "peak"});
    runWhole(switchOf("ordinary", "ada"), store);
    CHECK(runWhole(switchOf("peak", "bo", 9), store).accepted->version == 10);
    store.overwrite(presetInForceKey, "not a preset");
    CHECK(runWhole(switchOf("peak", "bo", 0), store).outcome == ChangeOutcome::Faulty);
    CHECK(runWhole(switchOf("peak", "cy", 10), store).accepted->version == 11);
}

TEST_CASE("of two concurrent applies of one name exactly one is accepted")
{
    FakeStore store;
    PresetApply first({namedPreset("peak"), OperatorName("ada"), OperationId("a"), 0}, {}, 1);
    PresetApply second({namedPreset("peak"), OperatorName("bo"), OperationId("b"), 0}, {}, 1);
    const PlatformStep firstStep = carryOut(first, first.start(start), store);
    const PlatformStep secondStep = carryOut(second, second.start(start), store);
    CHECK(finish(first, firstStep, store).outcome == ChangeOutcome::Accepted);
    const ChangeResult lost = finish(second, secondStep, store);
    CHECK(lost.outcome == ChangeOutcome::Lost);
    CHECK(lost.winner == OperatorName("ada"));
}

// Several operators switch while calls are lost before or after their effect. In any interleaving each version must be used once, and no switch
// may be reported wrongly as accepted or lost.
TEST_CASE("interleaved switches with lost calls end truthfully", "[config-monotonic]")
{
    rc::prop("results are true, versions are unique and grow", [] {
        FakeStore store = storeWith({"ordinary", "peak"});
        std::vector<PresetSwitch> switches;
        std::vector<PlatformStep> steps;
        for (const char *by : {"ada", "bo", "cy", "di"}) {
            switches.push_back(switchOf(by[0] % 2 == 0 ? "peak" : "ordinary", by));
            steps.push_back(switches.back().start(start));
        }
        std::vector<OperationId> applied{OperationId()}; // index is the version
        TimePoint now = start;
        for (int i = 0; i < 300; ++i) {
            now += 5ms;
            const std::size_t who = *rc::gen::inRange<std::size_t>(0, switches.size());
            const int fault = *rc::gen::inRange(0, 6);
            PresetSwitch &decision = switches[who];
            PlatformStep &step = steps[who];
            const bool call = step.kind == PlatformStep::Kind::Put || step.kind == PlatformStep::Kind::Get;
            if (!call || fault > 1) {
                step = carryOut(decision, step, store, now);
            } else if (step.kind == PlatformStep::Kind::Get) {
                step = decision.onRead(platformError<StoredObject>(PlatformErrorKind::Unknown), now);
            } else {
                const bool tookEffect = fault == 1 && store.put(decision.writeRequest()).has_value();
                static_cast<void>(tookEffect);
                step = decision.onWritten(platformError<ObjectVersion>(PlatformErrorKind::Unknown), now);
            }
            const PresetInForce inForce = store.inForce();
            if (inForce.version != applied.size() - 1) {
                RC_ASSERT(inForce.version == applied.size());
                applied.push_back(inForce.operation);
            }
        }
        for (std::size_t who = 0; who < switches.size(); ++who) {
            const ChangeResult &result = switches[who].result();
            const OperationId operation("op-"
                                        + std::string(who == 0       ? "ada"
                                                          : who == 1 ? "bo"
                                                          : who == 2 ? "cy"
                                                                     : "di")
                                        + "-" + (who == 0 || who == 2 ? "ordinary" : "peak"));
            const std::size_t times = static_cast<std::size_t>(std::ranges::count(applied, operation));
            RC_ASSERT(times <= 1U);
            if (steps[who].kind == PlatformStep::Kind::Done && result.outcome != ChangeOutcome::Unresolved) {
                RC_ASSERT((result.outcome == ChangeOutcome::Accepted) == (times == 1U));
            }
        }
    });
}
