#include "modules/rollout/rollout_manager.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include "modules/control/paged_list.h"
#include "modules/traffic/draining_list.h"
#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace {

    std::uint64_t trueNow(const NodeSummary& summary)
    {
        return summary.fleetTimeMilliseconds + static_cast<std::uint64_t>(toMilliseconds(steadyNow() - summary.madeAt).count());
    }

    bool hasSeveralVersions(const std::map<std::string, unsigned>& versions) { return versions.size() > 1; }

    unsigned countOf(const std::map<std::string, unsigned>& versions, const std::string& version)
    {
        auto it = versions.find(version);
        return it == versions.end() ? 0 : it->second;
    }

    RolloutState stateOf(RolloutStage stage)
    {
        if (stage == RolloutStage::Completed)
            return RolloutState::Completed;
        return stage == RolloutStage::Reverted ? RolloutState::Reverted : RolloutState::InProgress;
    }

    bool isEnded(RolloutStage stage) { return stage == RolloutStage::Completed || stage == RolloutStage::Reverted; }

} // namespace

RolloutManager::RolloutManager(asio::io_context& context, ObjectStore& store, TrafficView& view, NodeSummarySlot& summary, VersionShareSlot& shares, Ports ports, const RolloutManagerOptions& options)
    : m_context(context)
    , m_store(store)
    , m_view(view)
    , m_summary(summary)
    , m_shares(shares)
    , m_ports(std::move(ports))
    , m_options(options)
{
}

asio::awaitable<void> RolloutManager::run()
{
    while (m_options.enabled) {
        co_await sleepFor(m_context, m_ports.holdsDuties() ? m_options.step : m_options.idleStep);
        co_await step();
    }
}

asio::awaitable<void> RolloutManager::step()
{
    if (!m_ports.holdsDuties()) {
        m_hasReadOrders = false;
        m_rollouts.clear();
        m_shares.set({});
        co_return;
    }
    auto summary = m_summary.get();
    m_versions = countVersions(*summary);
    if (isReadDue() && !co_await readOrders(*summary))
        co_return;
    for (auto& [name, rollout] : m_rollouts)
        decide(name, rollout, *summary);
    // Published before the state is recorded, so that no node keeps sending to a version whose revert is already visible in the store.
    publishShares(*summary);
    for (auto& [name, rollout] : m_rollouts)
        co_await recordState(name, rollout);
}

std::map<std::string, RolloutManager::VersionCounts> RolloutManager::countVersions(const NodeSummary& summary) const
{
    std::map<std::string, VersionCounts> counts;
    auto list = withDrainingEndpoints(m_view.endpoints(), summary.unlistedLeavingEndpoints);
    if (!list)
        return counts;
    for (const auto& [id, endpoint] : list->endpoints) {
        auto& service = counts[endpoint.service];
        ++service.listed[endpoint.version];
        if (!endpoint.leaving)
            ++service.ready[endpoint.version];
    }
    return counts;
}

bool RolloutManager::isReadDue() const
{
    if (!m_hasReadOrders || steadyNow() - m_ordersReadAt >= m_options.readInterval)
        return true;
    return std::any_of(m_versions.begin(), m_versions.end(), [this](const auto& it) { return hasSeveralVersions(it.second.listed) && !m_mixedAtLastRead.contains(it.first); });
}

asio::awaitable<bool> RolloutManager::readOrders(const NodeSummary& summary)
{
    std::set<std::string> mixedServices;
    for (const auto& [service, versions] : m_versions) {
        if (hasSeveralVersions(versions.listed))
            mixedServices.insert(service);
    }
    auto objects = co_await listAll(m_context, m_store, StoreKind::Rollouts);
    if (!objects)
        co_return m_hasReadOrders; // Rollouts in progress continue with the orders read before.
    m_hasReadOrders = true;
    m_ordersReadAt = steadyNow();
    m_mixedAtLastRead = std::move(mixedServices);
    std::set<std::string> listedNames;
    for (const auto& it : objects.value().objects) {
        listedNames.insert(it.name);
        applyOrder(it, summary);
    }
    std::erase_if(m_rollouts, [&](const auto& it) { return !listedNames.contains(it.first); });
    co_return true;
}

void RolloutManager::applyOrder(const StoreObject& object, const NodeSummary& summary)
{
    auto order = m_ports.decode(object);
    auto configuration = m_view.configuration();
    bool isKnown = order && configuration && configuration->findService(order.value().service);
    if (!isKnown) {
        auto& refused = m_refusedRevisions[object.name];
        if (refused != object.revision)
            logEvent(LogLevel::Error, "rollout_refused", { { "rollout", object.name }, { "error", order ? "no such service" : order.error().message } });
        refused = object.revision;
        m_rollouts.erase(object.name);
        return;
    }
    auto known = m_rollouts.find(object.name);
    bool isSame = known != m_rollouts.end() && known->second.order.version == order.value().version && known->second.order.duration == order.value().duration;
    if (isSame) {
        known->second.revision = object.revision;
        known->second.order = order.value();
        return;
    }
    bool isContinued = order.value().isRecorded();
    Rollout rollout { .order = order.value(), .revision = object.revision, .plan = RolloutPlan(m_options.plan), .evaluator = RolloutEvaluator(m_options.evaluator) };
    rollout.orderedAt = isContinued && order.value().record->orderedAt > 0 ? order.value().record->orderedAt : trueNow(summary) - static_cast<std::uint64_t>(m_options.assumedOrderAge.count());
    if (!isContinued)
        rollout.trialsAtOrder = summary.versions.trials;
    if (isContinued && order.value().record->state == RolloutState::Completed)
        rollout.decision = { .stage = RolloutStage::Completed, .share = 1, .reason = "recorded" };
    if (isContinued && order.value().record->state == RolloutState::Reverted)
        rollout.decision = { .stage = RolloutStage::Reverted, .share = 0, .reason = "recorded" };
    logEvent(LogLevel::Info, "rollout_taken",
        { { "rollout", object.name }, { "service", rollout.order.service }, { "version", rollout.order.version }, { "duration_ms", rollout.order.duration.count() }, { "ordered_at", rollout.orderedAt }, { "stage", nameOf(rollout.decision.stage) } });
    m_rollouts.insert_or_assign(object.name, std::move(rollout));
}

RolloutInput RolloutManager::makeInput(Rollout& rollout, const VersionCounts& versions, const NodeSummary& summary) const
{
    RolloutInput input { .duration = rollout.order.duration };
    auto deadline = rollout.orderedAt + static_cast<std::uint64_t>(rollout.order.duration.count());
    input.timeLeft = Milliseconds(static_cast<std::int64_t>(deadline) - static_cast<std::int64_t>(trueNow(summary)));
    input.targetReady = countOf(versions.ready, rollout.order.version);
    for (const auto& [version, listed] : versions.listed)
        input.othersListed += version == rollout.order.version ? 0 : listed;
    for (auto [route, counts] : summary.versions.trials) {
        if (route.service != rollout.order.service)
            continue;
        if (auto before = rollout.trialsAtOrder.find(route); before != rollout.trialsAtOrder.end())
            counts -= before->second;
        input.sentTotal += counts.sent;
        if (route.version == rollout.order.version)
            input.sentToTarget += counts.sent;
        else
            input.runningAtOthers += counts.running();
    }
    auto demand = summary.demand.find(rollout.order.service);
    input.requestRate = demand == summary.demand.end() ? 0 : demand->second.requestsPerSecond;
    input.verdict = rollout.evaluator.update(evidenceOf(summary.versions.trials, rollout.order.service, rollout.order.version));
    for (const auto& it : summary.versions.stopped) {
        if (it.service == rollout.order.service && it.version == rollout.order.version && it.orderedAt == rollout.orderedAt)
            input.verdict = RolloutVerdict::Bad;
    }
    return input;
}

void RolloutManager::decide(const std::string& name, Rollout& rollout, const NodeSummary& summary)
{
    if (isEnded(rollout.decision.stage))
        return;
    auto input = makeInput(rollout, m_versions[rollout.order.service], summary);
    auto decision = rollout.plan.step(input, steadyNow());
    if (decision.stage != rollout.decision.stage)
        logEvent(LogLevel::Info, "rollout_stage",
            { { "rollout", name }, { "version", rollout.order.version }, { "stage", nameOf(decision.stage) }, { "reason", decision.reason }, { "left_ms", input.timeLeft.count() }, { "endpoints", input.targetReady },
                { "sent_to_version", static_cast<long>(input.sentToTarget) }, { "sent", static_cast<long>(input.sentTotal) }, { "running_at_others", input.runningAtOthers } });
    rollout.decision = decision;
}

asio::awaitable<void> RolloutManager::recordState(const std::string& name, Rollout& rollout)
{
    RolloutRecord value { .version = rollout.order.version, .state = stateOf(rollout.decision.stage), .orderedAt = rollout.orderedAt };
    // A node that has just lost the duties must not overwrite what the next holder records.
    if (rollout.order.record == value || !m_ports.holdsDuties())
        co_return;
    auto status = m_ports.encode(value);
    auto written = co_await m_store.recordStatus(StoreKind::Rollouts, name, rollout.revision, status);
    logEvent(LogLevel::Info, "rollout_recorded", { { "rollout", name }, { "version", value.version }, { "state", status.value("state", "") }, { "result", written ? "written" : written.error().message } });
    if (written) {
        rollout.revision = written.value();
        rollout.order.record = value;
        co_return;
    }
    // The state may have been written, or the order may have been replaced, so the orders are read again. Unavailable means neither.
    m_hasReadOrders = written.error().code == ErrorCode::Unavailable && m_hasReadOrders;
}

void RolloutManager::publishShares(const NodeSummary& summary)
{
    auto publishedAt = trueNow(summary);
    std::vector<VersionShare> shares;
    std::set<std::string> ordered;
    for (const auto& [name, rollout] : m_rollouts) {
        const auto& versions = m_versions[rollout.order.service];
        bool isOver = isEnded(rollout.decision.stage) && !hasSeveralVersions(versions.listed);
        if (isOver)
            continue;
        ordered.insert(rollout.order.service);
        shares.push_back({ .service = rollout.order.service, .version = rollout.order.version, .share = rollout.decision.share, .orderedAt = rollout.orderedAt, .publishedAt = publishedAt });
    }
    // Without an order, all versions of a service may be used. Services whose versions differ only since the last read began are left out,
    // because a rollout may have been ordered in the meantime.
    for (const auto& [service, versions] : m_versions) {
        if (hasSeveralVersions(versions.listed) && m_mixedAtLastRead.contains(service) && !ordered.contains(service))
            shares.push_back({ .service = service, .share = 1, .publishedAt = publishedAt });
    }
    m_shares.set(std::move(shares));
}

} // namespace Onyxnotch
