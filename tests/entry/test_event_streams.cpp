// Tests event streams with real entry processes: clients receive every event once and in order, also if an endpoint breaks the stream off.
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// Adds a second endpoint to the site. Both answer a new stream with events 1 to 3, followed by `end`, in one write, and complete a resumed
// stream up to event 6.
Fakes::ScriptedEndpoint& breakNewStreams(SingleNodeSite& one, const std::string& end, Ending ending)
{
    auto script = [end, ending](const Fakes::ReceivedRequest& it) {
        auto last = std::string(it.head.value("last-event-id"));
        if (last.empty())
            return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 3) + end, .ending = ending };
        return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(std::stoi(last) + 1, 6) + "0\r\n\r\n" };
    };
    one.endpoint.setScript(script);
    auto& other = one.site.addEndpoint("i-2", script);
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-2\"") != std::string::npos; }, Milliseconds(10000)));
    return other;
}

constexpr auto partOfAnEvent = "7\r\nid: 4\nd\r\n";
constexpr auto endOfBody = "0\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreams)

BOOST_AUTO_TEST_CASE(events_are_forwarded_as_they_arrive)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 2), .ending = Ending::Hang }; });
    RawClient caller(one.node.callers);
    caller.send(request("POST", "/stream/a", "id-1", "", "x"));
    BOOST_TEST(caller.readUntil("id: 2\ndata: x\n\n"));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_look_complete)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 2), .ending = Ending::Close }; });
    auto answer = one.sendRequest(request("POST", "/stream/a", "id-1", "", "x"));
    BOOST_TEST(!answer.whole);
    BOOST_TEST(one.endpoint.requests().size() == 1U);
    // After events 1 and 2, event 4 leaves a gap, and event 2 is a duplicate.
    for (auto second : { 4, 2 }) {
        one.endpoint.setScript([second](const auto& it) { return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 2) + eventChunk(second) + "0\r\n\r\n" }; });
        auto wrong = one.sendRequest(request("POST", "/stream/a", "id-" + std::to_string(second), "", "x"));
        BOOST_TEST((!wrong.whole || wrong.head.status == HttpStatus::badGateway));
    }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_continues_at_another_endpoint_with_its_first_head)
{
    SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse {}; });
    auto& other = breakNewStreams(one, "", Ending::Reset);
    auto answer = one.sendRequest(request("POST", "/resume/a", "id-1", "", "x"));
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.body == plainEvents(1, 6));
    auto firstAtOne = !one.endpoint.requests().empty() && !one.endpoint.requests()[0].head.find("last-event-id");
    BOOST_TEST(answer.head.value("server-stamp") == (firstAtOne ? "stamp-i-1" : "stamp-i-2"));
    BOOST_TEST(one.endpoint.requests().size() + other.requests().size() == 2U);
}

// Guards against a resumed stream that looks complete but lacks the events that arrived together with the break.
BOOST_AUTO_TEST_CASE(events_that_arrive_with_a_break_are_forwarded_before_the_stream_is_resumed)
{
    for (const auto& end : { partOfAnEvent + std::string(endOfBody), eventChunk(5) }) {
        SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse {}; });
        auto& other = breakNewStreams(one, end, Ending::Keep);
        auto answer = one.sendRequest(request("POST", "/resume/a", "id-1", "", "x"));
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.body == plainEvents(1, 6));
        auto requests = one.endpoint.requests();
        auto others = other.requests();
        requests.insert(requests.end(), others.begin(), others.end());
        BOOST_REQUIRE(requests.size() == 2U);
        auto isSecondResumed = requests[1].head.find("last-event-id") != nullptr;
        BOOST_TEST(requests[isSecondResumed ? 1 : 0].head.value("last-event-id") == "3");
    }
}

// Guards against a stream that cannot be resumed and lacks the events that arrived together with the break.
BOOST_AUTO_TEST_CASE(events_that_arrive_with_a_break_are_forwarded_before_a_stream_is_cut)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 3) + partOfAnEvent + endOfBody }; });
    RawClient caller(one.node.callers);
    caller.send(request("POST", "/stream/a", "id-1", "", "x"));
    BOOST_TEST(caller.readUntil("id: 3\ndata: x\n\n"));
    BOOST_TEST(!caller.read().whole);
}

BOOST_AUTO_TEST_SUITE_END()
