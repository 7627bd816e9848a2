// Figures for docs/CAPACITY.md: size and processor time of a preset by its number of customers and placement goals.

#include "base/digest.h"
#include "preset/presetjson.h"

#include <cstdio>
#include <ctime>

#include <catch2/catch.hpp>

using namespace Rhubarbwind;

namespace
{

double processorSeconds()
{
    return static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC);
}

PresetInForce presetOfSize(std::size_t customers, std::size_t goals)
{
    PresetInForce inForce;
    inForce.version = 18'000;
    inForce.operation = OperationId("0123456789abcdef0123456789abcdef");
    inForce.by = OperatorName("night-shift");
    inForce.preset.name = PresetName("peak");
    for (int i = 0; i < 12; ++i) {
        ClassRule rule;
        rule.name = ClassId("class-" + std::to_string(i));
        inForce.preset.classes.push_back(rule);
    }
    for (std::size_t i = 0; i < customers; ++i) {
        const std::string name = "customer-number-" + std::to_string(i);
        inForce.preset.customers.push_back({CustomerId(name), 1.5, sha256Hex(name)});
    }
    for (std::size_t i = 0; i < goals; ++i) {
        const std::string number = std::to_string(i);
        inForce.preset.placement.goals.push_back({EndpointId("worker-" + number), "model-" + std::to_string(i % 36), "2026-11", {"adapter-a"}, "serve"});
    }
    return inForce;
}

} // namespace

TEST_CASE("a preset's size and processor time by customers and placement goals", "[.measure]")
{
    struct Row
    {
        std::size_t customers;
        std::size_t goals;
    };
    for (const Row &row : {Row{10, 0}, Row{100, 0}, Row{1000, 0}, Row{5100, 0}, Row{5100, 3800}}) {
        const PresetInForce inForce = presetOfSize(row.customers, row.goals);
        const int rounds = 20;
        std::string text;
        const double start = processorSeconds();
        for (int i = 0; i < rounds; ++i) {
            text = printPresetInForce(inForce);
        }
        const double printed = processorSeconds();
        bool taken = true;
        std::size_t faults = 0;
        for (int i = 0; i < rounds; ++i) {
            const Result<PresetInForce, PresetFaults> parsed = parsePresetInForce(text);
            taken = parsed.has_value();
            faults = taken ? 0 : parsed.error().size();
        }
        const double parsed = processorSeconds();
        std::printf("slope preset customers=%zu goals=%zu bytes=%zu print_ms=%.2f parse_ms=%.2f %s\n",
                    row.customers,
                    row.goals,
                    text.size(),
                    (printed - start) * 1000 / rounds,
                    (parsed - printed) * 1000 / rounds,
                    taken ? "taken" : ("refused with " + std::to_string(faults) + " fault(s)").c_str());
    }
    std::fflush(stdout);
}
