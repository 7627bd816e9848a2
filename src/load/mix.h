#pragma once

// What the load tool sends: a mix file names customers, classes of requests with rates, lengths and targets, and
// bursts. JSON with comments; every fault is listed with its path; unknown keys are refused.
//
// The targets stand here as well as in the preset: they are what the callers were promised, whatever preset is in
// force. Lengths are lognormal (heavy-tailed), given by median and sigma and cut at `most`.

#include "base/jsonreader.h"
#include "base/result.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

enum class RequestKind : std::uint8_t {
    Stream, ///< chat/completions with server-sent events
    Service, ///< one request, one answer of a plain service
};

/** A lognormal length. */
struct LengthRule
{
    double median = 100;
    double sigma = 0.5;
    double most = 1000;
};

struct MixClass
{
    std::string name;
    Tier tier;
    RequestKind kind = RequestKind::Stream;
    std::string path = "/v1/chat/completions";
    std::string model;
    double ratePerSecond = 1;
    LengthRule promptBytes{800, 0.6, 16'384};
    std::uint32_t sharedPrefixBytes = 0; ///< the part of the prompt that a customer's requests of the class share
    LengthRule answerTokens{60, 0.8, 2000};
    Duration firstTokenTarget = 960ms;
    Duration interTokenTarget = 76ms; ///< for the 95th percentile of a request
    bool idempotent = true; ///< false: an Idempotency-Key is sent and runs are counted
    bool reproducible = false;
    double doubleShare = 0; ///< part sent twice at once through two hosts; only where not idempotent
    double leaveShare = 0; ///< part whose caller goes away halfway
};

struct MixCustomer
{
    std::string name;
    std::string apiKey;
    double weight = 1; ///< its part of the arrivals
};

/** For a while, arrivals of some classes are multiplied; a named customer sends all that is added. */
struct MixBurst
{
    std::string name;
    Duration at{};
    Duration lasts{};
    double factor = 2;
    std::vector<std::string> classes; ///< empty: all
    std::string customer; ///< empty: by weight
};

struct Mix
{
    Duration duration = 20s;
    std::vector<MixCustomer> customers;
    std::vector<MixClass> classes;
    std::vector<MixBurst> bursts;
};

Result<Mix, DocumentFaults> parseMix(std::string_view text);

} // namespace Rhubarbwind
