// Promise: a client receives the complete answer to its own request and never any part of the answer to another client's request.
#include "core/net/http_client.h"
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions oneEngine()
{
    return { .zones = { "kushiro-hall" }, .controllers = 1, .engineArguments = { "--token-us", "3000" } };
}

// The gateway's answer to a request to resume a stream.
struct ResumeAnswer {
    int status { 0 };
    std::string body {};
};

// Requests the rest of the answer `id`, from after the event `position` (Last-Event-ID), or from its beginning if that is empty.
ResumeAnswer resume(const Address& gateway, const std::string& id, const std::string& position, const std::string& key = Cluster::teamKey)
{
    HttpCall call { .path = "/v1/requests/" + id, .headers = { { "Authorization", "Bearer " + key } }, .readTimeout = longWait };
    if (!position.empty())
        call.headers.emplace("Last-Event-ID", position);
    auto reply = sendHttp(gateway, call);
    return reply ? ResumeAnswer { .status = reply.value().status, .body = reply.value().body } : ResumeAnswer {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(WholeAnswer)

BOOST_AUTO_TEST_CASE(late_crossed_repeated_and_truncated_events_of_an_engine)
{
    Cluster cluster(oneEngine());
    BOOST_REQUIRE(cluster.deploy(1));
    for (const auto* fault : { "cross", "repeat", "gap", "truncate", "cut" }) {
        BOOST_TEST_CONTEXT("fault " << fault)
        {
            cluster.post(cluster.engines()[0].address, "/control", { { "fault", fault }, { "after", 4 } });
            std::vector<BackgroundChat> chats;
            for (unsigned n = 0; n < 4; ++n)
                chats.push_back(startChat(cluster, cluster.gateway(0).http, std::string(fault) + std::to_string(n), 40));
            requireComplete(chats);
        }
    }
    BOOST_CHECK_GT(cluster.get(cluster.engines()[0].address, "/control").value("faults", 0), 100);
    BOOST_CHECK_GT(cluster.metric(cluster.gateway(0), "onyxnotch_frames_dropped_total"), 0);
}

BOOST_AUTO_TEST_CASE(many_callers_on_one_engine_get_their_own_answers)
{
    Cluster cluster(oneEngine());
    BOOST_REQUIRE(cluster.deploy(1));
    std::vector<BackgroundChat> chats;
    for (unsigned n = 0; n < 24; ++n)
        chats.push_back(startChat(cluster, cluster.gateway(0).http, "lot " + std::to_string(n), 30 + n));
    requireComplete(chats);
}

BOOST_AUTO_TEST_CASE(the_engine_is_killed_in_the_middle_of_an_answer)
{
    auto options = oneEngine();
    options.enginesPerZone = 2;
    options.engineArguments = { "--token-us", "10000" };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(2));
    std::vector<BackgroundChat> chats;
    for (unsigned n = 0; n < 8; ++n)
        chats.push_back(startChat(cluster, cluster.gateway(0).http, "plan " + std::to_string(n), 120));
    waitStreaming(chats);
    cluster.engines()[0].process->kill();
    requireComplete(chats);
    BOOST_CHECK_GT(cluster.metric(cluster.gateway(0), "onyxnotch_recomputed_tokens_total"), 0);
}

BOOST_AUTO_TEST_CASE(a_resume_at_a_wrong_place_or_by_another_team_is_refused)
{
    Cluster cluster(oneEngine());
    BOOST_REQUIRE(cluster.deploy(1));
    auto client = cluster.client();
    auto answer = client.chat({ .service = "planner", .prompt = "roster", .maximumTokens = 20 });
    BOOST_REQUIRE(answer.outcome == RequestOutcome::Completed);
    auto& gateway = cluster.gateway(0);
    auto fromStart = resume(gateway.http, answer.requestId, {});
    BOOST_CHECK_EQUAL(fromStart.status, 200);
    auto idAt = fromStart.body.find("id: ");
    BOOST_REQUIRE(idAt != std::string::npos);
    auto position = fromStart.body.substr(idAt + 4, fromStart.body.find('\n', idAt) - idAt - 4);
    auto attempt = position.substr(0, position.rfind(':'));
    BOOST_CHECK_EQUAL(resume(gateway.http, answer.requestId, attempt + ":5").status, 200);
    BOOST_CHECK_EQUAL(resume(gateway.http, answer.requestId, attempt + ":999999").status, 409);
    BOOST_CHECK_EQUAL(resume(gateway.http, answer.requestId, "another-attempt:5").status, 409);
    BOOST_CHECK_EQUAL(resume(gateway.http, answer.requestId, "nonsense").status, 400);
    auto otherTeam = resume(gateway.http, answer.requestId, {}, Cluster::otherTeamKey);
    BOOST_CHECK_EQUAL(otherTeam.status, 404);
    BOOST_CHECK(otherTeam.body.find("roster") == std::string::npos);
    BOOST_CHECK_EQUAL(resume(gateway.http, answer.requestId, {}, "unknown key").status, 401);
}

BOOST_AUTO_TEST_SUITE_END()
