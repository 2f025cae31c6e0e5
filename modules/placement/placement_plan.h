// Placement plan: a list of slots, each of which stands for one model engine on one cloud instance. Computed without side effects from
// the configuration, the cloud's offers, the previous plan and the status of its slots.
#pragma once

#include "modules/declaration/configuration.h"
#include "servers/platform/cloud_client.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Onyxnotch {

enum class SlotState {
    Intended, // Stored before an instance is requested from the cloud.
    Refused, // The cloud had no capacity; the planner moves the slot.
    Started, // The instance is running; its model may not be loaded yet.
    Loaded,
    Leaving, // The instance is being reclaimed or drained, has ended, or is no longer in the plan.
};

std::string toString(SlotState);

// What is to run in a slot. The id is also part of the client token of the cloud's start call, which makes that call idempotent.
struct PlannedSlot {
    std::string id {};
    std::string rule {};
    std::string service {};
    std::string model {}; // Name of the model version.
    std::string weights {};
    std::vector<std::string> adapters {};
    Offer offer {};
    bool checksFences { true }; // Whether the engine refuses orders with an outdated fencing token.
    std::string reason {}; // Why the slot was placed at this offer, for operators.

    bool operator==(const PlannedSlot&) const = default;
};

// State of a slot, as reported by the controller of its zone.
struct SlotStatus {
    PlannedSlot slot {};
    SlotState state { SlotState::Intended };
    std::string instance {};
    Address address {};
    std::uint64_t retiredAt { 0 }; // When the slot was removed from the plan, in wall clock milliseconds; 0 if it is still planned.

    bool operator==(const SlotStatus&) const = default;
};

struct PlacementPlan {
    std::uint64_t configurationVersion { 0 };
    std::uint64_t nextSlot { 1 };
    std::vector<PlannedSlot> slots {};

    bool operator==(const PlacementPlan&) const = default;
};

struct PlacementInput {
    Configuration configuration {};
    std::vector<Offer> offers {};
    PlacementPlan previous {};
    std::map<std::string, SlotStatus> status {}; // Keyed by slot id.
    std::set<Offer> refusedOffers {}; // Offers that the cloud refused recently; not planned.
};

// Computes the next plan. Slots of the previous plan are kept if they still match their rule. If several rules select a service, the
// most specific one applies, and among equally specific ones the first by name.
PlacementPlan planPlacement(const PlacementInput&);

nlohmann::json planToJson(const PlacementPlan&);
Result<PlacementPlan> planFromJson(const std::string&);
std::string statusToJson(const std::vector<SlotStatus>&);
Result<std::vector<SlotStatus>> statusFromJson(const std::string&);

} // namespace Onyxnotch
