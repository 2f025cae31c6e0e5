#include "modules/peers/relayed_sum.h"

#include "core/net/frame.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

struct Count {
    double value { 0 };

    bool operator==(const Count&) const = default;
    Count& operator+=(const Count& other)
    {
        value += other.value;
        return *this;
    }
    bool isSound() const { return value >= 0; }

    template <class Archive>
    void serialize(Archive& archive) { archive(value); }
};

using CountSum = RelayedSum<Count>;

CountSum node(const std::string& name, const std::string& zone, double value, std::uint64_t lifetime = 1)
{
    CountSum sum({ .node = name, .lifetime = lifetime, .zone = zone });
    sum.setOwn({ .value = value });
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayedSumTests)

BOOST_AUTO_TEST_CASE(nodes_that_send_to_each_other_know_the_sum)
{
    auto a = node("a", "z1", 1);
    auto b = node("b", "z2", 2);
    a.onUpdate(b.nodeUpdate(), at(0));
    BOOST_TEST(a.total(at(1)).sum.value == 3);
    BOOST_TEST(a.total(at(1)).nodes == 2U);
    // A new report replaces the one before; it is not added to it.
    b.setOwn({ .value = 5 });
    a.onUpdate(b.nodeUpdate(), at(10));
    BOOST_TEST(a.total(at(11)).sum.value == 6);
}

BOOST_AUTO_TEST_CASE(every_node_of_a_fleet_with_relay_nodes_knows_the_same_sum)
{
    auto relay1 = node("r1", "z1", 1);
    auto member1 = node("m1", "z1", 2);
    auto relay2 = node("r2", "z2", 4);
    auto member2 = node("m2", "z2", 8);
    relay1.onUpdate(member1.nodeUpdate(), at(0));
    relay2.onUpdate(member2.nodeUpdate(), at(0));
    relay1.onUpdate(relay2.zoneUpdate(at(1)), at(1));
    relay2.onUpdate(relay1.zoneUpdate(at(1)), at(1));
    member1.onUpdate(relay1.fleetUpdate(at(2)), at(2));
    member2.onUpdate(relay2.fleetUpdate(at(2)), at(2));
    for (auto* it : { &relay1, &member1, &relay2, &member2 }) {
        BOOST_TEST(it->total(at(3)).sum.value == 15);
        BOOST_TEST(it->total(at(3)).nodes == 4U);
    }
}

// Two relay nodes of a zone both receive the reports of its nodes.
BOOST_AUTO_TEST_CASE(reports_that_several_relay_nodes_pass_on_count_once)
{
    auto relayA = node("ra", "z1", 1);
    auto relayB = node("rb", "z1", 1);
    auto member = node("m", "z1", 2);
    auto other = node("o", "z2", 4);
    relayA.onUpdate(member.nodeUpdate(), at(0));
    relayA.onUpdate(relayB.nodeUpdate(), at(0));
    relayB.onUpdate(member.nodeUpdate(), at(0));
    other.onUpdate(relayA.zoneUpdate(at(1)), at(1));
    other.onUpdate(relayB.zoneUpdate(at(1)), at(1));
    // A relay node also sends its zone's sum to the other relay nodes of its zone.
    relayB.onUpdate(relayA.zoneUpdate(at(1)), at(1));
    BOOST_TEST(other.total(at(2)).sum.value == 8);
    BOOST_TEST(relayB.total(at(2)).sum.value == 3);
}

BOOST_AUTO_TEST_CASE(an_update_that_arrives_late_does_not_replace_a_newer_one)
{
    auto a = node("a", "z", 0);
    auto b = node("b", "z", 1);
    auto first = b.nodeUpdate();
    b.setOwn({ .value = 2 });
    a.onUpdate(b.nodeUpdate(), at(0));
    a.onUpdate(first, at(1));
    BOOST_TEST(a.total(at(1)).sum.value == 2);
    // A restarted node begins with a sequence of 1 again.
    a.onUpdate(node("b", "z", 7, 2).nodeUpdate(), at(2));
    BOOST_TEST(a.total(at(2)).sum.value == 7);
}

BOOST_AUTO_TEST_CASE(a_node_that_is_cut_off_counts_only_itself)
{
    auto a = node("a", "z", 1);
    a.onUpdate(node("b", "z", 2).nodeUpdate(), at(0));
    a.onUpdate(node("r", "z", 4).fleetUpdate(at(0)), at(0));
    BOOST_TEST(a.total(at(1500)).nodes == 2U);
    BOOST_TEST(a.total(at(1501)).nodes == 1U);
    BOOST_TEST(a.total(at(1501)).sum.value == 1);
}

// While a fleet grows to the size that needs relay nodes, a relay node receives the reports of nodes in other zones and their zones' sums.
BOOST_AUTO_TEST_CASE(a_zone_counts_once_while_nodes_change_to_relay_nodes)
{
    auto relay = node("r1", "z1", 1);
    auto otherRelay = node("r2", "z2", 2);
    auto other = node("m2", "z2", 4);
    otherRelay.onUpdate(other.nodeUpdate(), at(0));
    relay.onUpdate(other.nodeUpdate(), at(0));
    relay.onUpdate(otherRelay.nodeUpdate(), at(0));
    BOOST_TEST(relay.total(at(1)).sum.value == 7);
    relay.onUpdate(otherRelay.zoneUpdate(at(1)), at(1));
    BOOST_TEST(relay.total(at(2)).sum.value == 7);
    BOOST_TEST(relay.zoneUpdate(at(2)).sum.value == 1);
}

BOOST_AUTO_TEST_CASE(updates_are_encoded_and_checked)
{
    auto update = node("a", "z", 3).nodeUpdate();
    auto decoded = unpackMessage<SumUpdate<Count>>(MessageType::AdmissionLoad, packMessage(MessageType::AdmissionLoad, update));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value() == update));
    BOOST_TEST(update.isSound());
    update.nodes = 0;
    BOOST_TEST(!update.isSound());
    update = node("a", "z", -1).nodeUpdate();
    BOOST_TEST(!update.isSound());
    update = node("a", "z", 1).nodeUpdate();
    update.scope = static_cast<SumScope>(3);
    BOOST_TEST(!update.isSound());
}

BOOST_AUTO_TEST_SUITE_END()
