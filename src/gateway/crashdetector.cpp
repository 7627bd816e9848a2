#include "gateway/crashdetector.h"

#include <utility>

namespace Rhubarbwind
{

namespace
{

// All connections of a process that ends break within a round trip between failure domains plus one iteration of the event loop.
constexpr Duration gatherTime = 30ms;
// The same as for a connection that carries a request; a live endpoint accepts within some milliseconds.
constexpr Duration probeTimeout = 300ms;
// Bounds memory; more than one host has at one endpoint.
constexpr std::size_t maxSends = 512;

BreakEvidence evidenceFrom(ConnectEnd how)
{
    switch (how) {
    case ConnectEnd::Open:
        return BreakEvidence::Accepted;
    case ConnectEnd::Refused:
        return BreakEvidence::Refused;
    case ConnectEnd::Failed:
        break;
    }
    return BreakEvidence::NoAnswer;
}

BreakResult resultFrom(BreakEvidence evidence)
{
    switch (evidence) {
    case BreakEvidence::OtherConnectionOpen:
    case BreakEvidence::Accepted:
        return BreakResult::Lives;
    case BreakEvidence::Refused:
        return BreakResult::Ended;
    case BreakEvidence::NoAnswer:
        break;
    }
    return BreakResult::Unknown;
}

} // namespace

std::string_view nameOf(BreakResult result)
{
    switch (result) {
    case BreakResult::Ended:
        return "ended";
    case BreakResult::Lives:
        return "lives";
    case BreakResult::Unknown:
        break;
    }
    return "unknown";
}

std::string_view nameOf(BreakEvidence evidence)
{
    switch (evidence) {
    case BreakEvidence::OtherConnectionOpen:
        return "another connection stands";
    case BreakEvidence::Accepted:
        return "accepts connections";
    case BreakEvidence::Refused:
        return "refuses connections";
    case BreakEvidence::NoAnswer:
        break;
    }
    return "no answer";
}

void CrashDetector::reportBreak(const BoardEndpoint &endpoint, std::size_t endpoints, const BrokenSend &send, TimePoint now)
{
    const auto [entry, isNew] = m_breaks.try_emplace(endpoint.id);
    if (isNew) {
        entry->second = std::make_shared<PendingBreak>();
        entry->second->seen.endpoint = endpoint;
        entry->second->seen.at = now;
        entry->second->seen.endpoints = endpoints;
    }
    std::vector<BrokenSend> &sends = entry->second->seen.sends;
    if (sends.size() < maxSends) {
        sends.push_back(send);
    }
}

void CrashDetector::startProbe(PendingBreak &pending, TimePoint now)
{
    pending.probedAt = now;
    pending.probe = std::make_shared<EndpointConnection>(m_io);
    const std::weak_ptr<PendingBreak> weakPending = m_breaks.at(pending.seen.endpoint.id);
    pending.probe->connect(pending.seen.endpoint.ip, pending.seen.endpoint.port, [weakPending](ConnectEnd how) {
        if (const std::shared_ptr<PendingBreak> stillPending = weakPending.lock()) {
            stillPending->answer = how;
        }
    });
}

std::optional<BreakEvidence> CrashDetector::evidenceOf(PendingBreak &pending, TimePoint now)
{
    if (pending.answer) {
        return evidenceFrom(*pending.answer);
    }
    if (pending.probe) {
        return now - pending.probedAt > probeTimeout ? std::optional(BreakEvidence::NoAnswer) : std::nullopt;
    }
    if (now - pending.seen.at < gatherTime) {
        return std::nullopt;
    }
    if (m_aliveCheck && m_aliveCheck(pending.seen.endpoint.id, pending.seen.at)) {
        return BreakEvidence::OtherConnectionOpen;
    }
    startProbe(pending, now);
    return std::nullopt;
}

void CrashDetector::tick(TimePoint now, ConnectionPool &pool)
{
    std::vector<std::shared_ptr<PendingBreak>> decided;
    for (auto entry = m_breaks.begin(); entry != m_breaks.end();) {
        PendingBreak &pending = *entry->second;
        const std::optional<BreakEvidence> evidence = evidenceOf(pending, now);
        if (!evidence) {
            ++entry;
            continue;
        }
        pending.seen.evidence = *evidence;
        pending.seen.result = resultFrom(*evidence);
        decided.push_back(entry->second);
        entry = m_breaks.erase(entry);
    }
    for (const std::shared_ptr<PendingBreak> &pending : decided) {
        if (pending->probe && pending->answer == ConnectEnd::Open) {
            pool.give(pending->seen.endpoint.id, pending->probe, now);
        } else if (pending->probe) {
            pending->probe->cancel();
        }
        m_onResult(pending->seen);
    }
}

void CrashDetector::stop()
{
    for (const auto &[endpoint, pending] : m_breaks) {
        if (pending->probe) {
            pending->probe->cancel();
        }
    }
    m_breaks.clear();
}

} // namespace Rhubarbwind
