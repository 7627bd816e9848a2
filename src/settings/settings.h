#pragma once

// The settings of one host: what a daemon must know before it can ask anybody.
//
// A host learns its addresses and failure domain here, and nothing else it must remember. Every value has a
// default but the ones that name the host. Unknown keys are refused; all faults are listed at once, each with
// its path, value and what is allowed. docs/SETTINGS.md lists every key.

#include "base/ids.h"
#include "base/jsonreader.h"
#include "base/result.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Rhubarbwind
{

struct SocketAddress
{
    std::string ip;
    std::uint16_t port = 0;
    friend bool operator==(const SocketAddress &, const SocketAddress &) = default;
};

/** What it costs to go from one failure domain to another, one way. */
struct HopCost
{
    FailureDomain from;
    FailureDomain to;
    Duration cost{};
};

/** An operator who may change things; the token is kept as a hash. */
struct OperatorEntry
{
    OperatorName name;
    std::string tokenSha256; ///< lower-case hex
};

struct PlatformSettings
{
    SocketAddress address;
    Duration timeout = 2s;
    double readsPerSecond = 100; ///< this host's part of the platform's reads, waiting watches included
    double readBurst = 100;
    double writesPerSecond = 30; ///< this host's part of the platform's writes
    double writeBurst = 60;
    Duration hostListInterval = 2s;
    Duration loadReportInterval = 1s;
};

struct CallerSettings
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{1024} * 1024;
    std::size_t connections = 4096;
    std::size_t queuedRequests = 2000; ///< requests waiting for a permit on this host, over all classes
    std::size_t answerBytes = std::size_t{64} * 1024 * 1024; ///< held answers, for callers that come back
    Duration idleLimit = 60s; ///< a caller's connection without a request
    Duration streamSilenceLimit = 5s; ///< an endpoint's stream without a byte
    Duration connectLimit = 1s;
    double retryRatio = 0.1; ///< retries allowed per success, by customer and shard
};

struct DrainSettings
{
    Duration balancerDelay = 2s; ///< not-ready for so long before the listener closes
    Duration limit{}; ///< longest wait for running streams; zero: none
};

struct ArbiterSettings
{
    Duration flushInterval = 2ms; ///< tickets of a link are batched for so long
    Duration silenceLimit = 1s; ///< no answer from the arbiter for so long: fall back to static shares
    Duration collectingRound = 300ms; ///< a new arbiter listens for so long before it grants freely
};

struct LedgerSettings
{
    std::uint32_t shards = 4;
    Duration appendInterval = 100ms; ///< least time between appends of a shard: keeps all shards within the platform's writes
    Duration retention = 1h; ///< a repeat within this time is recognised
};

struct Settings
{
    HostId host;
    FailureDomain domain;
    SocketAddress callers; ///< HTTP front for callers
    SocketAddress peers; ///< TCP and UDP between hosts
    SocketAddress admin; ///< HTTP for probes, metrics and operators
    std::string peerSecret;
    PlatformSettings platform;
    CallerSettings callerLimits;
    DrainSettings drain;
    ArbiterSettings arbiter;
    LedgerSettings ledger;
    std::vector<HopCost> hopCosts;
    std::vector<OperatorEntry> operators;
    std::string logLayout = "text"; ///< "text" or "json"
    std::string logLevel = "info";
    std::size_t spanRing = 20'000; ///< spans held for explain
};

/** Reads and checks a whole document. */
Result<Settings, DocumentFaults> parseSettings(std::string_view text);

} // namespace Rhubarbwind
