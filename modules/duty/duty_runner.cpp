#include "modules/duty/duty_runner.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include "modules/traffic/draining_list.h"
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <numeric>

namespace Onyxnotch {

namespace {

    const std::string leaseName = "duties";

    void logScaleDecision(const ScaleDecision& decision)
    {
        auto thousandths = [](double it) { return static_cast<long>(it * 1000); };
        logEvent(LogLevel::Info, "endpoints_wanted",
            { { "service", decision.service }, { "needed", decision.needed }, { "floor", decision.floor }, { "busy_engines_thousandths", thousandths(decision.busyEngines) },
                { "running", static_cast<long>(decision.running) }, { "reclaim_chance_thousandths", thousandths(decision.reclaimChance) }, { "dry", decision.isSupplyExhausted ? 1 : 0 },
                { "reclaimable", decision.reclaimableOrdered }, { "lasting", decision.onDemandOrdered } });
    }

    nlohmann::json leaseValue(const LeaseRecord& record) { return nlohmann::json::parse(leaseToJson(record)); }

    // The current time agreed between the nodes, in milliseconds: the summary's time plus the summary's age.
    std::uint64_t trueNow(const NodeSummary& summary)
    {
        return summary.fleetTimeMilliseconds + static_cast<std::uint64_t>(toMilliseconds(steadyNow() - summary.madeAt).count());
    }

} // namespace

DutyRunner::DutyRunner(asio::io_context& context, ObjectStore& store, CloudOrders& cloud, TrafficView& view, NodeSummarySlot& summary, const DutyOptions& options)
    : m_store(store)
    , m_cloud(cloud)
    , m_view(view)
    , m_summary(summary)
    , m_options(options)
    , m_lease(options.node, options.lease)
    , m_reports(options.usage)
    , m_scaler(options.scaler)
    , m_startedAt(steadyNow())
    , m_nextStep(context)
{
}

Milliseconds DutyRunner::stepInterval() const
{
    bool isIdle = !m_lease.holds(steadyNow()) && !m_summary.get()->firstCandidate;
    return isIdle ? m_options.idleStep : m_options.step;
}

asio::awaitable<void> DutyRunner::run()
{
    while (!m_stopped) {
        co_await m_nextStep.wait(stepInterval());
        co_await step();
    }
    if (m_lastHeldAt != SteadyTime {})
        m_lastHeldFence = m_lease.fence();
}

asio::awaitable<void> DutyRunner::step()
{
    auto summary = m_summary.get();
    if (m_stopped || steadyNow() - m_startedAt < m_options.startDelay)
        co_return;
    co_await maintainLease(*summary);
    updateHoldsDuties();
    if (!m_holdsDuties) {
        m_isCheckpointRestored = false;
        co_return;
    }
    if (!m_isCheckpointRestored)
        restoreCheckpoint(*summary);
    if (m_options.reportsUsage)
        co_await reportUsage(*summary);
    if (m_options.ordersEndpoints)
        co_await orderEndpoints(*summary);
}

void DutyRunner::restoreCheckpoint(const NodeSummary& summary)
{
    auto checkpoint = dutyCheckpointFromJson(m_lease.note());
    if (!checkpoint)
        logEvent(LogLevel::Error, "lease_note_refused", { { "error", checkpoint.error().message } });
    m_checkpoint = checkpoint ? checkpoint.value() : DutyCheckpoint {};
    m_reports.restore(m_checkpoint.report, trueNow(summary));
    m_scaler = EndpointScaler(m_options.scaler);
    m_scaler.restore(m_checkpoint.scaling, steadyNow());
    m_isCheckpointRestored = true;
}

// No call is in flight here, because a step ends before the next one begins.
void DutyRunner::updateHoldsDuties()
{
    bool holdsNow = m_lease.holds(steadyNow());
    if (holdsNow)
        m_lastHeldAt = steadyNow();
    if (holdsNow == m_holdsDuties.load())
        return;
    logEvent(LogLevel::Info, holdsNow ? "duties_taken" : "duties_lost", { { "fence", m_lease.fence() } });
    m_holdsDuties = holdsNow;
    if (holdsNow)
        return;
    m_lastHeldFence = m_lease.fence();
    m_lease.giveUp();
}

// A lease that its holder has released may be taken before it expires only if any orders of this node, including those of an earlier
// incarnation, are at least two lease durations old.
bool DutyRunner::canTakeReleasedLease() const
{
    auto minimumAge = m_options.lease.duration * 2;
    return steadyNow() - m_startedAt >= minimumAge && (m_lastHeldAt == SteadyTime {} || steadyNow() - m_lastHeldAt >= minimumAge);
}

asio::awaitable<void> DutyRunner::maintainLease(const NodeSummary& summary)
{
    auto now = steadyNow();
    if (!m_lease.holds(now)) {
        if (summary.peerHoldsDuties) {
            m_lease.forget();
            m_noHolderSince = {};
            co_return;
        }
        if (m_noHolderSince == SteadyTime {})
            m_noHolderSince = now;
        // Only the first candidate reads the lease at first, which saves store reads by all other nodes. The others wait longer by the
        // factor summary.takeoverDelayFactor, so that few of a large fleet read the lease when the wait ends.
        auto candidateDelay = std::chrono::duration<double>(m_options.otherCandidatesDelay) * summary.takeoverDelayFactor;
        if (!summary.firstCandidate && now - m_noHolderSince < candidateDelay)
            co_return;
        auto sentAt = steadyNow();
        auto read = co_await m_store.read(StoreKind::Duties, leaseName);
        if (!read)
            co_return;
        std::optional<LeaseRecord> record;
        std::uint64_t revision = 0;
        if (read.value()) {
            auto decoded = leaseFromJson(read.value()->value.dump());
            if (!decoded) {
                logEvent(LogLevel::Error, "lease_refused", { { "error", decoded.error().message } });
                co_return;
            }
            record = decoded.value();
            revision = read.value()->revision;
        }
        m_lease.observe(record, revision, sentAt, steadyNow());
        auto left = record ? summary.relinquishedDuties.find(record->holder) : summary.relinquishedDuties.end();
        if (left != summary.relinquishedDuties.end() && canTakeReleasedLease())
            m_lease.onHolderResigned(left->first, left->second.life, left->second.fence);
    }
    if (auto write = m_lease.next(steadyNow()))
        co_await writeLease(*write);
}

asio::awaitable<void> DutyRunner::writeLease(const LeaseWrite& write)
{
    auto sentAt = steadyNow();
    auto value = leaseValue(write.record);
    Result<std::uint64_t> written { Error {} };
    if (write.kind == LeaseWriteKind::Create)
        written = co_await m_store.create(StoreKind::Duties, leaseName, value);
    else
        written = co_await m_store.replace(StoreKind::Duties, leaseName, write.version, value);
    if (written) {
        m_lease.written(write, written.value(), sentAt);
        co_return;
    }
    logEvent(LogLevel::Info, "lease_write_failed", { { "error", written.error().message } });
    // Unavailable means that the write was certainly not applied, so the next step may retry.
    if (written.error().code == ErrorCode::Unavailable)
        co_return;
    // The write may have been applied, so the lease is read before the next write. A lease that is held stays held until it expires.
    sentAt = steadyNow();
    auto read = co_await m_store.read(StoreKind::Duties, leaseName);
    if (!read || !read.value())
        co_return;
    auto decoded = leaseFromJson(read.value()->value.dump());
    if (decoded)
        m_lease.observe(decoded.value(), read.value()->revision, sentAt, steadyNow());
}

asio::awaitable<bool> DutyRunner::writeCheckpoint(const DutyCheckpoint& checkpoint)
{
    auto write = m_lease.nextRenewalWithNote(dutyCheckpointToJson(checkpoint), steadyNow());
    if (!write)
        co_return false;
    co_await writeLease(*write);
    if (m_lease.note() != write->record.note)
        co_return false;
    m_checkpoint = checkpoint;
    co_return true;
}

bool DutyRunner::hasTimeForCall() const { return m_lease.left(steadyNow()) > dutyCallTimeout; }

asio::awaitable<void> DutyRunner::reportUsage(const NodeSummary& summary)
{
    if (!summary.usage)
        co_return;
    m_reports.setSettleTime(summary.usageSettleTime);
    if (auto report = m_reports.nextDue(*summary.usage, trueNow(summary))) {
        auto checkpoint = m_checkpoint;
        checkpoint.report = report;
        if (!co_await writeCheckpoint(checkpoint))
            co_return;
        m_reports.markDecided(*report);
    }
    if (!m_reports.pendingReport() || !hasTimeForCall())
        co_return;
    auto report = *m_reports.pendingReport();
    auto dutyAuthority = authority();
    auto sent = co_await m_cloud.reportUsage(dutyAuthority, report.window, report.counts);
    auto total = std::accumulate(report.counts.begin(), report.counts.end(), std::uint64_t(0), [](auto sum, const auto& it) { return sum + it.second; });
    logEvent(LogLevel::Info, "usage_reported", { { "window", report.window }, { "requests", total }, { "fence", m_lease.fence() }, { "result", sent ? "taken" : sent.error().message } });
    auto endedAt = (report.window + 1) * m_options.usage.windowMilliseconds;
    // A report that is late may still be useful. After twice the time in which reports are due, it is given up.
    bool isTooLate = trueNow(summary) > endedAt + 2 * m_options.usage.dueMilliseconds;
    if (sent || isTooLate)
        m_reports.markSent();
}

asio::awaitable<void> DutyRunner::orderEndpoints(const NodeSummary& summary)
{
    auto configuration = m_view.configuration();
    // Endpoints that announced their own shutdown are replaced as early as those that the endpoint list marks as leaving.
    auto endpoints = withDrainingEndpoints(m_view.endpoints(), summary.unlistedLeavingEndpoints);
    if (!configuration || !endpoints)
        co_return;
    auto orders = m_scaler.orders(*configuration, *endpoints, summary.demand, steadyNow());
    for (const auto& it : m_scaler.takeDecisions())
        logScaleDecision(it);
    bool anyTaken = false;
    for (const auto& order : orders) {
        if (!hasTimeForCall())
            break;
        auto dutyAuthority = authority();
        auto taken = co_await m_cloud.order(dutyAuthority, order);
        logEvent(LogLevel::Info, "endpoints_ordered",
            { { "service", order.service }, { "endpoint_zone", order.zone }, { "reclaimable", order.reclaimable ? 1 : 0 }, { "endpoints", order.endpoints },
                { "fence", m_lease.fence() }, { "result", taken ? "taken" : taken.error().message } });
        if (taken)
            m_scaler.onAccepted(order, steadyNow());
        else if (taken.error().code == ErrorCode::Exhausted)
            m_scaler.onRefused(order, steadyNow());
        anyTaken |= taken.has_value();
    }
    if (!anyTaken)
        co_return;
    auto checkpoint = m_checkpoint;
    checkpoint.scaling = m_scaler.makeCheckpoints(steadyNow());
    co_await writeCheckpoint(checkpoint);
}

} // namespace Onyxnotch
