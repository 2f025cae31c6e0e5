// Measures what this node admits for one team: the amount that other nodes do not know yet, and the average rate. Not thread-safe.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <utility>

namespace Onyxnotch {

// Exponentially weighted average of a rate, in units per second.
class AverageRate {
public:
    // Adds the amount that was spent in the `seconds` before now.
    void add(double amount, double seconds)
    {
        if (seconds <= 0)
            return;
        auto weight = 1 - std::exp(-seconds / averagingSeconds);
        m_perSecond += weight * (amount / seconds - m_perSecond);
        m_weight += weight * (1 - m_weight);
    }
    // Divided by the weight of the observed time, so that the average is not too low at the start.
    double perSecond() const { return m_weight > 0 ? std::max(0.0, m_perSecond / m_weight) : 0; }

private:
    // With one request a second at each node, a shorter time would make the average depend on single requests.
    static constexpr double averagingSeconds = 4;

    double m_perSecond { 0 };
    double m_weight { 0 };
};

class SpendingPace {
public:
    void onAdmitted(double amount, SteadyTime now)
    {
        m_admissions.push_back({ .at = now, .amount = amount });
        m_recentAmount += amount;
        m_sinceUpdate += amount;
        if (m_admissions.size() <= maximumAdmissions)
            return;
        m_admissions[1].amount += m_admissions[0].amount;
        m_admissions.pop_front();
    }
    // An admitted request did not run: the latest admissions count less.
    void onRefunded(double amount)
    {
        m_sinceUpdate -= amount;
        for (auto it = m_admissions.rbegin(); it != m_admissions.rend() && amount > 0; ++it) {
            auto refunded = std::min(amount, it->amount);
            it->amount -= refunded;
            m_recentAmount -= refunded;
            amount -= refunded;
        }
        m_recentAmount = std::max(0.0, m_recentAmount);
    }
    // Forgets admissions older than `span`.
    void forgetOlderThan(Milliseconds span, SteadyTime now)
    {
        for (; !m_admissions.empty() && now - m_admissions.front().at > span; m_admissions.pop_front())
            m_recentAmount = std::max(0.0, m_recentAmount - m_admissions.front().amount);
        if (m_admissions.empty())
            m_recentAmount = 0;
    }
    // Updates the average. Call when the other nodes' averages are updated, so that both cover the same time.
    void updateAverage(SteadyTime now)
    {
        auto amount = std::exchange(m_sinceUpdate, 0);
        if (m_updatedAt != SteadyTime {})
            m_average.add(amount, std::chrono::duration<double>(now - m_updatedAt).count());
        m_updatedAt = now;
    }
    // Amount admitted within the span of the last forgetOlderThan().
    double recentAmount() const { return m_recentAmount; }
    double perSecond() const { return m_average.perSecond(); }

private:
    // Bounds the memory of a node that is cut off for long. Beyond it, older admissions are combined and count a little longer.
    static constexpr std::size_t maximumAdmissions = 4096;

    struct Admission {
        SteadyTime at {};
        double amount { 0 };
    };

    std::deque<Admission> m_admissions {};
    double m_recentAmount { 0 };
    double m_sinceUpdate { 0 }; // Amount admitted since the average was last updated.
    SteadyTime m_updatedAt {};
    AverageRate m_average {};
};

} // namespace Onyxnotch
