#pragma once

// What the relay is configured with, and what it is given to work with.

#include "arbiter/permitport.h"
#include "ledger/claimport.h"
#include "preset/preset.h"
#include "relay/endpointexchange.h"
#include "relay/httpserver.h"
#include "relay/retrybudget.h"
#include "relay/streambuffer.h"
#include "telemetry/metrics.h"
#include "telemetry/span.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

struct RelayOptions
{
    HttpServerOptions http; ///< listen address, header, body and connection budgets
    std::size_t requests = 10'000; ///< requests in progress on this host; further ones are refused at once
    std::size_t memoryBytes = std::size_t{512} * 1024 * 1024; ///< bodies and answers held; further requests are refused at once
    std::size_t unsentBytes = std::size_t{256} * 1024; ///< a caller's backlog from which the endpoint is read no further
    StreamBufferOptions answer; ///< budget of one answer
    ExchangeBounds engineBounds; ///< connect, first byte and silence of a stream
    ExchangeBounds serviceBounds{2s, 120s, 30s};
    Duration resumeDelay = 50ms; ///< before a second resume in a row; doubles with each further one
    Duration retryDelay = 50ms; ///< ceiling of the first retry's wait; doubles with each further one
    Duration claimUnderPermit = 2s; ///< longest a permit is held for an at-most-once claim
    Duration deadlineGrace = 200ms; ///< the arbiter's own refusal at the queue deadline is awaited this long
    Duration holdAnswer = 30s; ///< an ended answer is held for a caller that comes back
    std::size_t heldAnswers = 10'000;
    Duration callerReturn = 10s; ///< a caller with X-Rhubarbwind-Resumable that has gone is awaited this long
    std::uint32_t maxFailures = 3;
    std::uint32_t maxResumes = 3;
    RetryBudgetOptions retryBudget;
    /** Chained digests of the prompt's blocks; none when not set. */
    std::function<std::vector<std::uint64_t>(std::string_view)> prefixDigests;
};

/** The permit and claim ports behind plain functions, so that sessions are compiled once. */
struct RelayPorts
{
    std::function<void(const ShardId &, const Ticket &, PermitHandler)> askPermit;
    std::function<void(const ShardId &, const AttemptId &)> cancelTicket;
    std::function<void(const ShardId &, const AttemptId &, std::uint32_t)> progress;
    std::function<void(const ShardId &, const Release &)> release;
    std::function<void(const ClaimKey &, const RequestId &, Duration, ClaimHandler)> claim;
    std::function<void(const ClaimKey &, const RequestId &, ClaimState)> finishClaim;
};

/** Any type with a textual IP number and a port, such as routing's Endpoint. */
template <class T>
concept Addressed = requires(const T &endpoint)
{
    std::string(endpoint.address);
    std::uint16_t{endpoint.port};
};

/** Where an endpoint listens; made from routing's Endpoint without this slice knowing it. */
struct EndpointLocation : EndpointAddress
{
    EndpointLocation() = default;
    EndpointLocation(std::string ip, std::uint16_t port)
        : EndpointAddress{std::move(ip), port}
    {
    }
    template <Addressed T>
    EndpointLocation(const T &endpoint) // NOLINT(google-explicit-constructor): a lookup of endpoints is one of locations
        : EndpointAddress{endpoint.address, endpoint.port}
    {
    }
};

using PresetSource = std::function<std::shared_ptr<const PresetInForce>()>;
using EndpointLookup = std::function<std::optional<EndpointLocation>(const EndpointId &)>;
using DrainingHandler = std::function<void(const EndpointId &)>;

struct RelayStats
{
    std::size_t running = 0; ///< requests not answered yet
    std::size_t held = 0; ///< ended answers held for callers that come back
    std::size_t connections = 0; ///< callers' connections
    std::size_t memoryBytes = 0;
    std::uint64_t started = 0;
    bool draining = false;
    bool claimsFailing = false; ///< the last claim could not be made
};

} // namespace Rhubarbwind
