#pragma once

// Judges what callers got against what the stand-ins ran, and sums it up by class.
//
// Promises that must hold in every run, faults or not: no wrong answer, no non-idempotent request run twice, no
// caller told `not-run` whose request ran, no answer called complete that was not whole.

#include "load/arrivals.h"
#include "load/mix.h"

#include <boost/json.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Rhubarbwind
{

/** How a request ended, as its caller saw it. */
enum class CallerOutcome : std::uint8_t {
    Completed,
    NotRun,
    FailedAfterStart,
    Unknown,
    Repeated, ///< told that another try holds its claim
    NoAnswer, ///< the connection broke or the caller's patience ended without an outcome
    Left, ///< the caller went away on purpose
    Rejected, ///< answered as a bad request
    Wrong, ///< not this caller's whole answer, though it was called complete
};
inline constexpr std::size_t callerOutcomes = 9;

std::string_view callerOutcomeName(CallerOutcome outcome);

struct CallerResult
{
    CallerOutcome outcome = CallerOutcome::NoAnswer;
    std::string reason; ///< the typed error, for people
    Duration firstToken{};
    Duration interTokenP95{};
    std::uint32_t tokens = 0; ///< received while the caller was there
};

/** Runs and tokens of one request over all stand-ins. */
struct EndpointCount
{
    std::uint32_t runs = 0;
    std::uint32_t generated = 0;
};

using EndpointCounts = std::unordered_map<std::string, EndpointCount>;

/** Adds the `ids` of one stand-in's counters. */
void addCounters(const boost::json::object &counters, EndpointCounts &counts);

struct ClassTally
{
    std::string name;
    Tier tier;
    std::uint64_t sent = 0;
    std::uint64_t attained = 0;
    std::uint64_t lateFirst = 0; ///< whole, but the first token came after its target
    std::uint64_t slowTokens = 0; ///< whole, but the time between tokens was over its target
    std::array<std::uint64_t, callerOutcomes> outcomes{};
    std::map<std::string, std::uint64_t> reasons;
    std::vector<Duration> firstTokens; ///< sorted by finish()
    std::vector<Duration> interTokens; ///< each whole answer's 95th percentile; sorted by finish()
    std::uint64_t askedTokens = 0; ///< of all requests sent, had each been answered
    std::uint64_t goodTokens = 0; ///< of answers within their targets
    std::uint64_t deliveredTokens = 0; ///< of whole answers
    std::uint64_t leftTokens = 0; ///< received by callers before they went away
    std::uint64_t generatedTokens = 0;
    std::uint64_t runs = 0;
    std::uint64_t duplicates = 0; ///< non-idempotent requests that ran more than once
    std::uint64_t notRunThatRan = 0;

    std::uint64_t count(CallerOutcome outcome) const
    {
        return outcomes[static_cast<std::size_t>(outcome)];
    }
    double attainment() const
    {
        return sent == 0 ? 1.0 : static_cast<double>(attained) / static_cast<double>(sent);
    }
    /** Generated, but not received by a caller that was there, or part of an answer that was never whole. */
    std::uint64_t wastedTokens() const
    {
        const std::uint64_t received = deliveredTokens + leftTokens;
        return generatedTokens > received ? generatedTokens - received : 0;
    }
};

/** Of sorted values; zero when there are none. */
Duration quantileOf(const std::vector<Duration> &sorted, double quantile);

class Tally
{
public:
    explicit Tally(const Mix &mix);

    /** @param tries every answer that the request's caller got: one, or two when it was sent twice */
    void add(const PlannedRequest &request, const std::vector<CallerResult> &tries, const EndpointCount &ran);
    void finish();

    const std::vector<ClassTally> &classes() const
    {
        return m_classes;
    }
    /** All classes as one; its tier means nothing. */
    ClassTally total() const;

private:
    const Mix &m_mix;
    std::vector<ClassTally> m_classes;
};

/** A promise that a run broke. */
struct BrokenPromise
{
    std::string className;
    std::string what;
    std::uint64_t requests = 0;
};

/** @param expectWhole also counts answers that broke, which only a fault of the run may cause */
std::vector<BrokenPromise> brokenPromises(const Tally &tally, bool expectWhole);

} // namespace Rhubarbwind
