#include "daemon/suspectadmin.h"

#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

std::string_view nameOf(Standing standing)
{
    switch (standing) {
    case Standing::Held:
        return "held";
    case Standing::Suspect:
        return "suspect";
    case Standing::Unsuspected:
        break;
    }
    return "cleared";
}

boost::json::object objectOf(const SuspectRow &row, TimePoint now)
{
    boost::json::object object;
    object["identity"] = textOf(row.suspect.identity);
    object["standing"] = nameOf(row.standing.standing);
    object["endings"] = row.standing.endings;
    object["last_ending_s"] = row.endings.empty() ? boost::json::value() : boost::json::value(toSeconds(now - row.endings.back().at));
    const bool isHeld = row.standing.standing == Standing::Held;
    object["held_for_s"] = isHeld ? boost::json::value(toSeconds(row.standing.heldUntil - now)) : boost::json::value();
    return object;
}

boost::json::value secondsOf(const std::optional<Duration> &duration)
{
    return duration ? boost::json::value(toSeconds(*duration)) : boost::json::value();
}

boost::json::object objectOf(const StatementRow &row)
{
    const AdvisoryState &state = row.state;
    boost::json::object object;
    object["endpoint"] = row.endpoint.text();
    object["service"] = row.service.text();
    object["domain"] = row.domain.text();
    const bool isOpen = !state.rateLimit && !state.leavingAge && !state.isListedLeaving && !state.backoffLeft;
    object["state"] = state.leavingAge ? "leaving" : state.isListedLeaving ? "listed-leaving" : state.backoffLeft ? "backoff" : isOpen ? "open" : "limited";
    object["rate_limit"] = state.rateLimit ? boost::json::value(*state.rateLimit) : boost::json::value();
    object["rate_share"] = state.rateLimit ? boost::json::value(state.rateShare) : boost::json::value();
    object["limit_age_s"] = state.rateLimit ? secondsOf(state.rateAge) : boost::json::value();
    object["backoff_s"] = secondsOf(state.backoffLeft);
    object["leaving_s"] = secondsOf(state.leavingAge);
    return object;
}

} // namespace

AdminAnswer SuspectAdmin::answer(const HttpRequest &request) const
{
    const Result<RoutedCall, AdminRefusal> routed = routeRequest(m_operators, request);
    if (routed.has_error()) {
        return refusalAnswer(routed.error());
    }
    switch (routed.value().call) {
    case AdminCall::Suspects:
        return listed();
    case AdminCall::EndpointStatements:
        return statements();
    case AdminCall::LiftSuspect:
        return lifted(routed.value());
    default:
        return adminError(404, "not-here", "This host has no such call.");
    }
}

AdminAnswer SuspectAdmin::listed() const
{
    const TimePoint now = m_ports.now();
    boost::json::array rows;
    for (const SuspectRow &row : m_ports.rows()) {
        rows.push_back(objectOf(row, now));
    }
    return {200, std::move(rows)};
}

AdminAnswer SuspectAdmin::statements() const
{
    boost::json::array rows;
    for (const StatementRow &row : m_ports.statements()) {
        rows.push_back(objectOf(row));
    }
    return {200, std::move(rows)};
}

AdminAnswer SuspectAdmin::lifted(const RoutedCall &routed) const
{
    const std::optional<RequestIdentity> identity = readIdentity(routed.arguments.front());
    if (!identity) {
        return adminError(400, "invalid-identity", "An identity has 32 hexadecimal digits.");
    }
    if (!m_ports.lift(*identity)) {
        return adminError(404, "not-suspected", "Nothing is held against this request.");
    }
    m_ports.onLifted(*identity, routed.by);
    return {200, boost::json::object{{"lifted", textOf(*identity)}}};
}

} // namespace Rhubarbwind
