#include "preset/presetjson.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace Rhubarbwind;

namespace
{

constexpr std::string_view ordinaryText = R"json({
    // An ordinary day.
    "name": "ordinary",
    "classes": [
        {"name": "quick", "tier": 0, "first_token_target_ms": 960, "minimum_share": 0.1},
        {"name": "draft", "tier": 2, "idempotent": false, /* quotes are sent once */ "queue_deadline_ms": 60000},
    ],
    "customers": [{"name": "studio", "weight": 2.5}],
})json";

template <class Id>
Id nth(const char *stem, std::size_t index)
{
    return Id(stem + std::to_string(index));
}

ClassRule arbitraryClass(std::size_t index)
{
    ClassRule rule;
    rule.name = nth<ClassId>("class-", index);
    rule.tier.level = *rc::gen::inRange<std::uint8_t>(0, 16);
    rule.firstTokenTarget = std::chrono::milliseconds(*rc::gen::inRange(1, 100'000));
    rule.interTokenTarget = std::chrono::milliseconds(*rc::gen::inRange(1, 10'000));
    rule.queueDeadline = std::chrono::milliseconds(*rc::gen::inRange(1, 3'600'001));
    rule.minimumShare = *rc::gen::inRange(0, 16) / 1000.0; // the sum over 64 classes stays below 1
    rule.idempotent = *rc::gen::arbitrary<bool>();
    rule.reproducible = *rc::gen::arbitrary<bool>();
    rule.preemptible = rule.idempotent && *rc::gen::arbitrary<bool>();
    rule.estimatedTokens = *rc::gen::inRange(1, 1'000'001);
    rule.queueLimit = *rc::gen::inRange(1, 1'000'001);
    return rule;
}

Preset arbitraryPreset()
{
    Preset preset;
    preset.name = nth<PresetName>("preset_", *rc::gen::inRange<std::size_t>(0, 1000));
    preset.description = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    preset.arbitration = *rc::gen::element(ArbitrationMode::Permits, ArbitrationMode::Local, ArbitrationMode::Fifo);
    preset.preemption = *rc::gen::arbitrary<bool>();
    const std::size_t classes = *rc::gen::inRange<std::size_t>(1, maxClasses + 1);
    for (std::size_t i = 0; i < classes; ++i) {
        preset.classes.push_back(arbitraryClass(i));
    }
    const std::size_t customers = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < customers; ++i) {
        preset.customers.push_back({nth<CustomerId>("customer.", i), *rc::gen::inRange(1, 1'000'000) / 1000.0, std::string(i % 2 * 64, 'a')});
    }
    const std::size_t goals = *rc::gen::inRange<std::size_t>(0, 10);
    for (std::size_t i = 0; i < goals; ++i) {
        preset.placement.goals.push_back({nth<EndpointId>("w", i), "llama", "v2", std::vector<std::string>(i % 3, "adapter"), "decode"});
    }
    preset.placement.readyFloor = *rc::gen::inRange(0, 1001) / 1000.0;
    preset.placement.parallelLoads = *rc::gen::inRange(1, 1001);
    return preset;
}

std::string withClassField(const std::string &field)
{
    return R"({"name":"p","classes":[{"name":"c","tier":1,)" + field + "}]}";
}

} // namespace

TEST_CASE("a preset is read with comments, trailing commas and defaults")
{
    const Result<Preset, PresetFaults> preset = parsePreset(ordinaryText);
    REQUIRE(preset.has_value());
    REQUIRE(preset.value().classes.size() == 2);
    CHECK(preset.value().classes[0].firstTokenTarget == 960ms);
    CHECK(preset.value().classes[1].queueDeadline == 60s);
    CHECK_FALSE(preset.value().classes[1].idempotent);
    CHECK(preset.value().customers[0].weight == 2.5);
    CHECK(preset.value().arbitration == ArbitrationMode::Permits);
}

TEST_CASE("a faulty preset is refused with every fault at once")
{
    const Result<Preset, PresetFaults> preset = parsePreset(R"({
        "name": "bad name", "tear": 1, "arbitration": "best", "classes": [
            {"name": "a", "tier": 16, "first_token_target_ms": 0, "preemptible": true, "idempotent": false},
            {"name": "a", "tier": 1.0, "minimum_share": 1.5, "queue_limit": "many"}
        ], "customers": [{"name": "x", "weight": 0, "api_key_sha256": "ABC"}],
        "placement": {"goals": [{"endpoint": "w1", "model": "m", "role": "cook"}], "ready_floor": 2}
    })");
    REQUIRE(preset.has_error());
    std::vector<std::string> paths;
    for (const PresetFault &fault : preset.error()) {
        CHECK_FALSE(fault.allowed.empty());
        paths.push_back(fault.path);
    }
    std::ranges::sort(paths);
    const std::vector<std::string> expected{"arbitration",
                                            "classes[0].first_token_target_ms",
                                            "classes[0].preemptible",
                                            "classes[0].tier",
                                            "classes[1].minimum_share",
                                            "classes[1].name",
                                            "classes[1].queue_limit",
                                            "classes[1].tier",
                                            "customers[0].api_key_sha256",
                                            "customers[0].weight",
                                            "name",
                                            "placement.goals[0].role",
                                            "placement.goals[0].version",
                                            "placement.ready_floor",
                                            "tear"};
    CHECK(paths == expected);
}

TEST_CASE("each bound of a class is checked")
{
    struct Row
    {
        const char *field;
        bool allowed;
    };
    const Row row = GENERATE(values<Row>({
        {R"("queue_limit":1)", true},
        {R"("queue_limit":0)", false},
        {R"("queue_limit":1000001)", false},
        {R"("queue_limit":18446744073709551615)", false},
        {R"("queue_limit":-1)", false},
        {R"("estimated_tokens":1e3)", false},
        {R"("minimum_share":1)", true},
        {R"("minimum_share":-0.1)", false},
        {R"("minimum_share":1e999)", false},
        {R"("minimum_share":null)", false},
        {R"("inter_token_target_ms":3600001)", false},
        {R"("idempotent":"yes")", false},
        {R"("weight":1)", false},
    }));
    CAPTURE(row.field);
    CHECK(parsePreset(withClassField(row.field)).has_value() == row.allowed);
}

TEST_CASE("minimum shares that add up to more than 1 are refused")
{
    CHECK(parsePreset(R"({"name":"p","classes":[{"name":"a","tier":0,"minimum_share":0.6},{"name":"b","tier":0,"minimum_share":0.4}]})").has_value());
    CHECK(parsePreset(R"({"name":"p","classes":[{"name":"a","tier":0,"minimum_share":0.6},{"name":"b","tier":0,"minimum_share":0.5}]})").has_error());
}

TEST_CASE("a duplicate key is a fault although its last value is valid")
{
    const Result<Preset, PresetFaults> preset =
        parsePreset(R"({"name":"p","name":"q","classes":[{"name":"a","tier":0},{"name":"b","tier":0,/* again */"ti\u0065r":1}],"customers":[]})");
    REQUIRE(preset.has_error());
    REQUIRE(preset.error().size() == 2);
    CHECK(preset.error()[0].path == "name");
    CHECK(preset.error()[1].path == "classes[1].tier");
}

TEST_CASE("a printed document is read back equal")
{
    rc::prop("preset", [] {
        const Preset preset = arbitraryPreset();
        const Result<Preset, PresetFaults> again = parsePreset(printPreset(preset));
        RC_ASSERT(again.has_value());
        RC_ASSERT((again.value() == preset));
    });
    rc::prop("in force, library and history", [] {
        const PresetInForce inForce{
            *rc::gen::inRange<std::uint64_t>(1, 1U << 30U), OperationId("op1"), OperatorName("Ada \"A\" Löwe"), 1'700'000, arbitraryPreset()};
        const LibraryPreset entry{OperationId("op2"), OperatorName("ada"), 5, inForce.preset};
        const PresetHistoryEntry line{inForce.version, OperationId("op3"), OperatorName("ada"), 5, inForce.preset.name};
        RC_ASSERT((parsePresetInForce(printPresetInForce(inForce)).value() == inForce));
        RC_ASSERT((parseLibraryPreset(printLibraryPreset(entry)).value() == entry));
        RC_ASSERT((parseHistoryEntry(printHistoryEntry(line)).value() == line));
    });
}

TEST_CASE("arbitrary and truncated bytes are refused and never crash")
{
    const std::string whole(ordinaryText);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        REQUIRE(parsePreset(whole.substr(0, length)).has_error());
    }
    rc::prop("arbitrary bytes", [](const std::string &bytes) { RC_ASSERT(parsePreset(bytes).has_error()); });
    rc::prop("one byte changed", [whole] {
        std::string text = whole;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const Result<Preset, PresetFaults> preset = parsePreset(text);
        RC_ASSERT((preset.has_value() || !preset.error().empty()));
    });
    CHECK(parsePreset(std::string(100'000, '[')).has_error());
    CHECK(parsePreset(std::string(maxPresetBytes + 1, ' ')).has_error());
    CHECK(parsePreset(whole + "{}").has_error());
}

TEST_CASE("the list of faults is bounded")
{
    std::string text = R"({"name":"p","classes":[{"name":"c","tier":1}])";
    for (int i = 0; i < 10'000; ++i) {
        text += ",\"k" + std::to_string(i) + "\":0";
    }
    CHECK(parsePreset(text + "}").error().size() == maxPresetFaults);
}
