#include "duties/dutystate.h"

#include "base/jsonreader.h"

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace json = boost::json;

constexpr std::size_t longestName = 1024;
constexpr std::size_t longestUsage = std::size_t{512} * 1024;
constexpr std::size_t mostGoals = 1000;
constexpr std::size_t mostDomains = 1000;
constexpr std::uint32_t mostEngines = 1'000'000;

json::object goalJson(const EngineGoal &goal)
{
    json::array domains;
    for (const FailureDomain &domain : goal.domains) {
        domains.emplace_back(domain.text());
    }
    return {{"service", goal.service.text()}, {"need", goal.need}, {"each_domain", goal.eachDomain}, {"domains", std::move(domains)}};
}

EngineGoal readGoal(JsonReader &reader)
{
    EngineGoal goal;
    std::string service;
    std::vector<std::string> domains;
    reader.text("service", service, longestName, true);
    reader.integer("need", goal.need, 0, mostEngines);
    reader.integer("each_domain", goal.eachDomain, 0, mostEngines);
    reader.texts("domains", domains, mostDomains);
    goal.service = ShardId(service);
    for (const std::string &domain : domains) {
        goal.domains.emplace_back(domain);
    }
    return goal;
}

} // namespace

std::string formatDutyState(const DutyState &note)
{
    json::array engines;
    for (const EngineGoal &goal : note.engines) {
        engines.push_back(goalJson(goal));
    }
    return json::serialize(json::object{{"usage", note.usage}, {"engines", std::move(engines)}});
}

DutyState parseDutyState(std::string_view text)
{
    const Result<json::value, DocumentFaults> document = parseDocument(text);
    if (!document) {
        return {};
    }
    DutyState note;
    DocumentFaults faults;
    JsonReader reader(document.value(), "", faults);
    reader.text("usage", note.usage, longestUsage);
    reader.objects("engines", mostGoals, [&note](JsonReader &entry) { note.engines.push_back(readGoal(entry)); });
    return faults.empty() ? note : DutyState();
}

} // namespace Rhubarbwind
