// Seeded roll-outs in simulated time: a fleet's requests as one stream, whose totals are heard late, with versions that are bad in every
// way that they can be. What it runs is RolloutPlan and RolloutJudge.
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
    Milliseconds boot { 4000 };
    Milliseconds newsAge { 1000 }; // Of totals at the holder, and of shares at the nodes.
    Milliseconds answerTime { 600 };
    double failing { 0 }; // Part of the new version's answers that are bad,
    Milliseconds failingFrom { 0 }; // since its endpoints came,
    bool oneRoute { false }; // on one route of five alone.
};

struct RolloutOutcome {
    RolloutStage stage { RolloutStage::Waiting };
    Milliseconds at { 0 }; // Since the order.
    double sentToTarget { 0 }; // Until the deadline.
    double sentInAll { 0 };
    std::uint32_t runningAtCompletion { 0 }; // At the old version.

    bool isWithin(const RolloutPlanOptions& plan) const { return sentToTarget <= plan.canaryShare * sentInAll + plan.canarySlack; }
};

inline RolloutOutcome simulateRollout(const RolloutSimulationOptions& options)
{
    constexpr std::array usualFailing { 0.0, 0.004, 0.14, 0.01, 0.02 };
    constexpr std::array parts { 0.3, 0.2, 0.1, 0.25, 0.15 };
    constexpr Milliseconds step { 10 };
    std::mt19937_64 random(options.seed);
    auto chance = [&](double part) { return std::uniform_real_distribution<double>(0, 1)(random) < part; };
    std::discrete_distribution<std::size_t> routeOf(parts.begin(), parts.end());
    RolloutPlan plan(options.plan);
    RolloutJudge judge;
    VersionTrials trials;
    std::deque<std::pair<Milliseconds, VersionTrials>> news;
    std::deque<std::pair<Milliseconds, double>> shares;
    std::multimap<Milliseconds, std::pair<VersionRoute, bool>> running;
    RolloutOutcome outcome;
    const SteadyTime start { std::chrono::hours(1) };
    double share = 0;
    bool hasCompleted = false;
    for (Milliseconds now { 0 }; now < options.duration + Milliseconds(6000); now += step) {
        bool hasBooted = now >= options.boot;
        auto arrivals = std::poisson_distribution<int>(options.requestsPerSecond * static_cast<double>(step.count()) / 1000)(random);
        for (int n = 0; n < arrivals; ++n) {
            auto route = routeOf(random);
            bool toTarget = hasBooted && chance(share);
            VersionRoute key { .service = "s", .version = toTarget ? "new" : "old", .route = "r" + std::to_string(route) };
            bool isFailing = toTarget && now >= options.boot + options.failingFrom && (!options.oneRoute || route == 3);
            bool bad = chance(usualFailing[route]) || (isFailing && chance(options.failing));
            if (hasBooted)
                ++trials[key].sent;
            auto takes = Milliseconds(1 + static_cast<std::int64_t>(std::exponential_distribution<double>(1.0 / static_cast<double>(options.answerTime.count()))(random)));
            if (hasBooted)
                running.emplace(now + takes, std::pair(key, bad));
            if (now <= options.duration) {
                ++outcome.sentInAll;
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
        news.emplace_back(now, trials);
        while (news.size() > 1 && news[1].first + options.newsAge <= now)
            news.pop_front();
        VersionTrials heard = news.front().first + options.newsAge <= now ? news.front().second : VersionTrials {};
        RolloutInput input { .left = options.duration - now, .duration = options.duration, .targetReady = hasBooted ? 10U : 0U, .othersListed = 10, .perSecond = options.requestsPerSecond };
        for (const auto& [key, counts] : heard) {
            input.sentInAll += counts.sent;
            input.sentToTarget += key.version == "new" ? counts.sent : 0;
            input.runningOnOthers += key.version == "old" ? counts.running() : 0;
        }
        input.verdict = judge.update(evidenceOf(heard, "s", "new"));
        auto decision = plan.step(input, start + now);
        shares.emplace_back(now + options.newsAge, decision.share);
        if (decision.stage != outcome.stage) {
            outcome.stage = decision.stage;
            outcome.at = now;
        }
        if (decision.stage == RolloutStage::Completed && !hasCompleted) {
            hasCompleted = true;
            for (const auto& [key, counts] : trials)
                outcome.runningAtCompletion += key.version == "old" ? counts.running() : 0;
        }
        // Each node stops by itself at what it hears.
        if (decision.stage == RolloutStage::Reverted) {
            shares.clear();
            share = 0;
        }
    }
    return outcome;
}

} // namespace Onyxnotch::Tests
