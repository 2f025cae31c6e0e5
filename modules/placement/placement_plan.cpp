#include "modules/placement/placement_plan.h"

#include "core/json_decode.h"
#include <algorithm>
#include <array>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr std::array<const char*, 5> stateNames { "intended", "refused", "started", "loaded", "leaving" };

    Labels labelsOf(const Offer& offer)
    {
        return { { "zone", offer.zone }, { "class", offer.machineClass }, { "market", toString(offer.market) } };
    }

    // What one service needs: its model, and the placement rule that applies to it.
    struct Demand {
        std::string service;
        std::string rule;
        PlacementRuleSpec spec;
        std::string model;
        std::string weights;
        std::vector<std::string> adapters;
    };

    std::vector<Demand> demandsOf(const Configuration& configuration)
    {
        std::vector<Demand> demands;
        configuration.forEach<ServiceSpec>([&](const DeclaredObject& object, const ServiceSpec& service) {
            const auto* model = service.type == ServiceType::Model ? configuration.modelVersionFor(service) : nullptr;
            if (!model)
                return;
            const DeclaredObject* appliedRule = nullptr;
            std::size_t specificity = 0;
            configuration.forEach<PlacementRuleSpec>([&](const DeclaredObject& rule, const PlacementRuleSpec& spec) {
                // Objects are visited in the order of their names, so among equally specific rules the first by name is chosen.
                bool isBetter = !appliedRule || spec.services.specificity() > specificity;
                if (!spec.services.matches(object.labels) || !isBetter)
                    return;
                appliedRule = &rule;
                specificity = spec.services.specificity();
            });
            if (!appliedRule)
                return;
            Demand demand {
                .service = object.name.name,
                .rule = appliedRule->name.name,
                .spec = std::get<PlacementRuleSpec>(appliedRule->spec),
                .model = model->name.name,
                .weights = std::get<ModelVersionSpec>(model->spec).weights,
                .adapters = {},
            };
            if (!service.adapter.empty())
                demand.adapters.push_back(service.adapter);
            demands.push_back(demand);
        });
        return demands;
    }

    // Plans the slots for one demand: keeps matching slots of the previous plan, then adds the cheapest offers. Offers in zones without a
    // slot are preferred until the rule's minimum number of zones is reached.
    class DemandPlanner {
    public:
        DemandPlanner(const PlacementInput& input, const Demand& demand, PlacementPlan& plan)
            : m_input(input)
            , m_demand(demand)
            , m_plan(plan)
        {
        }

        void planSlots()
        {
            keepPreviousSlots();
            while (m_currentSlots < m_demand.spec.replicas) {
                const auto* offer = cheapestOffer();
                if (!offer)
                    break;
                addSlot(*offer);
            }
            keepOutdatedSlots();
        }

    private:
        const SlotStatus* statusOf(const PlannedSlot& slot) const
        {
            auto it = m_input.status.find(slot.id);
            return it == m_input.status.end() ? nullptr : &it->second;
        }

        bool isForService(const PlannedSlot& slot) const { return slot.service == m_demand.service; }

        bool isUsable(const PlannedSlot& slot) const
        {
            const auto* status = statusOf(slot);
            bool isLost = status && (status->state == SlotState::Leaving || status->state == SlotState::Refused);
            return !isLost && m_demand.spec.offers.matches(labelsOf(slot.offer));
        }

        bool isUpToDate(const PlannedSlot& slot) const { return slot.model == m_demand.model && slot.adapters == m_demand.adapters; }

        void keepPreviousSlots()
        {
            for (const auto& it : m_input.previous.slots) {
                if (!isForService(it) || !isUsable(it) || !isUpToDate(it) || m_currentSlots >= m_demand.spec.replicas)
                    continue;
                m_plan.slots.push_back(it);
                ++m_slotsPerZone[it.offer.zone];
                ++m_currentSlots;
                const auto* status = statusOf(it);
                m_loadedSlots += status && status->state == SlotState::Loaded ? 1 : 0;
            }
        }

        // Keeps slots with an older model or other adapters in the plan until all replicas with the current ones are loaded.
        void keepOutdatedSlots()
        {
            if (m_loadedSlots >= m_demand.spec.replicas)
                return;
            for (const auto& it : m_input.previous.slots) {
                if (isForService(it) && isUsable(it) && !isUpToDate(it))
                    m_plan.slots.push_back(it);
            }
        }

        const Offer* cheapestOffer() const
        {
            bool needsNewZone = m_slotsPerZone.size() < m_demand.spec.minimumZones;
            const Offer* best = nullptr;
            for (bool onlyNewZones : { needsNewZone, false }) {
                for (const auto& it : m_input.offers) {
                    bool isAllowed = m_demand.spec.offers.matches(labelsOf(it)) && !m_input.refusedOffers.contains(it);
                    if (!isAllowed || (onlyNewZones && m_slotsPerZone.contains(it.zone)))
                        continue;
                    if (!best || sortKey(it) < sortKey(*best))
                        best = &it;
                }
                if (best)
                    return best;
            }
            return nullptr;
        }

        // Sort key, lowest first: price, then the number of slots in the zone, then names to make the order deterministic.
        std::tuple<double, unsigned, std::string, std::string> sortKey(const Offer& offer) const
        {
            auto it = m_slotsPerZone.find(offer.zone);
            return { offer.pricePerHour, it == m_slotsPerZone.end() ? 0 : it->second, offer.zone, offer.machineClass };
        }

        void addSlot(const Offer& offer)
        {
            PlannedSlot slot {
                .id = "slot-" + std::to_string(m_plan.nextSlot++),
                .rule = m_demand.rule,
                .service = m_demand.service,
                .model = m_demand.model,
                .weights = m_demand.weights,
                .adapters = m_demand.adapters,
                .offer = offer,
                .checksFences = m_demand.spec.checksFences,
                .reason = "rule " + m_demand.rule + ": cheapest offer that it selects" + (m_slotsPerZone.size() < m_demand.spec.minimumZones ? " in a further zone" : ""),
            };
            m_plan.slots.push_back(slot);
            ++m_slotsPerZone[offer.zone];
            ++m_currentSlots;
        }

        const PlacementInput& m_input;
        const Demand& m_demand;
        PlacementPlan& m_plan;
        std::map<std::string, unsigned> m_slotsPerZone;
        unsigned m_currentSlots { 0 };
        unsigned m_loadedSlots { 0 };
    };

    Json offerToJson(const Offer& offer)
    {
        return { { "zone", offer.zone }, { "class", offer.machineClass }, { "market", toString(offer.market) }, { "price_per_hour", offer.pricePerHour } };
    }

    Json slotToJson(const PlannedSlot& slot)
    {
        return {
            { "id", slot.id },
            { "rule", slot.rule },
            { "service", slot.service },
            { "model", slot.model },
            { "weights", slot.weights },
            { "adapters", slot.adapters },
            { "offer", offerToJson(slot.offer) },
            { "checks_fences", slot.checksFences },
            { "reason", slot.reason },
        };
    }

    PlannedSlot slotFromJson(const Json& source)
    {
        const auto& offer = source.at("offer");
        return {
            .id = source.at("id"),
            .rule = source.at("rule"),
            .service = source.at("service"),
            .model = source.at("model"),
            .weights = source.at("weights"),
            .adapters = source.at("adapters"),
            .offer = {
                .zone = offer.at("zone"),
                .machineClass = offer.at("class"),
                .market = offer.at("market") == "reclaimable" ? Market::Reclaimable : Market::OnDemand,
                .pricePerHour = offer.at("price_per_hour"),
            },
            .checksFences = source.at("checks_fences"),
            .reason = source.at("reason"),
        };
    }

    SlotStatus slotStatusFromJson(const Json& source)
    {
        SlotStatus status { .slot = slotFromJson(source.at("slot")), .instance = source.at("instance"), .retiredAt = source.at("retired_at") };
        for (std::size_t n = 0; n < stateNames.size(); ++n) {
            if (source.at("state") == stateNames.at(n))
                status.state = static_cast<SlotState>(n);
        }
        auto address = parseAddress(source.at("address").get<std::string>());
        if (address)
            status.address = address.value();
        return status;
    }

} // namespace

std::string toString(SlotState state) { return stateNames.at(static_cast<std::size_t>(state)); }

PlacementPlan planPlacement(const PlacementInput& input)
{
    PlacementPlan plan { .configurationVersion = input.configuration.version(), .nextSlot = input.previous.nextSlot, .slots = {} };
    for (const auto& it : demandsOf(input.configuration))
        DemandPlanner(input, it, plan).planSlots();
    return plan;
}

Json planToJson(const PlacementPlan& plan)
{
    Json document { { "configuration_version", plan.configurationVersion }, { "next_slot", plan.nextSlot }, { "slots", Json::array() } };
    for (const auto& it : plan.slots)
        document["slots"].push_back(slotToJson(it));
    return document;
}

Result<PlacementPlan> planFromJson(const std::string& text)
{
    return decodeJson<PlacementPlan>(text, ErrorCode::InvalidArgument, "plan", [](const Json& document) {
        PlacementPlan plan { .configurationVersion = document.at("configuration_version"), .nextSlot = document.at("next_slot") };
        for (const auto& it : document.at("slots"))
            plan.slots.push_back(slotFromJson(it));
        return plan;
    });
}

std::string statusToJson(const std::vector<SlotStatus>& status)
{
    Json document { { "slots", Json::array() } };
    for (const auto& it : status)
        document["slots"].push_back({ { "slot", slotToJson(it.slot) }, { "state", toString(it.state) }, { "instance", it.instance }, { "address", it.address.text() }, { "retired_at", it.retiredAt } });
    return document.dump();
}

Result<std::vector<SlotStatus>> statusFromJson(const std::string& text)
{
    return decodeJson<std::vector<SlotStatus>>(text, ErrorCode::InvalidArgument, "zone status", [](const Json& document) {
        std::vector<SlotStatus> status;
        for (const auto& it : document.at("slots"))
            status.push_back(slotStatusFromJson(it));
        return status;
    });
}

} // namespace Onyxnotch
