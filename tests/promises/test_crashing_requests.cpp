// Promise: a prompt that crashes engines crashes at most four of eight, whichever gateways receive it, and other prompts are served.
//
// Guards against a prompt that crashed each engine that executed it. Its gateway retried it at the next engine, up to twelve times, and its
// client repeated it at another gateway, so that a service of eight engines had none left within a second.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr unsigned engines = 8;
// Three crashes until a gateway blocks the prompt, and one more attempt of the other gateway, before it is notified of the block.
constexpr unsigned maximumCrashedEngines = 4;
constexpr auto crashingPrompt = "crash, whoever reads this";

unsigned crashedEngines(Cluster& cluster)
{
    unsigned count = 0;
    for (auto& it : cluster.engines())
        count += it.process->wait(Milliseconds(0)) ? 1 : 0;
    return count;
}

ClientAnswer sendPrompt(const Address& gateway, const std::string& prompt)
{
    Client client({ .addresses = { gateway }, .key = Cluster::teamKey });
    return client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = 10 }, [](const std::string&) {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingPrompts)

// At most four of eight engines may crash. Without blocked prompts more did, and none was left for other prompts.
BOOST_AUTO_TEST_CASE(a_prompt_that_crashes_engines_is_blocked_before_it_crashes_all)
{
    Cluster cluster({ .zones = { "kushiro-hall", "nemuro-hall" }, .controllers = 1, .enginesPerZone = engines / 2 });
    BOOST_REQUIRE(cluster.deploy(engines));
    for (auto& it : cluster.gateways()) {
        auto answer = sendPrompt(it->http, crashingPrompt);
        BOOST_CHECK(answer.outcome != RequestOutcome::Completed);
    }
    BOOST_TEST(crashedEngines(cluster) <= maximumCrashedEngines);
    auto other = sendPrompt(cluster.gateway(0).http, "lot 7");
    BOOST_CHECK(other.outcome == RequestOutcome::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
