// Runs the singleton duties, which only one node performs at a time: takes and renews the duty lease and, while holding it, reports usage
// and orders endpoints. Runs on the control thread.
#pragma once

#include "core/wakeup.h"
#include "modules/control/node_summary.h"
#include "modules/control/object_store.h"
#include "modules/duty/duty_checkpoint.h"
#include "modules/placement/lease.h"
#include "modules/traffic/traffic_view.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

struct DutyOptions {
    std::string node {};
    LeaseOptions lease {};
    UsageReportsOptions usage {};
    EndpointScalerOptions scaler {};
    Milliseconds step { 250 }; // Interval between the steps of run().
    Milliseconds idleStep { 1000 }; // The same at a node that neither holds the duties nor is the first that would take them.
    Milliseconds startDelay { 1000 }; // Wait after process start, so that the state of a node that already holds the duties can arrive.
    // Wait of other nodes than the first candidate while nobody holds the duties, times NodeSummary::takeoverDelayFactor.
    Milliseconds otherCandidatesDelay { 4000 };
    bool reportsUsage { true };
    bool ordersEndpoints { true };
};

class DutyRunner {
public:
    DutyRunner(asio::io_context&, ObjectStore&, CloudOrders&, TrafficView&, NodeSummarySlot&, const DutyOptions&);

    // Runs a step every `step` until stop() is called.
    asio::awaitable<void> run();
    bool holds() const { return m_holdsDuties.load(); }
    // Runs the next step at once, since the summary shows another holder or first candidate. On the thread of the io_context only.
    void onCandidatesChanged() { m_nextStep.notify(); }
    // The fencing token under which this node last held the duties, 0 if it never did. Set only after the lease is lost or run() has
    // stopped, when no call made under the token is in flight.
    std::uint64_t lastHeldFence() const { return m_lastHeldFence.load(); }
    // Stops performing the duties without releasing the lease. The lease then expires, or another node takes it over early. Early takeover
    // is open only to a node that has not held the duties recently, so that orders of two nodes can't alternate within one lease duration.
    void stop()
    {
        m_stopped = true;
        m_holdsDuties = false;
    }

private:
    asio::awaitable<void> step();
    Milliseconds stepInterval() const;
    asio::awaitable<void> maintainLease(const NodeSummary&);
    asio::awaitable<void> writeLease(const LeaseWrite&);
    // Returns false unless the checkpoint is known to be stored in the lease.
    asio::awaitable<bool> writeCheckpoint(const DutyCheckpoint&);
    void restoreCheckpoint(const NodeSummary&);
    asio::awaitable<void> reportUsage(const NodeSummary&);
    asio::awaitable<void> orderEndpoints(const NodeSummary&);
    void updateHoldsDuties();
    bool canTakeReleasedLease() const;
    bool hasTimeForCall() const;
    DutyAuthority authority() const { return { .holder = m_options.node, .fence = m_lease.fence() }; }

    ObjectStore& m_store;
    CloudOrders& m_cloud;
    TrafficView& m_view;
    NodeSummarySlot& m_summary;
    DutyOptions m_options;
    LeaseStateMachine m_lease;
    DutyCheckpoint m_checkpoint {}; // The checkpoint as last stored in the lease.
    UsageReports m_reports;
    EndpointScaler m_scaler;
    SteadyTime m_startedAt;
    SteadyTime m_lastHeldAt {}; // Last time at which this node was seen to hold the lease. Unset if never.
    SteadyTime m_noHolderSince {}; // Since when no live peer is known to hold the duties. Unset while one is.
    bool m_isCheckpointRestored { false }; // Whether the checkpoint has been restored since this node last acquired the lease.
    bool m_stopped { false };
    Wakeup m_nextStep;
    std::atomic<bool> m_holdsDuties { false };
    std::atomic<std::uint64_t> m_lastHeldFence { 0 };
};

} // namespace Onyxnotch
