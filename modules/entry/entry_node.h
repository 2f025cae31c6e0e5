// An entry node: forwards client requests on one thread, and follows the store and runs singleton duties on another, the control thread.
// The control thread publishes immutable configurations and endpoint lists to the request thread.
#pragma once

#include "modules/control/endpoint_registry.h"
#include "modules/control/store_follower.h"
#include "modules/control/watch_choice.h"
#include "modules/duty/duty_runner.h"
#include "modules/forward/forward_server.h"
#include "modules/peers/peer_exchange.h"
#include "modules/rollout/rollout_manager.h"
#include <nlohmann/json_fwd.hpp>
#include <thread>

namespace Onyxnotch {

struct EntryOptions {
    std::string node {};
    std::string zone {};
    Address callers {}; // Listening address for clients.
    Address readiness {}; // Listening address for the load balancer's readiness probe.
    Address control {}; // Listening address for metrics, and for peers that fetch the configuration and endpoints.
    Address gossip {}; // Listening address (UDP) for messages of other nodes.
    std::vector<Address> seeds {}; // Gossip addresses of other nodes to contact at the start.
    std::uint32_t processorPercent { 0 }; // Share of one core that the process may use; 0 if unknown.
    Milliseconds gossipPeriod { 250 };
    WatchChoiceOptions watching {};
    // Nodes of a large fleet exchange their state through relay nodes in their zones. If false, each node sends directly to as many others
    // as the fan-out allows.
    bool relays { true };
    Milliseconds grace { 8000 }; // Time from the stop signal until the process is killed.
    // A draining node accepts connections for this long: until the load balancer has probed readiness twice and stopped sending clients.
    // At most half of the grace.
    Milliseconds drainNoticeTime { 2500 };
    // This long before the kill, the node ends the remaining requests itself. At most a quarter of the grace.
    Milliseconds graceMargin { 500 };
    ForwardOptions forward {};
    SharedRetryBudgetOptions retries {};
    TeamLimitTolerance teamLimitTolerance {};
    StoreFollowerOptions follower {};
    EndpointRegistryOptions registry {};
    DutyOptions duties {};
    RolloutManagerOptions rollouts {};
};

// Functions of the platform adapter: they create the connections to store and cloud, and decode and encode stored objects.
struct EntryPorts {
    std::function<std::unique_ptr<ObjectStore>(asio::io_context&)> makeStore {};
    std::function<std::unique_ptr<CloudOrders>(asio::io_context&)> makeCloud {};
    std::function<Result<TrafficDeclaration>(const nlohmann::json&)> decodeDeclaration {};
    std::function<Result<ListedEndpoint>(const std::string& id, const nlohmann::json&)> decodeEndpoint {};
    std::function<Result<RolloutOrder>(const StoreObject&)> decodeRollout {};
    std::function<nlohmann::json(const RolloutRecord&)> encodeRolloutRecord {};
};

class EntryNode {
public:
    EntryNode(const EntryOptions&, EntryPorts);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    Status start();
    // Applies the settings that may change at run time: grace time, retry budget, maximum client connections, and the memory of bodies and
    // responses. Thread-safe.
    void apply(const EntryOptions&);
    // Starts the drain of this node. Thread-safe.
    void stop();
    // Blocks until the drain has ended.
    void wait();
    Address clientsAddress() const;
    Address readinessAddress() const;
    Address controlAddress() const;
    Address gossipAddress() const;

private:
    // State that the control thread publishes to the request thread, which sends it to the other nodes each gossip period.
    struct ControlState {
        std::atomic<bool> holdsDuties { false };
        std::atomic<std::uint64_t> leftDutiesFence { 0 };
        std::atomic<bool> watchesStore { false };
        std::atomic<std::uint64_t> endpointsRevision { 0 };
    };

    struct RequestSide;
    struct ControlSide;

    EntryOptions m_options;
    EntryPorts m_ports;
    TrafficView m_view {};
    NodeSummarySlot m_summary {};
    Metrics m_metrics {};
    ControlState m_controlState {};
    VersionShareSlot m_versionShares {};
    std::atomic<bool> m_stopping { false };
    std::unique_ptr<RequestSide> m_requests;
    std::unique_ptr<ControlSide> m_control;
    std::thread m_requestThread {};
    std::thread m_controlThread {};
};

} // namespace Onyxnotch
