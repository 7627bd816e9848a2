#include "relay/relaybench_test.h"

namespace Rhubarbwind::RelayBench
{

TEST_CASE("A stream goes from the endpoint to its caller with its outcome", "[relay][whole-answer]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {{sseHead() + tokens(1, 3) + doneEvent()}});
    bench.endpoints["e1"] = engine.port();
    bench.permits.answers = {grantOf("e1")};
    const std::unique_ptr<Caller> caller = bench.call(chatText({}));
    CHECK(caller->answer().result_int() == 200);
    CHECK(caller->answer().body().find("\"t3\"") != std::string::npos);
    CHECK(caller->answer().body().find("event: outcome\ndata: {\"outcome\":\"completed\"") != std::string::npos);
    REQUIRE(bench.permits.releases.size() == 1);
    CHECK(bench.permits.releases[0].kind == ReleaseKind::Completed);
    CHECK(bench.permits.releases[0].tokens == 3);
    CHECK(bench.metrics.value("rhubarbwind_requests_total", {{"class", "quick"}, {"outcome", "completed"}}) == 1);
    CHECK(engine.requests()[0].find("\"priority\":3") != std::string::npos);
}

TEST_CASE("A caller that asked for no stream gets one whole answer", "[relay][whole-answer]")
{
    Bench bench;
    ScriptedEndpoint engine(bench.io, {{sseHead() + tokens(1, 3) + doneEvent()}});
    bench.endpoints["e1"] = engine.port();
    bench.permits.answers = {grantOf("e1")};
    const std::unique_ptr<Caller> caller = bench.call(chatText({"quick", false, ""}));
    CHECK(caller->header("X-Rhubarbwind-Outcome") == "completed");
    CHECK(caller->answer().body().find("\"content\":\"t1t2t3\"") != std::string::npos);
}

} // namespace Rhubarbwind::RelayBench
