// Controllers place exactly the declared number of endpoints, although leases expire, orders carry outdated fencing tokens, the cloud
// refuses to start instances, or a controller is killed at any step of a placement.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

struct CloudCounts {
    long started { 0 };
    long terminated { 0 };
    std::size_t running { 0 };
};

CloudCounts cloudCounts(const Cluster& cluster)
{
    auto counts = cluster.get(cluster.cloud(), "/control");
    return { .started = counts.value("started", 0L), .terminated = counts.value("terminated", 0L), .running = cluster.get(cluster.cloud(), "/v1/instances")["instances"].size() };
}

// The fencing tokens of the orders that an engine received, in order of arrival.
std::vector<std::uint64_t> fencesAt(const Cluster& cluster, const EngineProcess& engine)
{
    std::vector<std::uint64_t> fences;
    auto counts = cluster.get(engine.address, "/control");
    for (const auto& it : counts.value("orders", Json::array()))
        fences.push_back(it["fence"]);
    return fences;
}

// Waits for a controller that holds leases; null if none does in time.
Process* leaseHolder(Cluster& cluster)
{
    Process* found = nullptr;
    waitUntil([&] {
        for (auto& it : cluster.controllers()) {
            auto address = it->listening("http");
            if (cluster.get(address, "/readyz").value("leases", 0) > 0)
                found = it.get();
        }
        return found != nullptr;
    });
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Controllers)

// Kills the first controller that reaches the step.
BOOST_AUTO_TEST_CASE(killed_in_each_step_of_a_placement)
{
    for (const auto* step : { "lease_taken", "plan_written", "instance_ordered", "load_ordered" }) {
        BOOST_TEST_CONTEXT("killed at " << step)
        {
            Cluster cluster({ .controllers = 3, .engineArguments = { "--load-ms", "200" } });
            BOOST_REQUIRE_EQUAL(cluster.apply(cluster.declaration(3)).exitCode, 0);
            Process* victim = nullptr;
            BOOST_REQUIRE(waitUntil([&] {
                for (auto& it : cluster.controllers()) {
                    if (it->waitEvent(step, Milliseconds(1)))
                        victim = it.get();
                }
                return victim != nullptr;
            }));
            victim->kill();
            BOOST_CHECK(cluster.waitForEndpoints(3));
            auto counts = cloudCounts(cluster);
            BOOST_CHECK_EQUAL(counts.started, 3);
            BOOST_CHECK_EQUAL(counts.running, 3);
            BOOST_CHECK_EQUAL(counts.terminated, 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(answers_of_the_object_service_are_lost_during_a_placement)
{
    Cluster cluster;
    cluster.post(cluster.objects(), "/control", { { "mode", "lose_write_answers" }, { "path", "status/" }, { "count", 6 } });
    BOOST_REQUIRE(cluster.deploy(3));
    auto counts = cloudCounts(cluster);
    BOOST_CHECK_EQUAL(counts.started, 3);
    BOOST_CHECK_EQUAL(counts.running, 3);
}

BOOST_AUTO_TEST_CASE(an_instance_that_no_slot_knows_is_ended)
{
    Cluster cluster({ .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(3));
    // An instance as it remains if a lease holder dies after it ordered the instance and the record of the order is lost.
    cluster.post(cluster.cloud(), "/v1/instances", { { "client_token", "onyxnotch-slot-999" }, { "zone", "kushiro-hall" }, { "class", "a10" }, { "market", "reclaimable" } });
    // An instance of another product in the same account must not be terminated.
    cluster.post(cluster.cloud(), "/v1/instances", { { "client_token", "another-product" }, { "zone", "nemuro-hall" }, { "class", "a10" }, { "market", "reclaimable" } });
    BOOST_CHECK(waitUntil([&] { return cloudCounts(cluster).terminated == 1; }));
    BOOST_CHECK_EQUAL(cloudCounts(cluster).running, 4);
}

BOOST_AUTO_TEST_CASE(refused_starts_are_tried_elsewhere)
{
    Cluster cluster({ .enginesPerZone = 3 });
    cluster.post(cluster.cloud(), "/control/capacity", { { "zone", "kushiro-hall" }, { "market", "reclaimable" }, { "refuse", true } });
    BOOST_REQUIRE(cluster.deploy(3));
    auto list = cluster.get(cluster.cloud(), "/v1/instances");
    for (const auto& it : list["instances"])
        BOOST_CHECK(it["zone"] != "kushiro-hall");
    BOOST_CHECK_GT(cluster.get(cluster.cloud(), "/control").value("refused", 0), 0);
}

BOOST_AUTO_TEST_CASE(a_reclaimed_endpoint_is_replaced)
{
    Cluster cluster({ .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(3));
    auto first = cluster.get(cluster.cloud(), "/v1/instances")["instances"][0]["id"].get<std::string>();
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ first }) }, { "time_left_ms", 500 } });
    BOOST_REQUIRE(waitUntil([&] { return cloudCounts(cluster).started == 4; }));
    BOOST_CHECK(cluster.waitForEndpoints(3));
}

// The lease holder is suspended until its lease has expired and another controller has taken it, then resumes. Its orders carry an outdated
// fencing token: engines that check tokens refuse such orders, and engines that do not check them must not receive any.
BOOST_AUTO_TEST_CASE(a_paused_holder_gives_no_order_after_its_lease)
{
    for (bool checksFences : { true, false }) {
        BOOST_TEST_CONTEXT("engines check fences: " << checksFences)
        {
            ClusterOptions options { .controllers = 2, .enginesPerZone = 2 };
            if (!checksFences)
                options.engineArguments = { "--ignore-fences" };
            Cluster cluster(options);
            auto declaration = cluster.declaration(3);
            declaration["objects"].back()["spec"]["checksFences"] = checksFences;
            BOOST_REQUIRE_EQUAL(cluster.apply(declaration).exitCode, 0);
            BOOST_REQUIRE(cluster.waitForEndpoints(3));
            auto* first = leaseHolder(cluster);
            BOOST_REQUIRE(first);
            BOOST_REQUIRE(first->freeze());
            // The number of replicas is raised while the first holder is suspended.
            declaration["objects"].back()["spec"]["replicas"] = 5;
            BOOST_REQUIRE_EQUAL(cluster.apply(declaration).exitCode, 0);
            BOOST_CHECK(cluster.waitForEndpoints(5));
            first->thaw();
            declaration["objects"].back()["spec"]["replicas"] = 6;
            BOOST_REQUIRE_EQUAL(cluster.apply(declaration).exitCode, 0);
            BOOST_CHECK(cluster.waitForEndpoints(6));
            for (const auto& it : cluster.engines()) {
                auto fences = fencesAt(cluster, it);
                BOOST_CHECK(std::is_sorted(fences.begin(), fences.end()));
            }
            auto counts = cloudCounts(cluster);
            BOOST_CHECK_EQUAL(counts.started, 6);
            BOOST_CHECK_EQUAL(counts.running, 6);
        }
    }
}

BOOST_AUTO_TEST_CASE(callers_notice_nothing_of_dead_controllers)
{
    Cluster cluster;
    BOOST_REQUIRE(cluster.deploy(3));
    for (auto& it : cluster.controllers())
        it->kill();
    std::vector<BackgroundChat> chats;
    for (unsigned n = 0; n < 6; ++n)
        chats.push_back(startChat(cluster, cluster.gateway(n % 3).http, "slot " + std::to_string(n), 20));
    requireComplete(chats);
}

BOOST_AUTO_TEST_SUITE_END()
