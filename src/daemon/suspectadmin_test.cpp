// On-call's calls about requests that end endpoints.

#include "base/digest.h"
#include "daemon/suspectadmin.h"

#include <catch2/catch.hpp>

#include <boost/beast/http.hpp>
#include <boost/json.hpp>

using namespace Rhubarbwind;

namespace
{

namespace Http = boost::beast::http;

const TimePoint start(10h);

class Scene
{
public:
    Scene()
        : admin({{OperatorName("on-call"), sha256Hex("token")}}, ports())
    {
        for (std::uint64_t i = 1; i <= 3; ++i) {
            book.struck(guilty, {i, 1, start + static_cast<int>(i) * 1s}, start + 3s);
        }
        book.struck({{7, 8}, 9, 1}, {5, 1, start}, start);
    }

    AdminAnswer ask(Http::verb method, const std::string &target, const std::string &token = "token") const
    {
        HttpRequest request(method, target, 11);
        request.set(Http::field::authorization, "Bearer " + token);
        return admin.answer(request);
    }

    const Suspect guilty{{0x0123456789abcdef, 0xfedcba9876543210}, 1, 1};
    SuspectBook book{SuspectOptions()};
    std::vector<OperatorName> lifters;
    SuspectAdmin admin;

private:
    SuspectAdminPorts ports()
    {
        SuspectAdminPorts made;
        made.now = [] { return start + 10s; };
        made.rows = [this] { return book.rows(start + 10s); };
        made.statements = [] {
            StatementRow limited{EndpointId("e1"), ShardId("s"), FailureDomain("north"), {}};
            limited.state.rateLimit = 5;
            limited.state.rateShare = 0.5;
            StatementRow leaving{EndpointId("e2"), ShardId("s"), FailureDomain("north"), {}};
            leaving.state.leavingAge = 3s;
            StatementRow backoff{EndpointId("e3"), ShardId("s"), FailureDomain("north"), {}};
            backoff.state.backoffLeft = 2500ms;
            return std::vector<StatementRow>{limited, leaving, backoff, {EndpointId("e4"), ShardId("s"), FailureDomain("north"), {}}};
        };
        made.lift = [this](const RequestIdentity &identity) { return identity == guilty.identity && book.cleared(guilty, start + 10s, start + 10s); };
        made.onLifted = [this](const RequestIdentity &, const OperatorName &by) { lifters.push_back(by); };
        return made;
    }
};

} // namespace

TEST_CASE("on-call sees what is held, with its endings and for how long, the held ones first", "[quarantine]")
{
    const Scene scene;
    const AdminAnswer answer = scene.ask(Http::verb::get, "/admin/suspects");
    CHECK(answer.status == 200);
    const boost::json::array &rows = answer.body.as_array();
    REQUIRE(rows.size() == 2);
    CHECK(rows[0].at("identity").as_string() == "0123456789abcdeffedcba9876543210");
    CHECK(rows[0].at("standing").as_string() == "held");
    CHECK(rows[0].at("endings").to_number<int>() == 3);
    CHECK(rows[0].at("last_ending_s").to_number<double>() == 7);
    CHECK(rows[0].at("held_for_s").to_number<double>() == 593);
    CHECK(rows[1].at("standing").as_string() == "suspect");
    CHECK(rows[1].at("held_for_s").is_null());
}

TEST_CASE("on-call lifts a hold by its identity, and is told what is not there", "[quarantine]")
{
    Scene scene;
    const std::string lift = "/admin/suspects/0123456789abcdeffedcba9876543210/lift";
    CHECK(scene.ask(Http::verb::post, lift, "wrong").status == 401);
    CHECK(scene.ask(Http::verb::get, lift).status == 405);
    CHECK(scene.ask(Http::verb::post, "/admin/suspects/short/lift").status == 400);
    CHECK(scene.ask(Http::verb::post, "/admin/suspects/00000000000000000000000000000000/lift").status == 404);
    CHECK(scene.ask(Http::verb::get, "/admin/hosts").status == 404);
    CHECK(scene.lifters.empty());
    CHECK(scene.ask(Http::verb::post, lift).status == 200);
    CHECK(scene.lifters == std::vector<OperatorName>{OperatorName("on-call")});
    CHECK(scene.ask(Http::verb::post, lift).status == 404);
    CHECK(scene.ask(Http::verb::get, "/admin/suspects").body.as_array()[1].at("standing").as_string() == "cleared");
}

TEST_CASE("on-call sees what endpoints state about themselves", "[endpoint-limit][endpoint-drain][endpoint-backoff]")
{
    const Scene scene;
    CHECK(scene.ask(Http::verb::get, "/admin/endpoint-statements", "wrong").status == 401);
    const AdminAnswer answer = scene.ask(Http::verb::get, "/admin/endpoint-statements");
    REQUIRE(answer.status == 200);
    const boost::json::array &rows = answer.body.as_array();
    REQUIRE(rows.size() == 4);
    CHECK(rows[0].at("state") == "limited");
    CHECK(rows[0].at("rate_limit") == 5.0);
    CHECK(rows[0].at("rate_share") == 0.5);
    CHECK(rows[1].at("state") == "leaving");
    CHECK(rows[1].at("leaving_s") == 3.0);
    CHECK(rows[2].at("state") == "backoff");
    CHECK(rows[2].at("backoff_s") == 2.5);
    CHECK(rows[3].at("state") == "open");
    CHECK(rows[3].at("rate_limit").is_null());
}
