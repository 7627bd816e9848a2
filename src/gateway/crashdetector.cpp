#include "gateway/crashdetector.h"

#include <utility>

namespace Rhubarbwind
{

namespace
{

// All connections of a process that ends break within a round trip between failure domains and a turn of the event loop.
constexpr Duration gatherTime = 30ms;
// As for a connection that carries a request: an endpoint that answers takes some ms.
constexpr Duration questionLimit = 300ms;
// Above what one host has at one endpoint; bounds memory.
constexpr std::size_t mostSends = 512;

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

BreakResult verdictFrom(BreakEvidence evidence)
{
    switch (evidence) {
    case BreakEvidence::OtherStands:
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

std::string_view nameOf(BreakResult verdict)
{
    switch (verdict) {
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
    case BreakEvidence::OtherStands:
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

void CrashDetector::broke(const BoardEndpoint &endpoint, std::size_t endpoints, const BrokenSend &send, TimePoint now)
{
    const auto [entry, isNew] = m_breaks.try_emplace(endpoint.id);
    if (isNew) {
        entry->second = std::make_shared<Watched>();
        entry->second->seen.endpoint = endpoint;
        entry->second->seen.at = now;
        entry->second->seen.endpoints = endpoints;
    }
    std::vector<BrokenSend> &sends = entry->second->seen.sends;
    if (sends.size() < mostSends) {
        sends.push_back(send);
    }
}

void CrashDetector::ask(Watched &watched, TimePoint now)
{
    watched.askedAt = now;
    watched.question = std::make_shared<EndpointConnection>(m_io);
    const std::weak_ptr<Watched> asked = m_breaks.at(watched.seen.endpoint.id);
    watched.question->connect(watched.seen.endpoint.ip, watched.seen.endpoint.port, [asked](ConnectEnd how) {
        if (const std::shared_ptr<Watched> stillAsked = asked.lock()) {
            stillAsked->answer = how;
        }
    });
}

std::optional<BreakEvidence> CrashDetector::evidenceOf(Watched &watched, TimePoint now)
{
    if (watched.answer) {
        return evidenceFrom(*watched.answer);
    }
    if (watched.question) {
        return now - watched.askedAt > questionLimit ? std::optional(BreakEvidence::NoAnswer) : std::nullopt;
    }
    if (now - watched.seen.at < gatherTime) {
        return std::nullopt;
    }
    if (m_seenAlive && m_seenAlive(watched.seen.endpoint.id, watched.seen.at)) {
        return BreakEvidence::OtherStands;
    }
    ask(watched, now);
    return std::nullopt;
}

void CrashDetector::tick(TimePoint now, ConnectionPool &pool)
{
    std::vector<std::shared_ptr<Watched>> decided;
    for (auto entry = m_breaks.begin(); entry != m_breaks.end();) {
        Watched &watched = *entry->second;
        const std::optional<BreakEvidence> evidence = evidenceOf(watched, now);
        if (!evidence) {
            ++entry;
            continue;
        }
        watched.seen.evidence = *evidence;
        watched.seen.verdict = verdictFrom(*evidence);
        decided.push_back(entry->second);
        entry = m_breaks.erase(entry);
    }
    for (const std::shared_ptr<Watched> &watched : decided) {
        if (watched->question && watched->answer == ConnectEnd::Open) {
            pool.give(watched->seen.endpoint.id, watched->question, now);
        } else if (watched->question) {
            watched->question->cancel();
        }
        m_onVerdict(watched->seen);
    }
}

void CrashDetector::stop()
{
    for (const auto &[endpoint, watched] : m_breaks) {
        if (watched->question) {
            watched->question->cancel();
        }
    }
    m_breaks.clear();
}

} // namespace Rhubarbwind
