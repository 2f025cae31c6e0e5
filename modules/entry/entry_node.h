// One entry instance: requests on one thread, everything that is decided about them on another, immutable values between the two.
#pragma once

#include "modules/control/endpoint_registry.h"
#include "modules/control/store_follower.h"
#include "modules/control/watch_choice.h"
#include "modules/duty/duty_runner.h"
#include "modules/forward/forward_server.h"
#include "modules/peers/peer_exchange.h"
#include "modules/rollout/rollout_keeper.h"
#include <nlohmann/json_fwd.hpp>
#include <thread>

namespace Onyxnotch {

struct EntryOptions {
    std::string node {};
    std::string zone {};
    Address callers {}; // Where callers connect.
    Address readiness {};
    Address control {}; // Where peers ask for the configuration, and metrics are read.
    Address gossip {};
    std::vector<Address> seeds {}; // Gossip addresses.
    std::uint32_t processorPercent { 0 }; // Of a core, that the process may use; 0 where nobody said.
    Milliseconds gossipPeriod { 250 };
    WatchChoiceOptions watching {};
    // A large fleet's nodes hear of each other by relays of their zones; switched off, each node tells as many others as it can.
    bool relays { true };
    Milliseconds grace { 8000 }; // From the stop signal to the kill.
    // Callers are still sent here until the balancer has asked twice and noticed.
    Milliseconds noticedAfter { 2500 };
    Milliseconds graceMargin { 500 }; // Before the kill, what remains is cut by ourselves.
    ForwardOptions forward {};
    SharedRetryBudgetOptions retries {};
    StoreFollowerOptions follower {};
    EndpointRegistryOptions registry {};
    DutyOptions duties {};
    RolloutKeeperOptions rollouts {};
};

// What the platform's adapter gives: the ports, and how their contents are read.
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
    // Takes over those settings that may change while the process runs: grace, retries, callers' connections and bodies. From any thread.
    void apply(const EntryOptions&);
    // Starts a drain; from any thread.
    void stop();
    // Returns when the drain has ended.
    void wait();
    Address callersAddress() const;
    Address readinessAddress() const;
    Address controlAddress() const;
    Address gossipAddress() const;

private:
    // What the control thread tells the request thread, for the node's row.
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
