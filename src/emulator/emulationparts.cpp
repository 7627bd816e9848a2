#include "emulator/emulationparts.h"

namespace Rhubarbwind
{

namespace
{

constexpr double neverFactor = 1e9;
constexpr double fixedTightShare = 0.17; ///< of the engines, without an elastic split

} // namespace

const ShardId &engineService()
{
    static const ShardId service("engines");
    return service;
}

EndpointId engineId(std::size_t index)
{
    return EndpointId("engine-" + std::to_string(index));
}

BoardOptions boardOptions(const TrafficSheet &sheet, const Mechanisms &with)
{
    BoardOptions options;
    options.correctsWaits = with.waitCorrection;
    options.promptTokensPerMs = sheet.engine.promptTokensPerMs;
    if (!with.spill) {
        options.spillFactor = neverFactor;
    }
    if (!with.tightEngines) {
        options.tight.mostShare = 0;
    } else if (!with.elasticSplit) {
        options.tight.mostShare = fixedTightShare;
    }
    return options;
}

std::size_t engineIndex(const EndpointId &id)
{
    return std::stoul(id.text().substr(id.text().rfind('-') + 1));
}

} // namespace Rhubarbwind
