#pragma once

// What the arbiter asks of routing: which endpoint should run this work now, and what it has learned.
//
// EndpointPool (endpointpool.h) meets EndpointChooser; the arbiter's tests use a fake of a few lines.

#include "base/ids.h"
#include "base/time.h"
#include "routing/endpoint.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace Rhubarbwind
{

/** The work to be placed. */
struct EndpointQuery
{
    FailureDomain entryDomain; ///< of the host that will stream the answer
    std::uint32_t promptTokens = 0;
    std::uint32_t estimatedTokens = 0; ///< output length
    std::span<const std::uint64_t> prefixDigests;
    std::span<const EndpointId> avoid; ///< taken only when nothing else is left
};

/** The endpoint chosen and why; the parts are told by `explain`. */
struct EndpointChoice
{
    EndpointId endpoint;
    Duration expectedWait{};
    Duration hopCost{};
    Duration expectedPrefill{};
    double speed = 1.0; ///< seen speed relative to the pool's median; below 1 is slower
    std::uint32_t reusedTokens = 0; ///< prompt tokens expected in the endpoint's cache
};

/** One piece of work placed on an endpoint; handed back unchanged on free(). */
struct Reservation
{
    EndpointId endpoint;
    std::uint32_t promptTokens = 0;
    std::uint32_t estimatedTokens = 0;
};

/** How one piece of work went. */
struct ServiceSample
{
    Duration firstToken{}; ///< zero: none came
    Duration meanInterToken{}; ///< zero: fewer than two tokens
    std::uint32_t tokens = 0;
    std::uint32_t reusedPromptTokens = 0;
    bool failed = false; ///< refused the connection, broke or went silent
};

template <class T>
concept EndpointChooser = requires(
    T pool, TimePoint now, const EndpointQuery &query, const Reservation &reservation, const ServiceSample &sample, std::span<const Endpoint> endpoints)
{
    {
        pool.choose(now, query)
        } -> std::same_as<std::optional<EndpointChoice>>; ///< none: every endpoint is at its limit
    pool.reserve(now, reservation, query.prefixDigests);
    pool.free(now, reservation, sample); ///< sample of a finished or failed run
    pool.freeUnused(now, reservation); ///< nothing ran, nothing learned
    pool.update(now, endpoints); ///< the shard's endpoints as listed now
    {
        pool.freePlaces(now)
        } -> std::same_as<std::size_t>; ///< how many more pieces of work would be placed now
    {
        pool.hasTakers()
        } -> std::same_as<bool>; ///< any endpoint that is not leaving or gone
};

/** A pool that also learns from streams that still run. */
template <class T>
concept ObservesPace = requires(T pool, TimePoint now, const EndpointId &endpoint, Duration interToken, std::uint32_t tokens)
{
    pool.progress(now, endpoint, interToken, tokens);
};

} // namespace Rhubarbwind
