// Streams that go on after a break, where endpoints of several software versions serve.

#include "gateway/gatewayfakes_test.h"

#include <catch2/catch.hpp>

using namespace Rhubarbwind;
using namespace Rhubarbwind::GatewayTest;

namespace
{

constexpr int lastEvent = 4;

/** Sends the events after Last-Event-ID; a stream from its begin stops after two events. */
FakeEndpoint::Script scriptOf(const std::string &version, std::vector<std::string> &runs, bool breaks)
{
    return [version, &runs, breaks](Peer &peer, const std::string &request) {
        runs.push_back(version);
        const std::string from = headerOf(request, "Last-Event-ID");
        const int first = from.empty() ? 1 : std::stoi(from) + 1;
        std::string events;
        for (int id = first; id <= (from.empty() ? 2 : lastEvent); ++id) {
            events += chunk(event(id));
        }
        peer.send(streamTo(request) + events + (from.empty() ? "" : "0\r\n\r\n"));
        if (from.empty() && breaks) {
            peer.reset();
        }
    };
}

/** A host before endpoints whose versions alternate. */
struct VersionScene : Scene
{
    explicit VersionScene(const std::vector<std::string> &versions, bool breaks)
    {
        for (std::size_t i = 0; i < versions.size(); ++i) {
            endpoint("e" + std::to_string(i), scriptOf(versions[i], runs, breaks), versions[i]);
        }
    }
    std::vector<std::string> runs; ///< versions of the endpoints that ran a request
};

const std::vector<std::string> twoVersions{"v1", "v2", "v1", "v2", "v1", "v2"};

} // namespace

TEST_CASE("a stream is resumed within one answer only at the software version that began it", "[whole-answer]")
{
    // Failure: the endpoint broke off, and the stream went on at an endpoint of another version.
    VersionScene scene(twoVersions, true);
    for (int i = 0; i < 10; ++i) {
        scene.runs.clear();
        const std::shared_ptr<Peer> caller = scene.caller();
        caller->send(Scene::request("POST", "/resumable/", "r" + std::to_string(i), {}, "x"));
        REQUIRE(scene.until([&] { return contains(caller->received, "0\r\n\r\n"); }));
        REQUIRE(scene.runs.size() == 2);
        CHECK(scene.runs.front() == scene.runs.back());
    }
}

TEST_CASE("a stream that its caller resumes goes on only at the software version that began it", "[whole-answer]")
{
    // Failure: the caller came back for the rest of a stream, and got it from an endpoint of another version.
    VersionScene scene(twoVersions, false);
    for (int i = 0; i < 10; ++i) {
        scene.runs.clear();
        const std::string attempt = "r" + std::to_string(i);
        const std::shared_ptr<Peer> caller = scene.caller();
        caller->send(Scene::request("POST", "/resumable/", attempt, {}, "x"));
        REQUIRE(scene.until([&] { return contains(caller->received, "data: 2"); }));
        caller->close();
        const std::shared_ptr<Peer> again = scene.caller();
        again->send(Scene::request("POST", "/resumable/", attempt + "-again", "Last-Event-ID: 2\r\nX-Resumes-Request: " + attempt + "\r\n", "x"));
        REQUIRE(scene.until([&] { return contains(again->received, "0\r\n\r\n"); }));
        REQUIRE(scene.runs.size() == 2);
        CHECK(scene.runs.front() == scene.runs.back());
    }
}
