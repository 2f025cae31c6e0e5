#include "modules/control/node_summary.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const SummaryOwner owner { .node = "b", .zone = "z", .watchesStore = true };

PeerRow row(const std::string& node) { return { .node = node, .zone = "z", .watchesStore = true }; }

bool isFirstCandidate(const std::vector<PeerRow>& rows, const SummaryOwner& self = owner)
{
    std::vector<const PeerRow*> alive;
    alive.reserve(rows.size());
    for (const auto& it : rows)
        alive.push_back(&it);
    return summarizePeers(alive, self).firstCandidate;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NodeSummaries)

BOOST_AUTO_TEST_CASE(the_first_node_that_may_take_the_duties_is_the_candidate)
{
    BOOST_TEST(isFirstCandidate({}));
    BOOST_TEST(isFirstCandidate({ row("c") }));
    BOOST_TEST(!isFirstCandidate({ row("a"), row("c") }));
}

// Guards against nodes waiting for a first candidate that cannot reach the store.
BOOST_AUTO_TEST_CASE(a_node_that_cannot_take_the_duties_is_not_a_candidate)
{
    auto withoutStore = row("a");
    withoutStore.watchesStore = false;
    BOOST_TEST(isFirstCandidate({ withoutStore, row("c") }));
    auto formerHolder = row("a");
    formerHolder.leftDutiesFence = 3;
    BOOST_TEST(isFirstCandidate({ formerHolder, row("c") }));
    auto leaving = row("a");
    leaving.leaving = true;
    BOOST_TEST(isFirstCandidate({ leaving, row("c") }));
    BOOST_TEST(!isFirstCandidate({ row("c") }, { .node = "b", .zone = "z", .watchesStore = false }));
    BOOST_TEST(!isFirstCandidate({ row("c") }, { .node = "b", .zone = "z", .watchesStore = true, .relinquishedDuties = true }));
}

BOOST_AUTO_TEST_CASE(the_summary_lists_former_holders_of_the_duties)
{
    auto formerHolder = row("a");
    formerHolder.lifetime = 9;
    formerHolder.leftDutiesFence = 3;
    auto currentHolder = row("c");
    currentHolder.leftDutiesFence = 2;
    currentHolder.holdsDuties = true;
    auto summary = summarizePeers({ &formerHolder, &currentHolder }, owner);
    BOOST_TEST(summary.relinquishedDuties.size() == 1U);
    BOOST_TEST((summary.relinquishedDuties["a"] == RelinquishedDuties { .life = 9, .fence = 3 }));
    BOOST_TEST(summary.peerHoldsDuties);
}

BOOST_AUTO_TEST_CASE(the_newest_document_is_used_and_the_own_zone_preferred)
{
    auto far = row("a");
    far.zone = "y";
    far.configurationVersion = 7;
    far.controlAddress = { .host = "10.0.0.1", .port = 1 };
    auto near = row("c");
    near.configurationVersion = 7;
    near.controlAddress = { .host = "10.0.0.2", .port = 1 };
    auto newer = row("d");
    newer.zone = "y";
    newer.configurationVersion = 8;
    newer.controlAddress = { .host = "10.0.0.3", .port = 1 };
    BOOST_TEST(summarizePeers({ &far, &near }, owner).peerConfigurationAddress.host == "10.0.0.2");
    BOOST_TEST(summarizePeers({ &far, &near, &newer }, owner).peerConfigurationAddress.host == "10.0.0.3");
}

BOOST_AUTO_TEST_SUITE_END()
