// Performs the rollouts ordered by operators while this node holds the singleton duties. Reads the orders from the object store, decides
// each rollout's next stage from the fleet's counts, records the state in the store, and publishes which share of the requests each new
// version may receive. Runs on the control thread.
#pragma once

#include "modules/control/node_summary.h"
#include "modules/control/object_store.h"
#include "modules/rollout/rollout_order.h"
#include "modules/rollout/rollout_plan.h"
#include "modules/traffic/traffic_view.h"
#include <asio/io_context.hpp>
#include <set>

namespace Onyxnotch {

struct RolloutManagerOptions {
    bool enabled { false }; // If false, rollout orders are not read, and all versions receive requests alike.
    RolloutPlanOptions plan {};
    RolloutEvaluatorOptions evaluator {};
    Milliseconds step { 250 };
    Milliseconds idleStep { 1000 }; // At a node that does not hold the singleton duties.
    // Interval between reads of the orders, since each call costs. A version that appears beside another one triggers a read immediately;
    // it receives no requests until then.
    Milliseconds readInterval { 2000 };
    // An order counts as issued this long before it was first read.
    Milliseconds assumedOrderAge { 1000 };
};

// Passes the current shares from the control thread to the request thread.
class VersionShareSlot {
public:
    std::shared_ptr<const std::vector<VersionShare>> get() const { return m_shares.load(); }
    void set(std::vector<VersionShare> shares) { m_shares.store(std::make_shared<const std::vector<VersionShare>>(std::move(shares))); }

private:
    std::atomic<std::shared_ptr<const std::vector<VersionShare>>> m_shares { std::make_shared<const std::vector<VersionShare>>() };
};

class RolloutManager {
public:
    struct Ports {
        std::function<Result<RolloutOrder>(const StoreObject&)> decode {};
        std::function<nlohmann::json(const RolloutRecord&)> encode {};
        std::function<bool()> holdsDuties {};
    };

    RolloutManager(asio::io_context&, ObjectStore&, TrafficView&, NodeSummarySlot&, VersionShareSlot&, Ports, const RolloutManagerOptions& options = {});

    // Runs a step every `step` until the process ends. Returns immediately unless enabled.
    asio::awaitable<void> run();

private:
    struct Rollout {
        RolloutOrder order {};
        std::uint64_t revision { 0 }; // Revision of the stored order object.
        std::uint64_t orderedAt { 0 }; // Milliseconds since 1970, as agreed between the nodes.
        RolloutPlan plan {};
        RolloutEvaluator evaluator {};
        RolloutDecision decision {};
        // Counts when the order was first read, left from earlier rollouts; subtracted from the current counts.
        VersionTrials trialsAtOrder {};
    };

    // Number of endpoints of a service by version. `ready` leaves out endpoints that are draining.
    struct VersionCounts {
        std::map<std::string, unsigned> ready {};
        std::map<std::string, unsigned> listed {};
    };

    asio::awaitable<void> step();
    // Returns false if the orders have not been read yet.
    asio::awaitable<bool> readOrders(const NodeSummary&);
    void decide(const std::string& name, Rollout&, const NodeSummary&);
    asio::awaitable<void> recordState(const std::string& name, Rollout&);
    void applyOrder(const StoreObject&, const NodeSummary&);
    RolloutInput makeInput(Rollout&, const VersionCounts&, const NodeSummary&) const;
    std::map<std::string, VersionCounts> countVersions(const NodeSummary&) const;
    void publishShares(const NodeSummary&);
    bool isReadDue() const;

    asio::io_context& m_context;
    ObjectStore& m_store;
    TrafficView& m_view;
    NodeSummarySlot& m_summary;
    VersionShareSlot& m_shares;
    Ports m_ports;
    RolloutManagerOptions m_options;
    std::map<std::string, Rollout> m_rollouts {}; // By name of the order object.
    std::map<std::string, VersionCounts> m_versions {}; // By service.
    std::map<std::string, std::uint64_t> m_refusedRevisions {}; // Last refused revision of an order object, by name. Each is logged once.
    std::set<std::string> m_mixedAtLastRead {}; // Services that ran several versions when the last read of the orders began.
    bool m_hasReadOrders { false }; // Whether the orders have been read since this node acquired the duties.
    SteadyTime m_ordersReadAt {};
};

} // namespace Onyxnotch
