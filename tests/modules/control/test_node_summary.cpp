#include "modules/control/node_summary.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const SummaryOwner owner { .node = "b", .zone = "z", .watchesStore = true };

PeerRow row(const std::string& node) { return { .node = node, .zone = "z", .watchesStore = true }; }

bool isFirst(const std::vector<PeerRow>& rows, const SummaryOwner& self = owner)
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
    BOOST_TEST(isFirst({}));
    BOOST_TEST(isFirst({ row("c") }));
    BOOST_TEST(!isFirst({ row("a"), row("c") }));
}

// Found by the bench: nodes waited for one that the store had turned away.
BOOST_AUTO_TEST_CASE(one_that_cannot_take_them_is_passed_over)
{
    auto cutOff = row("a");
    cutOff.watchesStore = false;
    BOOST_TEST(isFirst({ cutOff, row("c") }));
    auto lostThem = row("a");
    lostThem.leftDutiesFence = 3;
    BOOST_TEST(isFirst({ lostThem, row("c") }));
    auto leaving = row("a");
    leaving.leaving = true;
    BOOST_TEST(isFirst({ leaving, row("c") }));
    BOOST_TEST(!isFirst({ row("c") }, { .node = "b", .zone = "z", .watchesStore = false }));
    BOOST_TEST(!isFirst({ row("c") }, { .node = "b", .zone = "z", .watchesStore = true, .leftDuties = true }));
}

BOOST_AUTO_TEST_CASE(a_fence_that_was_given_up_is_told)
{
    auto lostThem = row("a");
    lostThem.lifetime = 9;
    lostThem.leftDutiesFence = 3;
    auto regained = row("c");
    regained.leftDutiesFence = 2;
    regained.holdsDuties = true;
    auto summary = summarizePeers({ &lostThem, &regained }, owner);
    BOOST_TEST(summary.leftDuties.size() == 1U);
    BOOST_TEST((summary.leftDuties["a"] == LeftDuties { .life = 9, .fence = 3 }));
    BOOST_TEST(summary.peerHoldsDuties);
}

BOOST_AUTO_TEST_CASE(the_newest_source_of_the_own_zone_is_asked)
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
