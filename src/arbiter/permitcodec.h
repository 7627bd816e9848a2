#pragma once

// The messages between an entry host and a shard's arbiter, as values and as FlatBuffers.
//
// PermitRequests goes from a desk (permitdesk.h) to the arbiter, PermitAnswers the other way. Both are batches:
// everything that a host has to tell about one shard since its last flush. Decoding verifies the whole buffer and
// then every bound below, so a decoded value is safe to hand to a decision; anything else is a typed error.
//
// Sequence numbers stand for acknowledgements of single entries. A desk numbers its batches 1, 2, 3, ...; the
// arbiter answers with the number up to which it has lost none (`acknowledged`), so releases and cancels need no
// acknowledgement of their own. See permitdeskpeer.h for the arbiter's side.
//
// Cost: one pass. Bounds: see the constants; a batch of the most entries stays under the wire's payload limit as
// long as the desk flushes at most `maxBatchEntries` entries at once.

#include "arbiter/permit.h"
#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Rhubarbwind
{

/** Most entries of one list in a batch. */
inline constexpr std::size_t maxBatchEntries = 1000;
/** Longest id; request ids are 32 characters, names in settings are shorter. */
inline constexpr std::size_t maxPermitIdBytes = 128;
/** Most digests of a prompt's blocks in a ticket: 8 KB of prompt; a longer common prefix chooses no better. */
inline constexpr std::size_t maxTicketDigests = 32;
inline constexpr std::size_t maxTicketAvoids = 16;
/** Longest duration on this link; queue deadlines are seconds to minutes. */
inline constexpr Duration maxPermitDuration = 24h;
/** Greatest epoch, incarnation or sequence number, far below wrap-around so that "plus one" never overflows. */
inline constexpr std::uint64_t maxPermitNumber = std::uint64_t{1} << 62;

enum class PermitDecodeError : std::uint8_t {
    NotVerified, ///< not a buffer of this schema
    MissingField,
    TooManyEntries,
    TextTooLong,
    OutOfRange, ///< a number, duration or enumerator outside its bounds
};

/** A batch from a desk to the arbiter of its shard. */
struct PermitRequests
{
    ShardId shard;
    HostId sender;
    std::uint64_t incarnation = 0; ///< the desk's; another number means the sender forgot what it had told
    Epoch epochSeen = 0; ///< the greatest seen from any arbiter of the shard
    Epoch epochElsewhere = 0; ///< the greatest seen from any host but the addressee
    Epoch onlyTerm = 0; ///< not zero: releases for this term only, outside the sequence
    std::uint64_t sequence = 0; ///< from 1; zero with onlyTerm
    bool complete = false; ///< first of a re-send of all tickets, held permits, releases and cancels
    std::vector<Ticket> tickets; ///< their entry is the sender
    std::vector<AttemptId> cancels;
    std::vector<Release> releases;
    struct Progress
    {
        AttemptId id;
        std::uint32_t tokens = 0;
    };
    std::vector<Progress> progress;
    std::vector<HeldPermit> held;
};

/** A batch from an arbiter to one desk. The epoch is the grants' too. */
struct PermitAnswers
{
    ShardId shard;
    Epoch epoch = 0;
    std::uint64_t incarnation = 0; ///< of the desk that is answered
    std::uint64_t sequence = 0; ///< counts the answers of this term to this desk, from 1
    std::uint64_t acknowledged = 0; ///< all batches up to this number arrived
    bool needComplete = false; ///< a batch was lost: send all again
    std::vector<Grant> grants;
    std::vector<Refusal> refusals;
    std::vector<Preemption> preemptions;
};

/** Durations out of bounds are clamped, lists beyond their bound are cut: a ticket's digests and avoids lose their tail. */
std::vector<std::byte> encodePermitRequests(const PermitRequests &requests);
std::vector<std::byte> encodePermitAnswers(const PermitAnswers &answers);
Result<PermitRequests, PermitDecodeError> decodePermitRequests(std::span<const std::byte> bytes);
Result<PermitAnswers, PermitDecodeError> decodePermitAnswers(std::span<const std::byte> bytes);

} // namespace Rhubarbwind
