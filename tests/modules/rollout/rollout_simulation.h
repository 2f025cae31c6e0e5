// Simulates rollouts in simulated time, reproducible by seed. The fleet's requests are one stream whose totals reach the decision with a
// delay, and new versions may be bad in several ways. The decisions are made by RolloutPlan and RolloutEvaluator.
#pragma once

#include "modules/rollout/rollout_plan.h"
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <random>

namespace Onyxnotch::Tests {

struct RolloutSimulationOptions {
    RolloutPlanOptions plan {};
    std::uint64_t seed { 1 };
    double requestsPerSecond { 250 };
    Milliseconds duration { 20000 };
    Milliseconds bootTime { 4000 };
    Milliseconds updateDelay { 1000 }; // Delay of the totals on the way to the holder, and of shares on the way to the nodes.
    Milliseconds answerTime { 600 };
    double badShare { 0 }; // Share of the new version's answers that are bad, beyond the usual failures.
    Milliseconds badFrom { 0 }; // Time after the boot of the new endpoints from which answers are bad.
    bool oneRoute { false }; // Only one of the five routes has bad answers.
};

struct RolloutOutcome {
    RolloutStage stage { RolloutStage::Waiting };
    Milliseconds at { 0 }; // Time of the last change of stage, since the order.
    double sentToTarget { 0 }; // Requests until the deadline.
    double sentTotal { 0 }; // The same for both versions.
    std::uint32_t runningAtCompletion { 0 }; // Requests running at the old version when the rollout is completed.

    bool isWithin(const RolloutPlanOptions& plan) const { return sentToTarget <= plan.canaryShare * sentTotal + plan.canarySlack; }
};

inline RolloutOutcome simulateRollout(const RolloutSimulationOptions& options)
{
    constexpr std::array usualBadShares { 0.0, 0.004, 0.14, 0.01, 0.02 };
    constexpr std::array routeShares { 0.3, 0.2, 0.1, 0.25, 0.15 };
    constexpr Milliseconds step { 10 };
    std::mt19937_64 random(options.seed);
    auto chance = [&](double part) { return std::uniform_real_distribution<double>(0, 1)(random) < part; };
    std::discrete_distribution<std::size_t> routeOf(routeShares.begin(), routeShares.end());
    RolloutPlan plan(options.plan);
    RolloutEvaluator evaluator;
    VersionTrials trials;
    std::deque<std::pair<Milliseconds, VersionTrials>> totals;
    std::deque<std::pair<Milliseconds, double>> shares;
    std::multimap<Milliseconds, std::pair<VersionRoute, bool>> running;
    RolloutOutcome outcome;
    const SteadyTime start { std::chrono::hours(1) };
    double share = 0;
    bool hasCompleted = false;
    for (Milliseconds now { 0 }; now < options.duration + Milliseconds(6000); now += step) {
        bool hasBooted = now >= options.bootTime;
        auto arrivals = std::poisson_distribution<int>(options.requestsPerSecond * static_cast<double>(step.count()) / 1000)(random);
        for (int n = 0; n < arrivals; ++n) {
            auto route = routeOf(random);
            bool toTarget = hasBooted && chance(share);
            VersionRoute key { .service = "s", .version = toTarget ? "new" : "old", .route = "r" + std::to_string(route) };
            bool hasTurnedBad = toTarget && now >= options.bootTime + options.badFrom && (!options.oneRoute || route == 3);
            bool bad = chance(usualBadShares[route]) || (hasTurnedBad && chance(options.badShare));
            if (hasBooted)
                ++trials[key].sent;
            auto answerDuration = Milliseconds(1 + static_cast<std::int64_t>(std::exponential_distribution<double>(1.0 / static_cast<double>(options.answerTime.count()))(random)));
            if (hasBooted)
                running.emplace(now + answerDuration, std::pair(key, bad));
            if (now <= options.duration) {
                ++outcome.sentTotal;
                outcome.sentToTarget += toTarget ? 1 : 0;
            }
        }
        while (!running.empty() && running.begin()->first <= now) {
            const auto& [key, bad] = running.begin()->second;
            auto& counts = trials[key];
            ++counts.ended;
            ++(bad ? counts.bad : counts.good);
            running.erase(running.begin());
        }
        while (!shares.empty() && shares.front().first <= now) {
            share = shares.front().second;
            shares.pop_front();
        }
        if (now.count() % 250 != 0)
            continue;
        totals.emplace_back(now, trials);
        while (totals.size() > 1 && totals[1].first + options.updateDelay <= now)
            totals.pop_front();
        VersionTrials received = totals.front().first + options.updateDelay <= now ? totals.front().second : VersionTrials {};
        RolloutInput input { .timeLeft = options.duration - now, .duration = options.duration, .targetReady = hasBooted ? 10U : 0U, .othersListed = 10, .requestRate = options.requestsPerSecond };
        for (const auto& [key, counts] : received) {
            input.sentTotal += counts.sent;
            input.sentToTarget += key.version == "new" ? counts.sent : 0;
            input.runningAtOthers += key.version == "old" ? counts.running() : 0;
        }
        input.verdict = evaluator.update(evidenceOf(received, "s", "new"));
        auto decision = plan.step(input, start + now);
        shares.emplace_back(now + options.updateDelay, decision.share);
        if (decision.stage != outcome.stage) {
            outcome.stage = decision.stage;
            outcome.at = now;
        }
        if (decision.stage == RolloutStage::Completed && !hasCompleted) {
            hasCompleted = true;
            for (const auto& [key, counts] : trials)
                outcome.runningAtCompletion += key.version == "old" ? counts.running() : 0;
        }
        // After a revert, nodes stop sending to the new version immediately, without waiting for the delayed share.
        if (decision.stage == RolloutStage::Reverted) {
            shares.clear();
            share = 0;
        }
    }
    return outcome;
}

} // namespace Onyxnotch::Tests
