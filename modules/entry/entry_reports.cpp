// The part of the request thread that counts and logs, once per gossip period, what has changed since the last one.
#include "modules/entry/entry_requests.h"

#include "core/log.h"
#include <cmath>

namespace Onyxnotch {

void EntryNode::RequestSide::detectSuspension()
{
    // Below this, other threads that ran between the reads of the two clocks may be the cause.
    constexpr Milliseconds minimumReported { 50 };
    auto now = InstanceClock::suspended();
    auto suspendedFor = toMilliseconds(now - suspended);
    suspended = now;
    if (suspendedFor < minimumReported)
        return;
    forward.metrics.increment("onyxnotch_entry_suspended_seconds_total", {}, static_cast<double>(suspendedFor.count()) / 1000);
    logEvent(LogLevel::Warning, "instance_suspended", { { "ms", suspendedFor.count() } });
}

void EntryNode::RequestSide::logEndpointSpeedChanges(SteadyTime now)
{
    auto percent = [](double ratio) { return std::lround(ratio * 100); };
    for (const auto& it : forward.endpoints.speeds().takeChanges()) {
        auto change = nameOf(it.kind);
        forward.metrics.increment("onyxnotch_entry_endpoint_speed_changes_total", { { "change", std::string(change) } });
        const auto* endpoint = forward.endpoints.findByShortName(it.endpoint);
        if (!endpoint || !endpointSpeedLines.take(now))
            continue;
        logEvent(LogLevel::Info, "endpoint_speed",
            { { "endpoint", endpoint->listed.id }, { "born", endpoint->listed.born }, { "service", endpoint->listed.service }, { "change", change }, { "first_event_percent", percent(it.firstEventRatio) }, { "pause_percent", percent(it.pauseRatio) }, { "requests", it.requests }, { "failures", it.failures }, { "ms", it.duration.count() } });
    }
}

void EntryNode::RequestSide::reportRefusedPeers(SteadyTime now)
{
    auto refused = peers.refused() - refusedPeers;
    if (refused == 0)
        return;
    forward.metrics.increment("onyxnotch_entry_refused_peers_total", {}, static_cast<double>(refused));
    refusedPeers += refused;
    if (refusedPeerLines.take(now))
        logEvent(LogLevel::Warning, "peer_table_full", { { "nodes", peers.size() }, { "refused", refusedPeers } });
}

void EntryNode::RequestSide::reportRetries(SteadyTime now)
{
    forward.metrics.set("onyxnotch_entry_retry_nodes", forward.retries.nodes());
    for (const auto& [service, use] : forward.retries.takeUses()) {
        if (use.retries + use.refusedRetries == 0)
            continue;
        forward.metrics.increment("onyxnotch_entry_retries_total", { { "service", service }, { "result", "allowed" } }, use.retries);
        forward.metrics.increment("onyxnotch_entry_retries_total", { { "service", service }, { "result", "refused" } }, use.refusedRetries);
        if (!retryLines.take(now))
            continue;
        logEvent(LogLevel::Info, "retry_budget",
            { { "service", service }, { "requests", use.requests }, { "retries", use.retries }, { "refused_retries", use.refusedRetries }, { "remaining", forward.retries.remaining(service) }, { "nodes", forward.retries.nodes() } });
    }
}

} // namespace Onyxnotch
