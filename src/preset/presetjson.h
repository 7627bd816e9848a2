#pragma once

// Presets as text: JSON with comments and trailing commas, as operators write it and as the platform stores it.
//
// A document is taken whole or refused whole. A refusal lists every fault, each with the path of the value
// ("classes[2].tier"), the value found and what is allowed, so that an operator mends a preset in one pass.
// Unknown keys are faults: a misspelt key would otherwise silently leave the default in force.
// Durations are whole numbers with the unit in the key (`first_token_target_ms`).
//
// What print gives, parse takes back unchanged, as long as durations are whole milliseconds.
// Cost: one pass over at most maxPresetBytes; nesting is bounded by the JSON parser (32 levels).

#include "base/result.h"
#include "preset/preset.h"

#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

/** Largest document taken: the platform holds values up to 1 MB. */
inline constexpr std::size_t maxPresetBytes = 1'000'000;
/** Faults listed of one document; a hostile one could otherwise list millions. */
inline constexpr std::size_t maxPresetFaults = 200;

struct PresetFault
{
    std::string path; ///< for example "classes[2].tier"; empty for the document itself
    std::string value; ///< as found, shortened; empty when missing
    std::string allowed;
    friend bool operator==(const PresetFault &, const PresetFault &) = default;
};

using PresetFaults = std::vector<PresetFault>;

/** A preset kept for later use, under `preset/library/{name}`. */
struct LibraryPreset
{
    OperationId operation; ///< the write that stored it; resolves a lost answer
    OperatorName by;
    std::int64_t appliedUnixMs = 0; ///< wall time, for people only
    Preset preset;
    friend bool operator==(const LibraryPreset &, const LibraryPreset &) = default;
};

/** One line of history, under `preset/history/{version}`. */
struct PresetHistoryEntry
{
    PresetVersion version = 0;
    OperationId operation;
    OperatorName by;
    std::int64_t acceptedUnixMs = 0; ///< wall time, for people only
    PresetName name;
    friend bool operator==(const PresetHistoryEntry &, const PresetHistoryEntry &) = default;
};

Result<Preset, PresetFaults> parsePreset(std::string_view text);
Result<PresetInForce, PresetFaults> parsePresetInForce(std::string_view text);
Result<LibraryPreset, PresetFaults> parseLibraryPreset(std::string_view text);
Result<PresetHistoryEntry, PresetFaults> parseHistoryEntry(std::string_view text);

/** Indented, for people and files. */
std::string printPreset(const Preset &preset);
/** On one line, for the platform and for peers. */
std::string printPresetInForce(const PresetInForce &inForce);
std::string printLibraryPreset(const LibraryPreset &entry);
std::string printHistoryEntry(const PresetHistoryEntry &entry);

/** True for 1 to 128 of [A-Za-z0-9._-] that begin with a letter or digit: usable as a segment of a platform key. */
bool isPresetIdentifier(std::string_view text);

/** One line a fault, for logs and terminals. */
std::string describeFaults(const PresetFaults &faults);

} // namespace Rhubarbwind
