// Benchmark of the routing and reclaim policies: runs each workload with each policy, under normal conditions, while all instances of a
// zone are reclaimed, and under three times the load. Prints one JSON line per run. Run by misc/measure.sh.
#include "modules/load/load_runner.h"
#include "tests/fakes/expected_answer.h"
#include "tests/harness/cluster.h"
#include <algorithm>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

constexpr unsigned enginesPerZone = 3;
constexpr std::uint64_t seed = 20261202;
constexpr Milliseconds noticeTime { 3000 };
constexpr double secondsPerHour = 3600;
constexpr double pricePerHour = 1;

struct Policy {
    std::string name;
    Json gatewaySettings;
};

std::vector<Policy> policies()
{
    Json baseline { { "reclaimPolicy", "prefill-again" }, { "timelyPart", 0 } };
    auto withRouting = [&](const char* name) {
        auto settings = baseline;
        settings["routingPolicy"] = name;
        return Policy { .name = name, .gatewaySettings = settings };
    };
    return { { .name = "onyxnotch", .gatewaySettings = Json::object() }, withRouting("random"), withRouting("least-reported-load"), withRouting("two-choices") };
}

// Token counters read from the processes. They are lost when a process ends.
struct Counters {
    double recomputed { 0 };
    double prefilled { 0 };
};

class Measurement {
public:
    Measurement(const Workload& workload, const Policy& policy, Milliseconds length)
        : m_workload(workload)
        , m_policy(policy)
        , m_length(length)
        , m_cluster(options(policy))
    {
    }

    bool run(const std::string& phase, double rateFactor)
    {
        if (!m_cluster.deploy(enginesPerZone * 3)) {
            std::cerr << "the site did not come up" << std::endl;
            return false;
        }
        auto workload = m_workload;
        workload.requestsPerSecond *= rateFactor;
        auto trace = makeTrace(workload, seed, m_length);
        LoadOptions load { .teamKeys = { Cluster::teamKey, Cluster::otherTeamKey }, .maximumInFlight = 1500 };
        for (const auto& it : m_cluster.gateways())
            load.gateways.push_back(it->http);
        load.verify = [](const TraceRequest& request, const std::string& text) { return text == Fakes::expectedAnswer(Fakes::promptOf(request.prompt), request.maximumTokens); };
        auto running = std::async(std::launch::async, [&] { return runLoad(load, trace); });
        if (phase == "wave")
            reclaimWave();
        auto summary = running.get();
        report(phase, summary);
        return true;
    }

private:
    static ClusterOptions options(const Policy& policy)
    {
        ClusterOptions options { .enginesPerZone = enginesPerZone };
        options.engineArguments = { "--token-us", "15000", "--prefill-rate", "8000", "--slots", "16", "--cached-blocks", "130", "--report-lag-ms", "300" };
        options.gatewaySettings = { { "httpThreads", 700 }, { "loadPeriodMs", 200 }, { "prefillTokensPerSecond", 8000 }, { "batchSlots", 16 }, { "tokenMs", 15 } };
        options.gatewaySettings.merge_patch(policy.gatewaySettings);
        return options;
    }

    // After a third of the run, all instances of one zone receive a reclaim notice and are killed at its deadline.
    void reclaimWave()
    {
        std::this_thread::sleep_for(m_length / 3);
        auto& gateway = m_cluster.gateway(0);
        m_cluster.post(m_cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ gateway.instance }) }, { "zone", gateway.zone }, { "time_left_ms", noticeTime.count() } });
        auto deadline = steadyNow() + noticeTime;
        // Read the counters of the gateway repeatedly until it is killed.
        waitUntil([&] {
            auto current = gatewayCounters(gateway);
            if (current.recomputed > 0 || current.prefilled > 0)
                m_killedCounters.recomputed = std::max(m_killedCounters.recomputed, current.recomputed);
            return steadyNow() >= deadline;
        },
            noticeTime);
        for (auto& it : m_cluster.engines()) {
            if (it.zone != gateway.zone)
                continue;
            m_killedCounters.prefilled += m_cluster.get(it.address, "/control").value("prefilled_tokens", 0.0);
            it.process->kill();
        }
        gateway.process->kill();
        m_killedZone = gateway.zone;
    }

    Counters gatewayCounters(const GatewayProcess& gateway) const { return { .recomputed = m_cluster.metric(gateway, "onyxnotch_recomputed_tokens_total") }; }

    void report(const std::string& phase, const LoadSummary& summary)
    {
        auto counters = m_killedCounters;
        for (const auto& it : m_cluster.gateways()) {
            if (it->zone != m_killedZone)
                counters.recomputed += gatewayCounters(*it).recomputed;
        }
        for (auto& it : m_cluster.engines()) {
            if (it.zone != m_killedZone)
                counters.prefilled += m_cluster.get(it.address, "/control").value("prefilled_tokens", 0.0);
        }
        auto runs = m_cluster.serviceRuns();
        auto executedTwice = std::count_if(runs.begin(), runs.end(), [](const auto& it) { return it.second > 1; });
        auto price = pricePerHour * enginesPerZone * 3 * summary.seconds / secondsPerHour;
        Json resultLine {
            { "workload", m_workload.name },
            { "phase", phase },
            { "policy", m_policy.name },
            { "cost_at_target", summary.onTarget ? 1000 * price / summary.onTarget : 0 },
            { "recomputed_part", summary.tokens ? counters.recomputed / static_cast<double>(summary.tokens) : 0 },
            { "prefilled_part", summary.tokens ? counters.prefilled / static_cast<double>(summary.tokens) : 0 },
            { "first_token_p95_ms", 1000 * summary.firstTokenP95 },
            { "between_tokens_p95_ms", 1000 * summary.betweenTokensP95 },
            { "refused_part", summary.sent ? static_cast<double>(summary.refused) / summary.sent : 0 },
            { "refusal_p95_ms", 1000 * summary.refusalP95 },
            { "on_target_per_second", summary.onTarget / std::chrono::duration<double>(m_length).count() },
            { "sent", summary.sent },
            { "on_target", summary.onTarget },
            { "unknown", summary.unknown },
            { "dropped", summary.dropped },
            { "lost", summary.lost },
            { "twice", executedTwice },
        };
        std::cout << resultLine.dump() << std::endl;
    }

    Workload m_workload;
    Policy m_policy;
    Milliseconds m_length;
    Cluster m_cluster;
    Counters m_killedCounters;
    std::string m_killedZone;
};

} // namespace

// Arguments: the duration of each trace in seconds, then names of phases, policies and workloads to run. If no phase, policy or workload
// is named, all of that group are run.
int main(int argc, char** argv)
{
    auto seconds = argc > 1 ? std::strtol(argv[1], nullptr, 10) : 12;
    std::vector<std::string> selection(argv + std::min(argc, 2), argv + argc);
    auto isSelected = [&](const std::vector<std::string>& group, const std::string& argument) {
        bool groupIsRestricted = std::any_of(selection.begin(), selection.end(), [&](const auto& it) { return std::find(group.begin(), group.end(), it) != group.end(); });
        return !groupIsRestricted || std::find(selection.begin(), selection.end(), argument) != selection.end();
    };
    const std::vector<std::string> workloads { "cold-yards", "despacho-litoral" };
    const std::vector<std::string> phases { "calm", "wave", "overload" };
    std::vector<std::string> names;
    for (const auto& it : policies())
        names.push_back(it.name);
    bool ok = true;
    for (const auto& workload : workloads) {
        for (const auto& phase : phases) {
            for (const auto& policy : policies()) {
                if (!isSelected(workloads, workload) || !isSelected(phases, phase) || !isSelected(names, policy.name))
                    continue;
                Measurement measurement(workloadNamed(workload).value(), policy, Milliseconds(seconds * 1000));
                ok = measurement.run(phase, phase == "overload" ? 3 : 1) && ok;
            }
        }
    }
    return ok ? 0 : 1;
}
