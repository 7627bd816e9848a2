#pragma once

// The kinds of frames between hosts. Each slice owns the FlatBuffers schema of its kinds; the wire carries
// them as verified-by-the-receiver bytes and knows nothing of their content. Numbers are never reused.

#include <cstdint>

namespace Rhubarbwind
{

enum class MessageKind : std::uint16_t {
    Hello = 1, ///< wire: who is calling, with a challenge
    HelloProof = 2, ///< wire: proof of the shared secret
    Heartbeat = 3, ///< wire
    ArbiterRequests = 10, ///< arbiter: tickets, cancels, releases, held permits; entry host to arbiter
    ArbiterAnswers = 11, ///< arbiter: grants, refusals, preemptions, acknowledgements; arbiter to entry host
    PresetFetch = 20, ///< presetspread: "send me the preset if yours is newer than this version"
    PresetContent = 21, ///< presetspread: the preset in force with its version
    ClaimRequests = 30, ///< ledger: claims and completions for the shard's writer
    ClaimAnswers = 31, ///< ledger
    SpanQuery = 40, ///< telemetry: spans of one request
    SpanAnswer = 41, ///< telemetry
    StatusQuery = 42, ///< daemon: a host's status
    StatusAnswer = 43, ///< daemon
    StreamFetch = 50, ///< relay: answer of a finished or running stream held by another host
    StreamContent = 51, ///< relay
};

} // namespace Rhubarbwind
