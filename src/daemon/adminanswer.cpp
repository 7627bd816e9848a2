#include "daemon/adminanswer.h"

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

namespace Rhubarbwind
{

namespace
{

namespace Http = boost::beast::http;

constexpr unsigned httpVersion11 = 11;

std::string_view viewOf(boost::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

HttpResponse textResponse(unsigned status, std::string_view type, std::string body)
{
    HttpResponse response(static_cast<Http::status>(status), httpVersion11);
    response.set(Http::field::content_type, std::string(type));
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

HttpResponse jsonResponse(const AdminAnswer &answer)
{
    return textResponse(answer.status, "application/json", boost::json::serialize(answer.body) + "\n");
}

AdminAnswer refusalAnswer(AdminRefusal refusal)
{
    switch (refusal) {
    case AdminRefusal::NoSuchPath:
        return adminError(404, "no-such-path", "There is nothing at this path.");
    case AdminRefusal::WrongMethod:
        return adminError(405, "wrong-method", "This path takes another method.");
    case AdminRefusal::Unauthorized:
        return adminError(401, "unauthorized", "An operator's token is needed.");
    }
    return adminError(500, "internal", "The refusal is unknown.");
}

AdminAnswer adminError(unsigned status, std::string_view type, std::string_view message)
{
    return {status, boost::json::object{{"error", boost::json::object{{"type", type}, {"message", message}}}}};
}

Result<RoutedCall, AdminRefusal> routeRequest(std::span<const OperatorEntry> operators, const HttpRequest &request)
{
    return routeAdminCall(operators, viewOf(request.method_string()), viewOf(request.target()), viewOf(request[Http::field::authorization]));
}

} // namespace Rhubarbwind
