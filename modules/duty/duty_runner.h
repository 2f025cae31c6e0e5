// The duties that one node at a time has: holds the lease, reports usage, orders endpoints. Belongs to the control thread.
#pragma once

#include "modules/control/node_summary.h"
#include "modules/control/object_store.h"
#include "modules/duty/duty_note.h"
#include "modules/placement/lease.h"
#include "modules/traffic/traffic_view.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

struct DutyOptions {
    std::string node {};
    LeaseOptions lease {};
    UsageReportsOptions usage {};
    EndpointScalerOptions scaler {};
    Milliseconds step { 250 };
    Milliseconds startDelay { 1000 }; // After the start, to hear from a node that has the duties.
    Milliseconds secondCandidateAfter { 4000 }; // For how long the first candidate may leave the duties undone.
    bool reportsUsage { true };
    bool ordersEndpoints { true };
};

class DutyRunner {
public:
    DutyRunner(asio::io_context&, ObjectStore&, CloudOrders&, TrafficView&, NodeSummarySlot&, const DutyOptions&);

    // Runs until the process ends.
    asio::awaitable<void> run();
    bool holds() const { return m_holds.load(); }
    // The last fence under which this node held the duties; set once it holds them no more and has no call open.
    std::uint64_t leftFence() const { return m_leftFence.load(); }
    // No more duties. The lease runs out, or a node takes it that has not held it within the time of a lease, so that no node's orders
    // can alternate with another's within one.
    void stop()
    {
        m_stopped = true;
        m_holds = false;
    }

private:
    asio::awaitable<void> step();
    asio::awaitable<void> keepLease(const NodeSummary&);
    asio::awaitable<void> writeLease(const LeaseWrite&);
    // False where the note does not stand in the lease for certain.
    asio::awaitable<bool> writeNote(const DutyNote&);
    void adoptNote(const NodeSummary&);
    asio::awaitable<void> reportUsage(const NodeSummary&);
    asio::awaitable<void> orderEndpoints(const NodeSummary&);
    void noteHolding();
    bool mayTakeAtOnce() const;
    bool mayCall() const;
    DutyAuthority authority() const { return { .holder = m_options.node, .fence = m_lease.fence() }; }

    asio::io_context& m_context;
    ObjectStore& m_store;
    CloudOrders& m_cloud;
    TrafficView& m_view;
    NodeSummarySlot& m_summary;
    DutyOptions m_options;
    LeaseMachine m_lease;
    DutyNote m_note {}; // As it stands in the lease.
    UsageReports m_reports;
    EndpointScaler m_scaler;
    SteadyTime m_startedAt;
    SteadyTime m_heldAt {}; // When this node last held the duties.
    SteadyTime m_vacantSince {}; // Since when no live node is known to hold the duties.
    bool m_adopted { false }; // What stands in the lease has been read since it came to this node.
    bool m_stopped { false };
    std::atomic<bool> m_holds { false };
    std::atomic<std::uint64_t> m_leftFence { 0 };
};

} // namespace Onyxnotch
