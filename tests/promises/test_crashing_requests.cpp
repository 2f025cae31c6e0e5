// Promise: a prompt under which engines crash ends few of them, through whichever gateway it comes; everybody else is served.
//
// The story: one prompt ended each engine that began it. Its gateway took it to the next one, up to twelve times, and its caller sent it
// again elsewhere: with nothing but the engines to hold it against, a service of eight engines was gone within a second.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr unsigned engines = 8;
// Three until it is known, and what was on its way through the other gateway before it had heard.
constexpr unsigned mostEnded = 4;
constexpr auto crashingPrompt = "crash, whoever reads this";

unsigned ended(Cluster& cluster)
{
    unsigned count = 0;
    for (auto& it : cluster.engines())
        count += it.process->wait(Milliseconds(0)) ? 1 : 0;
    return count;
}

ClientAnswer ask(const Address& gateway, const std::string& prompt)
{
    Client client({ .addresses = { gateway }, .key = Cluster::teamKey });
    return client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = 10 }, [](const std::string&) {});
}

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingPrompts)

// Before: more than the bound, and no engine was left for others; after: at most four of eight.
BOOST_AUTO_TEST_CASE(a_prompt_under_which_engines_crash_ends_few_of_them)
{
    Cluster cluster({ .zones = { "kushiro-hall", "nemuro-hall" }, .controllers = 1, .enginesPerZone = engines / 2 });
    BOOST_REQUIRE(cluster.deploy(engines));
    for (auto& it : cluster.gateways()) {
        auto answer = ask(it->http, crashingPrompt);
        BOOST_CHECK(answer.outcome != RequestOutcome::Completed);
    }
    BOOST_TEST(ended(cluster) <= mostEnded);
    auto other = ask(cluster.gateway(0).http, "lot 7");
    BOOST_CHECK(other.outcome == RequestOutcome::Completed);
}

BOOST_AUTO_TEST_SUITE_END()
