#pragma once

// Tickets, grants and releases: what entry hosts and a shard's arbiter tell each other, as plain values.
//
// The entry host keeps the request; the arbiter sees only its ticket. All messages are idempotent by request
// id and attempt: a ticket, release or cancel that arrives twice has the effect of one, and one that was lost
// is sent again by the entry host. Time crosses hosts as what remains or has passed, never as a time point.

#include "base/ids.h"
#include "base/tier.h"
#include "base/time.h"

#include <cstdint>
#include <vector>

namespace Rhubarbwind
{

/** Counts the terms of a shard's arbiters. A grant of a former term is recognised by its smaller epoch. */
using Epoch = std::uint64_t;

/** Identifies one try at running a request; a retry takes a new ticket with the next attempt. */
struct AttemptId
{
    RequestId request;
    std::uint32_t attempt = 0;
    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/** A request's place in the queue of a shard. */
struct Ticket
{
    AttemptId id;
    HostId entry; ///< the host that keeps the request
    ClassId classId;
    CustomerId customer;
    Duration waited{}; ///< in the queue so far, so that order survives a change of arbiter
    Duration deadlineIn{}; ///< what remains of the class's queue deadline
    std::uint32_t promptTokens = 0;
    std::uint32_t estimatedTokens = 0; ///< 0: the arbiter estimates from what it has learned of the class
    std::vector<std::uint64_t> prefixDigests; ///< chained hashes of the prompt's blocks, first block first
    std::vector<EndpointId> avoid; ///< endpoints that failed earlier attempts
};

/** The right to send one attempt to one endpoint, once, before it expires. */
struct Grant
{
    AttemptId id;
    EndpointId endpoint;
    std::int32_t enginePriority = 0; ///< passed to the engine; smaller goes first
    Epoch epoch = 0;
    Duration expiresIn{};
};

/** Why a ticket ends without a grant. */
enum class RefusalReason : std::uint8_t {
    DeadlinePassed, ///< waited its whole queue deadline
    Hopeless, ///< cannot meet its deadline any more; said early, before it costs tokens
    QueueFull, ///< shed: over the queue budget with no lower tier left to shed
    UnknownClass, ///< the preset in force has no such class
    NoEndpoint, ///< the shard has no endpoint that takes work
};

struct Refusal
{
    AttemptId id;
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter{}; ///< when asking again makes sense
};

/** An order to stop a running attempt in favour of a higher tier; sent only where the preset allows it. */
struct Preemption
{
    AttemptId id;
};

/** How an attempt that held a permit ended, as far as capacity is concerned. */
enum class ReleaseKind : std::uint8_t {
    Completed,
    EndpointRefused, ///< the endpoint confirmed that it did not start
    EndpointFailed, ///< connection refused, broken or silent
    Cancelled, ///< the caller went away or the attempt was preempted
    Unused, ///< the permit was not used: expired, or the request had ended
};

/** Gives a permit back with what was seen. */
struct Release
{
    AttemptId id;
    EndpointId endpoint;
    ReleaseKind kind = ReleaseKind::Completed;
    Duration firstToken{}; ///< dispatch to first token; zero if none came
    Duration meanInterToken{}; ///< zero with fewer than two tokens
    std::uint32_t tokens = 0; ///< received from the endpoint
    std::uint32_t reusedPromptTokens = 0; ///< as the endpoint reported; 0 if it did not
};

/** An attempt that runs under a permit; re-sent to a new arbiter so that it knows what is in flight. */
struct HeldPermit
{
    Ticket ticket;
    EndpointId endpoint;
    std::uint32_t tokensSoFar = 0;
};

} // namespace Rhubarbwind
