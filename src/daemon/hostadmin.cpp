#include "daemon/hostadmin.h"

#include "daemon/statusreport.h"
#include "preset/presetjson.h"

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

AdminAnswer platformFailure(const PlatformError &error)
{
    if (error.kind == PlatformErrorKind::NotFound) {
        return adminError(404, "not-found", "The platform holds no such object.");
    }
    return adminError(503, "platform-unavailable", "The platform did not answer; ask again later.");
}

/** A switch tells its version; a preset put into the library has none. */
AdminAnswer acceptedAnswer(const ChangeResult &result, std::string_view name)
{
    boost::json::object body{{"outcome", "accepted"}, {"name", name}};
    if (result.accepted) {
        body["version"] = result.accepted->version;
    }
    return {200, std::move(body)};
}

AdminAnswer changeAnswer(const ChangeResult &result, std::string_view name)
{
    switch (result.outcome) {
    case ChangeOutcome::Accepted:
        return acceptedAnswer(result, name);
    case ChangeOutcome::Lost:
        return adminError(409,
                          "lost",
                          "Another change stands: " + result.winnerPreset.text() + " by " + result.winner.text() + ", version "
                              + std::to_string(result.winnerVersion) + ".");
    case ChangeOutcome::NoSuchPreset:
        return adminError(404, "no-such-preset", "The library has no preset of this name; `preset apply` puts one there.");
    case ChangeOutcome::Faulty:
        return adminError(409, "faulty-preset", "The library's preset is not valid: " + describeFaults(result.faults));
    case ChangeOutcome::Refused:
        return adminError(502, "platform-refused", "The platform refused the write; nothing was changed.");
    case ChangeOutcome::NotApplied:
        return adminError(503, "platform-unavailable", "The platform could not be reached; nothing was changed.");
    case ChangeOutcome::Unresolved:
        return adminError(504, "unresolved", "No answer from the platform in time: the change may stand. Look with `preset list`.");
    }
    return adminError(500, "internal", "The outcome is unknown.");
}

HostReport reportOf(const HostParts &parts)
{
    return {parts.settings.host,
            parts.settings.domain,
            hostIsReady(parts),
            parts.drain.stage(),
            parts.presets->current(),
            parts.presets->alarms(),
            parts.platformReached,
            parts.members.hearsPeers(),
            parts.relay.stats(),
            parts.permits->status(),
            parts.claims->status(),
            parts.placement->status(),
            SteadyClock::now() - parts.started};
}

boost::json::value endpointRows(HostParts &parts)
{
    std::map<EndpointId, EndpointStatus> seen;
    for (const ShardId &shard : parts.directory.shards()) {
        parts.permits->withPool(shard, [&seen](EndpointPool &pool) {
            for (const EndpointStatus &status : pool.status(SteadyClock::now())) {
                seen.emplace(status.endpoint, status);
            }
        });
    }
    return endpointsJson(parts.directory.all(), seen);
}

boost::json::value customerRows(const HostParts &parts)
{
    boost::json::array rows;
    const PresetPointer preset = parts.presets->current();
    if (!preset) {
        return rows;
    }
    for (const CustomerRule &customer : preset->preset.customers) {
        const Labels labels{{"customer", customer.name.text()}};
        rows.push_back(boost::json::object{{"customer", customer.name.text()},
                                           {"weight", customer.weight},
                                           {"requests", parts.metrics.value("rhubarbwind_customer_requests_total", labels)},
                                           {"tokens", parts.metrics.value("rhubarbwind_customer_tokens_total", labels)}});
    }
    return rows;
}

/** Gauges are read when they are asked for; counters are kept where they arise. */
std::string metricsText(HostParts &parts)
{
    Metrics &metrics = parts.metrics;
    const ArbiterHostStatus permits = parts.permits->status();
    const RelayStats relay = parts.relay.stats();
    const PresetPointer preset = parts.presets->current();
    metrics.set("rhubarbwind_ready", {}, hostIsReady(parts) ? 1 : 0);
    metrics.set("rhubarbwind_preset_version", {}, preset ? static_cast<double>(preset->version) : 0);
    metrics.set("rhubarbwind_live_hosts", {}, static_cast<double>(parts.members.view().aliveHosts().size()));
    metrics.set("rhubarbwind_platform_reached", {}, parts.platformReached ? 1 : 0);
    metrics.set("rhubarbwind_requests_running", {}, static_cast<double>(relay.running));
    metrics.set("rhubarbwind_memory_bytes", {}, static_cast<double>(relay.memoryBytes));
    for (const PermitShardStatus &shard : permits.shards) {
        const Labels labels{{"shard", shard.shard.text()}};
        metrics.set("rhubarbwind_fallback", labels, shard.desk.fallback ? 1 : 0);
        metrics.set("rhubarbwind_waiting", labels, static_cast<double>(shard.desk.waiting));
        metrics.set("rhubarbwind_arbiter_queued", labels, shard.arbiter ? static_cast<double>(shard.arbiter->queued) : 0);
    }
    std::uint64_t permitBytes = 0;
    for (const auto &[host, link] : permits.links) {
        permitBytes += link.bytesSent + link.bytesReceived;
    }
    metrics.set("rhubarbwind_permit_link_bytes", {}, static_cast<double>(permitBytes));
    const MembershipCounters &datagrams = parts.members.counters();
    metrics.set("rhubarbwind_membership_bytes", {}, static_cast<double>(datagrams.bytesIn + datagrams.bytesOut));
    return metrics.exposition();
}

void explainRequest(HostParts &parts, const RequestId &request, boost::json::value (*print)(std::span<const Span>), const AdminReply &reply)
{
    parts.explain->ask(request, parts.members.view().aliveHosts(), [print, reply](const std::vector<Span> &spans) {
        reply(spans.empty() ? adminError(404, "no-such-request", "No live host holds spans of this request.") : AdminAnswer{200, print(spans)});
    });
}

void showPreset(HostParts &parts, const PresetName &name, const AdminReply &reply)
{
    const PresetPointer current = parts.presets->current();
    if (name.text() == "in-force") {
        reply(current ? AdminAnswer{200, boost::json::parse(printPreset(current->preset))} : adminError(503, "no-preset", "This host holds no preset yet."));
        return;
    }
    parts.presets->list([name, reply](const PlatformResult<std::vector<LibraryPreset>> &library) {
        if (library.has_error()) {
            reply(platformFailure(library.error()));
            return;
        }
        for (const LibraryPreset &entry : library.value()) {
            if (entry.preset.name == name) {
                reply({200, boost::json::parse(printPreset(entry.preset))});
                return;
            }
        }
        reply(adminError(404, "no-such-preset", "The library has no preset of this name."));
    });
}

void drainHost(HostParts &parts, const HostOrders &orders, const HostId &host, const AdminReply &reply)
{
    const AdminAnswer ordered{202, boost::json::object{{"host", host.text()}, {"ordered", "planned stop"}}};
    if (host == parts.settings.host) {
        orders.stop();
        reply(ordered);
        return;
    }
    const Result<void, SendError> sent = parts.network.send(host, MessageKind::DrainOrder, {});
    reply(sent.has_value() ? ordered : adminError(404, "no-such-host", "No live host of this name is known here."));
}

/** The order is kept by the platform first, so that it outlives this host, and told to the members after. */
void drainEndpoint(HostParts &parts, const HostOrders &orders, const EndpointId &endpoint, const OperatorName &by, const AdminReply &reply)
{
    if (!parts.directory.find(endpoint)) {
        reply(adminError(404, "no-such-endpoint", "The host list has no endpoint of this name."));
        return;
    }
    const boost::json::object order{{"by", by.text()}, {"unix_ms", unixMilliseconds()}};
    parts.objects.put(std::string(drainOrderPrefix) + endpoint.text(),
                      boost::json::serialize(order),
                      WriteCondition::absent(),
                      [orders, endpoint, reply](const PlatformResult<ObjectVersion> &written) {
                          const bool already = written.has_error() && written.error().kind == PlatformErrorKind::Conflict;
                          if (written.has_error() && !already) {
                              reply(platformFailure(written.error()));
                              return;
                          }
                          orders.endpointLeaving(endpoint);
                          reply({202, boost::json::object{{"endpoint", endpoint.text()}, {"ordered", "drain"}}});
                      });
}

void undrainEndpoint(HostParts &parts, const HostOrders &orders, const EndpointId &endpoint, const AdminReply &reply)
{
    const std::string key = std::string(drainOrderPrefix) + endpoint.text();
    parts.objects.get(key, [&parts, orders, endpoint, key, reply](const PlatformResult<StoredObject> &order) {
        if (order.has_error()) {
            reply(platformFailure(order.error()));
            return;
        }
        parts.objects.remove(key, WriteCondition::atVersion(order.value().version), [orders, endpoint, reply](const PlatformResult<ObjectVersion> &removed) {
            if (removed.has_error()) {
                reply(platformFailure(removed.error()));
                return;
            }
            orders.endpointReturned(endpoint);
            reply({200, boost::json::object{{"endpoint", endpoint.text()}, {"ordered", "serve again"}}});
        });
    });
}

} // namespace

bool hostIsReady(const HostParts &parts)
{
    return parts.drain.stage() == DrainStage::Serving && parts.presets->ready();
}

AdminPorts adminPorts(HostParts &parts, const HostOrders &orders)
{
    AdminPorts ports;
    ports.ready = [&parts] { return hostIsReady(parts); };
    ports.metrics = [&parts] { return metricsText(parts); };
    ports.status = [&parts] { return statusJson(reportOf(parts)); };
    ports.hosts = [&parts] { return hostsJson(parts.members.view().self(), parts.members.view().members()); };
    ports.endpoints = [&parts] { return endpointRows(parts); };
    ports.customers = [&parts] { return customerRows(parts); };
    ports.explain = [&parts](const RequestId &request, const AdminReply &reply) { explainRequest(parts, request, explainJson, reply); };
    ports.explainOtlp = [&parts](const RequestId &request, const AdminReply &reply) { explainRequest(parts, request, otlpJson, reply); };
    ports.presetList = [&parts](const AdminReply &reply) {
        parts.presets->list([&parts, reply](const PlatformResult<std::vector<LibraryPreset>> &library) {
            reply(library.has_error() ? platformFailure(library.error()) : AdminAnswer{200, presetListJson(library.value(), parts.presets->current())});
        });
    };
    ports.presetShow = [&parts](const PresetName &name, const AdminReply &reply) { showPreset(parts, name, reply); };
    ports.presetApply = [&parts](const Preset &preset, const OperatorName &by, const AdminReply &reply) {
        parts.presets->apply(preset, by, [reply, name = preset.name](const ChangeResult &result) { reply(changeAnswer(result, name.text())); });
    };
    ports.presetSwitch = [&parts](const PresetName &name, const OperatorName &by, const AdminReply &reply) {
        parts.presets->switchTo(name, by, [reply, name](const ChangeResult &result) { reply(changeAnswer(result, name.text())); });
    };
    ports.presetHistory = [&parts](const AdminReply &reply) {
        parts.presets->history([reply](const PlatformResult<std::vector<PresetHistoryEntry>> &history) {
            reply(history.has_error() ? platformFailure(history.error()) : AdminAnswer{200, historyJson(history.value())});
        });
    };
    ports.drainHost = [&parts, orders](const HostId &host, const OperatorName &, const AdminReply &reply) { drainHost(parts, orders, host, reply); };
    ports.drainEndpoint = [&parts, orders](const EndpointId &endpoint, const OperatorName &by, const AdminReply &reply) {
        drainEndpoint(parts, orders, endpoint, by, reply);
    };
    ports.undrainEndpoint = [&parts, orders](const EndpointId &endpoint, const OperatorName &, const AdminReply &reply) {
        undrainEndpoint(parts, orders, endpoint, reply);
    };
    return ports;
}

} // namespace Rhubarbwind
