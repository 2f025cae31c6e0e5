// Where endpoints should run: slots, each of which an instance is to fill. The plan is a pure function of what is declared, offered
// and there.
#pragma once

#include "modules/declaration/configuration.h"
#include "servers/platform/cloud_client.h"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Onyxnotch {

enum class SlotState {
    Intended, // Written down before the cloud is asked.
    Refused, // The cloud had no capacity; the planner moves the slot.
    Started, // An instance is there; its model is not known to be loaded.
    Loaded,
    Leaving, // Its instance has been reclaimed, drained or is no longer wanted.
};

std::string toString(SlotState);

// What a slot asks for. The id is also the client token of the cloud order, so that an order is never placed twice.
struct PlannedSlot {
    std::string id {};
    std::string rule {};
    std::string service {};
    std::string model {}; // Name of the model version.
    std::string weights {};
    std::vector<std::string> adapters {};
    Offer offer {};
    bool checksFences { true };
    std::string reason {}; // Why there, for operators.

    bool operator==(const PlannedSlot&) const = default;
};

// A slot as its zone's controller has brought it about.
struct SlotStatus {
    PlannedSlot slot {};
    SlotState state { SlotState::Intended };
    std::string instance {};
    Address address {};
    std::uint64_t retiredAt { 0 }; // Wall milliseconds, for slots that left the plan.

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
    std::map<std::string, SlotStatus> status {}; // By slot id.
    std::set<Offer> refusedOffers {}; // Refused a short time ago.
};

// Slots of the previous plan stay where they still fit. A service that several rules select follows the most specific one; of equally
// specific ones the first by name.
PlacementPlan planPlacement(const PlacementInput&);

nlohmann::json planToJson(const PlacementPlan&);
Result<PlacementPlan> planFromJson(const std::string&);
std::string statusToJson(const std::vector<SlotStatus>&);
Result<std::vector<SlotStatus>> statusFromJson(const std::string&);

} // namespace Onyxnotch
