// Tests that callers of a service that is short of capacity over all nodes are told to return in turns, and that the setting turns this
// off. Guards against refused callers that are all told the same short delay.
#include "tests/entry/notice_site.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr double usualRetryAfter = 0.3; // ForwardOptions::retryAfter.
constexpr double honoredRetryAfter = 0.5; // A third of the time that the callers have.

// Highest Retry-After in seconds that refused callers of either node are told within two seconds, while all endpoints refuse.
double highestRetryAfter(NoticeSite& it)
{
    for (auto* endpointServer : it.endpointServers)
        endpointServer->setScript(refuseWith(""));
    double highest = 0;
    for (auto end = steadyNow() + Milliseconds(2000); steadyNow() < end;) {
        for (std::size_t node = 0; node < it.nodes.size(); ++node) {
            auto refused = it.sendRequest(node);
            BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
            auto retryAfter = std::stod("0" + std::string(refused.head.value("retry-after")));
            BOOST_TEST(retryAfter > 0);
            highest = std::max(highest, retryAfter);
        }
    }
    return highest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReturnTurnsOfNodes)

BOOST_AUTO_TEST_CASE(a_service_that_refuses_everything_spreads_returns_over_the_time_that_callers_honor)
{
    NoticeSite it(2);
    auto highest = highestRetryAfter(it);
    BOOST_TEST(highest > usualRetryAfter);
    BOOST_TEST(highest <= honoredRetryAfter);
    auto lines = it.nodes.front()->process->lines();
    BOOST_TEST(std::any_of(lines.begin(), lines.end(), [](const auto& line) { return line.find("\"retry_after_ms\"") != std::string::npos && line.find("\"in_turn\"") != std::string::npos; }));
}

BOOST_AUTO_TEST_CASE(with_turns_off_a_node_tells_its_own_estimate)
{
    NoticeSite it(2, { { "returnTurns", { { "enabled", false } } } });
    BOOST_TEST(highestRetryAfter(it) <= usualRetryAfter);
}

BOOST_AUTO_TEST_SUITE_END()
