#pragma once

// Answers of hosts' admin ports: JSON with a stable type for each refusal.

#include "daemon/adminrouter.h"
#include "relay/httpserver.h"

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

namespace Rhubarbwind
{

/** An answer of the admin front. */
struct AdminAnswer
{
    unsigned status = 200;
    boost::json::value body;
};

/** @param type stable text for programs  @param message one sentence for people */
AdminAnswer adminError(unsigned status, std::string_view type, std::string_view message);
AdminAnswer refusalAnswer(AdminRefusal refusal);

HttpResponse textResponse(unsigned status, std::string_view type, std::string body);
HttpResponse jsonResponse(const AdminAnswer &answer);

/** By the request's method, target and token. */
Result<RoutedCall, AdminRefusal> routeRequest(std::span<const OperatorEntry> operators, const HttpRequest &request);

} // namespace Rhubarbwind
