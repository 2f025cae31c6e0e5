#include "modules/placement/placement_plan.h"
#include "tests/property.h"
#include <nlohmann/json.hpp>

using namespace Onyxnotch;

namespace {

Configuration configurationOf(unsigned replicas, unsigned zones, unsigned modelVersion = 1)
{
    std::map<ObjectName, DeclaredObject> objects;
    auto add = [&](ObjectKind kind, const std::string& name, const Labels& labels, const ObjectSpec& spec) {
        ObjectName key { .kind = kind, .name = name };
        objects[key] = { .name = key, .labels = labels, .spec = spec };
    };
    for (unsigned n = 1; n <= modelVersion; ++n)
        add(ObjectKind::ModelVersion, "m-v" + std::to_string(n), { { "model", "m" } }, ModelVersionSpec { .model = "m", .version = n, .weights = "w" });
    add(ObjectKind::Service, "s", { { "tier", "long" } }, ServiceSpec { .type = ServiceType::Model, .models = { .matchLabels = { { "model", "m" } } } });
    add(ObjectKind::PlacementRule, "r", {}, PlacementRuleSpec { .replicas = replicas, .minimumZones = zones });
    return { 1, objects };
}

std::vector<Offer> offersOf()
{
    return {
        { .zone = "z1", .machineClass = "a", .market = Market::Reclaimable, .pricePerHour = 1 },
        { .zone = "z2", .machineClass = "a", .market = Market::Reclaimable, .pricePerHour = 2 },
        { .zone = "z3", .machineClass = "a", .market = Market::OnDemand, .pricePerHour = 3 },
    };
}

std::set<std::string> zonesOf(const PlacementPlan& plan)
{
    std::set<std::string> zones;
    for (const auto& it : plan.slots)
        zones.insert(it.offer.zone);
    return zones;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementPlans)

BOOST_AUTO_TEST_CASE(the_cheapest_offers_are_planned_within_the_minimum_number_of_zones)
{
    auto plan = planPlacement({ .configuration = configurationOf(4, 2), .offers = offersOf() });
    BOOST_CHECK_EQUAL(plan.slots.size(), 4);
    BOOST_CHECK(zonesOf(plan) == (std::set<std::string> { "z1", "z2" }));
    // Planning again with the same input and the previous plan returns the same plan.
    BOOST_CHECK(planPlacement({ .configuration = configurationOf(4, 2), .offers = offersOf(), .previous = plan }) == plan);
}

BOOST_AUTO_TEST_CASE(refused_offers_and_lost_slots_are_replaced_elsewhere)
{
    auto plan = planPlacement({ .configuration = configurationOf(1, 1), .offers = offersOf() });
    BOOST_CHECK_EQUAL(plan.slots.at(0).offer.zone, "z1");
    PlacementInput input { .configuration = configurationOf(1, 1), .offers = offersOf(), .previous = plan };
    input.status[plan.slots[0].id] = { .slot = plan.slots[0], .state = SlotState::Refused };
    input.refusedOffers = { plan.slots[0].offer };
    auto next = planPlacement(input);
    BOOST_REQUIRE_EQUAL(next.slots.size(), 1);
    BOOST_CHECK_EQUAL(next.slots[0].offer.zone, "z2");
    BOOST_CHECK(next.slots[0].id != plan.slots[0].id);
}

BOOST_AUTO_TEST_CASE(a_slot_with_an_old_model_version_stays_until_the_new_one_is_loaded)
{
    auto old = planPlacement({ .configuration = configurationOf(1, 1), .offers = offersOf() });
    PlacementInput input { .configuration = configurationOf(1, 1, 2), .offers = offersOf(), .previous = old };
    input.status[old.slots[0].id] = { .slot = old.slots[0], .state = SlotState::Loaded };
    auto both = planPlacement(input);
    BOOST_CHECK_EQUAL(both.slots.size(), 2);
    input.previous = both;
    for (const auto& it : both.slots)
        input.status[it.id] = { .slot = it, .state = SlotState::Loaded };
    auto last = planPlacement(input);
    BOOST_REQUIRE_EQUAL(last.slots.size(), 1);
    BOOST_CHECK_EQUAL(last.slots[0].model, "m-v2");
}

BOOST_AUTO_TEST_CASE(slot_ids_are_unique_and_slots_never_exceed_the_replicas)
{
    Tests::checkProperty("random status", [](const std::vector<unsigned char>& states) {
        PlacementPlan plan;
        std::set<std::string> ids;
        PlacementInput input { .configuration = configurationOf(3, 2), .offers = offersOf() };
        for (auto state : states) {
            input.previous = plan;
            plan = planPlacement(input);
            RC_ASSERT(plan.slots.size() <= 3);
            for (const auto& it : plan.slots)
                input.status[it.id] = { .slot = it, .state = static_cast<SlotState>(state % 5) };
            for (const auto& it : plan.slots) {
                bool isKept = std::any_of(input.previous.slots.begin(), input.previous.slots.end(), [&](const PlannedSlot& before) { return before.id == it.id; });
                RC_ASSERT(isKept || ids.insert(it.id).second);
            }
        }
    });
}

BOOST_AUTO_TEST_CASE(plans_and_slot_statuses_survive_a_json_round_trip)
{
    auto plan = planPlacement({ .configuration = configurationOf(4, 2), .offers = offersOf() });
    BOOST_CHECK(planFromJson(planToJson(plan).dump()).value() == plan);
    std::vector<SlotStatus> status { { .slot = plan.slots[0], .state = SlotState::Loaded, .instance = "i-1", .address = { .host = "127.0.0.1", .port = 9 } } };
    BOOST_CHECK(statusFromJson(statusToJson(status)).value() == status);
    BOOST_CHECK(!planFromJson("[]"));
}

BOOST_AUTO_TEST_SUITE_END()
