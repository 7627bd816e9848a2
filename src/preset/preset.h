#pragma once

// Presets: what operators write, as plain values.
//
// A preset names the classes of requests with their tiers, targets and shares, the customers with their
// weights, and the placement each endpoint should have. Exactly one preset is in force (PresetInForce); it
// carries its whole content and a version that only grows. presetjson.h reads and writes them as JSON with
// comments; a preset that parses is valid, every other one is refused whole with the path of each fault.
//
// Bounds: at most maxClasses classes and maxCustomers customers, so that one object stays well under the
// platform's 1 MB a value.

#include "base/ids.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Rhubarbwind
{

inline constexpr std::size_t maxClasses = 64;
inline constexpr std::size_t maxCustomers = 8192;

/** How the fixed capacity is handed out. `Local` and `Fifo` are baselines to measure against. */
enum class ArbitrationMode : std::uint8_t {
    Permits, ///< one arbiter a shard orders all tickets
    Local, ///< each host alone, on lagged load reports
    Fifo, ///< permits in order of arrival, classes ignored
};

/** The rules of one class of requests. */
struct ClassRule
{
    ClassId name;
    Tier tier;
    Duration firstTokenTarget = 960ms; ///< from arrival at the entry host to the first token
    Duration interTokenTarget = 76ms; ///< 95th percentile between tokens
    Duration queueDeadline = 30s; ///< longest wait for a permit; after it the request ends not-run
    double minimumShare = 0.02; ///< least part of the shard's grants while the class has work, in [0, 1]
    bool idempotent = true; ///< false: runs at most once, never retried after dispatch
    bool reproducible = false; ///< true: a re-run yields the same answer, so a broken stream may be re-run and skipped
    bool preemptible = false; ///< running work may be cancelled for a higher tier, if the preset allows preemption
    std::uint32_t estimatedTokens = 256; ///< output length assumed until enough answers were seen
    std::uint32_t queueLimit = 1000; ///< most requests of the class waiting in one shard
};

/** A customer's part within each tier, relative to the other customers'. */
struct CustomerRule
{
    CustomerId name;
    double weight = 1.0;
    std::string apiKeySha256; ///< lower-case hex of the SHA-256 of the API key; empty: no key accepted
};

/** What one endpoint should hold. */
struct PlacementGoal
{
    EndpointId endpoint;
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    std::string role; ///< "serve", "prefill" or "decode"
    friend bool operator==(const PlacementGoal &, const PlacementGoal &) = default;
};

struct PlacementRules
{
    std::vector<PlacementGoal> goals;
    double readyFloor = 0.75; ///< part of a model's endpoints that stays in service during a change
    std::uint32_t parallelLoads = 1; ///< most endpoints of a failure domain that load at once
};

struct Preset
{
    PresetName name;
    std::string description;
    ArbitrationMode arbitration = ArbitrationMode::Permits;
    bool preemption = false;
    std::vector<ClassRule> classes;
    std::vector<CustomerRule> customers;
    PlacementRules placement;

    /** The rule of a class, or null when the preset has none. */
    const ClassRule *findClass(const ClassId &id) const;
    /** The rule of a customer, or null. */
    const CustomerRule *findCustomer(const CustomerId &id) const;
};

/** Preset versions count up from 1; 0 means "none yet". */
using PresetVersion = std::uint64_t;

/** The one preset in force, as the platform's object holds it. */
struct PresetInForce
{
    PresetVersion version = 0;
    OperationId operation; ///< the write that put it in force; resolves a lost answer
    OperatorName by;
    std::int64_t acceptedUnixMs = 0; ///< wall time, for people only; no decision reads it
    Preset preset;
};

} // namespace Rhubarbwind
