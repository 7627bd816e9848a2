#include "daemon/statusreport.h"

#include <algorithm>
#include <array>

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

constexpr std::array<std::string_view, 5> drainStageNames{"serving", "not-ready", "draining", "handed-over", "stopped"};
constexpr std::array<std::string_view, 3> memberStateNames{"alive", "suspect", "dead"};
constexpr std::array<std::string_view, 3> endpointStateNames{"live", "leaving", "gone"};
constexpr std::array<std::string_view, 6> obstacleNames{"", "leaving", "gone", "failing", "at limit", "memory full"};
constexpr double millisecondsPerSecond = 1000.0;

template <std::size_t count, class Enum>
std::string_view nameOf(const std::array<std::string_view, count> &names, Enum value)
{
    return names.at(static_cast<std::size_t>(value));
}

double milliseconds(Duration duration)
{
    return toSeconds(duration) * millisecondsPerSecond;
}

boost::json::object shardJson(const PermitShardStatus &shard)
{
    boost::json::object row{{"shard", shard.shard.text()},
                            {"arbiter", shard.desk.owner.text()},
                            {"epoch", shard.desk.epoch},
                            {"fallback", shard.desk.fallback},
                            {"waiting_here", shard.desk.waiting},
                            {"held_here", shard.desk.held},
                            {"fallbacks", shard.desk.fallbacks}};
    if (shard.arbiter) {
        boost::json::object classes;
        for (const auto &[id, status] : shard.arbiter->classes) {
            classes[id.text()] = boost::json::object{{"queued", status.queued}, {"longest_wait_ms", milliseconds(status.longestWait)}};
        }
        row["serves"] = boost::json::object{{"collecting", shard.arbiter->collecting},
                                            {"queued", shard.arbiter->queued},
                                            {"running", shard.arbiter->running},
                                            {"grants", shard.arbiter->grants},
                                            {"classes", std::move(classes)}};
    }
    return row;
}

boost::json::object ledgerJson(const LedgerHostStatus &ledger)
{
    boost::json::array writers;
    for (const auto &[shard, writer] : ledger.writers) {
        writers.push_back(boost::json::object{{"shard", shard}, {"next", writer.nextNumber}, {"reading", writer.reading}, {"keys", writer.keys}});
    }
    return {{"open", ledger.desk.open}, {"running", ledger.desk.running}, {"unavailable", ledger.desk.unavailable}, {"writes_for", std::move(writers)}};
}

/** Only the domains whose lease this host holds; the other holders report theirs. */
boost::json::array placementJson(const std::map<FailureDomain, DomainStatus> &placement)
{
    boost::json::array rows;
    for (const auto &[domain, status] : placement) {
        if (status.lease.held) {
            rows.push_back(boost::json::object{{"domain", domain.text()},
                                               {"fencing", status.lease.fencing},
                                               {"settled", status.placement.settled},
                                               {"changing", status.placement.changing},
                                               {"unknown", status.placement.unknown}});
        }
    }
    return rows;
}

boost::json::object memberJson(const Member &member)
{
    return {{"host", member.host.text()},
            {"domain", member.domain.text()},
            {"state", member.leaving && member.state != MemberState::Dead ? "leaving" : nameOf(memberStateNames, member.state)},
            {"incarnation", std::to_string(member.incarnation.start) + "." + std::to_string(member.incarnation.refutations)},
            {"preset_version", member.presetVersion}};
}

} // namespace

boost::json::value statusJson(const HostReport &report)
{
    boost::json::array shards;
    for (const PermitShardStatus &shard : report.permits.shards) {
        shards.push_back(shardJson(shard));
    }
    boost::json::object preset{{"version", report.preset ? report.preset->version : 0},
                               {"name", report.preset ? report.preset->preset.name.text() : ""},
                               {"by", report.preset ? report.preset->by.text() : ""},
                               {"alarms", report.alarms.regressed + report.alarms.forked + report.alarms.unreadable}};
    return boost::json::object{{"host", report.host.text()},
                               {"domain", report.domain.text()},
                               {"ready", report.ready},
                               {"stage", nameOf(drainStageNames, report.drain)},
                               {"uptime_s", toSeconds(report.uptime)},
                               {"preset", std::move(preset)},
                               {"platform", report.platformReached ? "reached" : "no answer"},
                               {"hears_peers", report.receivesFromPeers},
                               {"sees_majority", report.permits.seesMajority},
                               {"requests",
                                boost::json::object{{"running", report.relay.running},
                                                    {"started", report.relay.started},
                                                    {"held_answers", report.relay.held},
                                                    {"connections", report.relay.connections},
                                                    {"memory_bytes", report.relay.memoryBytes}}},
                               {"shards", std::move(shards)},
                               {"ledger", ledgerJson(report.ledger)},
                               {"places_for", placementJson(report.placement)}};
}

boost::json::value hostsJson(const Member &self, std::span<const Member> members)
{
    boost::json::array rows;
    rows.push_back(memberJson(self));
    for (const Member &member : members) {
        rows.push_back(memberJson(member));
    }
    return rows;
}

boost::json::value endpointsJson(std::span<const Endpoint> endpoints, const std::map<EndpointId, EndpointStatus> &seen)
{
    boost::json::array rows;
    for (const Endpoint &endpoint : endpoints) {
        boost::json::object row{{"endpoint", endpoint.id.text()},
                                {"shard", endpoint.shard.text()},
                                {"domain", endpoint.domain.text()},
                                {"state", nameOf(endpointStateNames, endpoint.state)}};
        const auto found = seen.find(endpoint.id);
        if (found != seen.end()) {
            row["limit"] = found->second.limit;
            row["in_flight"] = found->second.inFlight;
            row["speed"] = found->second.speed;
            row["straggler"] = found->second.straggler;
            row["obstacle"] = nameOf(obstacleNames, found->second.obstacle);
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

boost::json::value explainJson(std::span<const Span> spans)
{
    boost::json::array rows;
    for (const Span &span : spans) {
        std::string why;
        for (const SpanAttribute &attribute : span.attributes) {
            why.append(why.empty() ? "" : ", ").append(attribute.first).append("=").append(attribute.second);
        }
        const double start = static_cast<double>(span.startUnixUs - spans.front().startUnixUs) / millisecondsPerSecond;
        rows.push_back(boost::json::object{{"host", span.host.text()},
                                           {"hop", hopName(span.hop)},
                                           {"start_ms", start},
                                           {"duration_ms", milliseconds(span.duration)},
                                           {"why", why},
                                           {"trace", span.traceId}});
    }
    return rows;
}

boost::json::value otlpJson(std::span<const Span> spans)
{
    boost::json::array documents;
    for (const Span &span : spans) {
        documents.push_back(boost::json::parse(otlpLine(span)));
    }
    return documents;
}

boost::json::value presetListJson(std::span<const LibraryPreset> library, const PresetPointer &inForce)
{
    boost::json::array rows;
    const PresetName current = inForce ? inForce->preset.name : PresetName();
    bool listed = false;
    for (const LibraryPreset &entry : library) {
        listed = listed || entry.preset.name == current;
        rows.push_back(boost::json::object{
            {"name", entry.preset.name.text()}, {"in_force", entry.preset.name == current ? "yes" : ""}, {"description", entry.preset.description}});
    }
    if (!listed && inForce) {
        rows.push_back(boost::json::object{{"name", current.text()}, {"in_force", "yes, not in the library"}, {"description", inForce->preset.description}});
    }
    return rows;
}

boost::json::value historyJson(std::span<const PresetHistoryEntry> history)
{
    boost::json::array rows;
    for (const PresetHistoryEntry &entry : history) {
        rows.push_back(boost::json::object{{"version", entry.version},
                                           {"name", entry.name.text()},
                                           {"by", entry.by.text()},
                                           {"accepted", entry.acceptedUnixMs},
                                           {"operation", entry.operation.text()}});
    }
    return rows;
}

} // namespace Rhubarbwind
