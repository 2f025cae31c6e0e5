// Measures what this node admits for one team: the amount that other nodes do not know yet, and the average rate. Not thread-safe.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <limits>
#include <utility>

namespace Onyxnotch {

// Exponentially weighted average of a rate, in units per second.
class AverageRate {
public:
    // Adds the amount that was spent in the `seconds` before now. If that is no time, the amount is added with the next one.
    void add(double amount, double seconds)
    {
        m_pending += amount;
        if (seconds <= 0)
            return;
        auto weight = 1 - std::exp(-seconds / averagingSeconds);
        m_perSecond += weight * (std::exchange(m_pending, 0) / seconds - m_perSecond);
        m_weight += weight * (1 - m_weight);
    }
    // Divided by the weight of the observed time, so that the average is not too low at the start.
    double perSecond() const { return m_weight > 0 ? std::max(0.0, m_perSecond / m_weight) : 0; }
    double weight() const { return m_weight; }

private:
    // With one request a second at each node, a shorter time would make the average depend on single requests.
    static constexpr double averagingSeconds = 4;

    double m_perSecond { 0 };
    double m_weight { 0 };
    double m_pending { 0 }; // Amount that is not in the average yet.
};

class SpendingPace {
public:
    // Of an amount far above the average, at most `maximumRecent` counts as recent. Otherwise a single large request would stop a node's small
    // ones until the other nodes know of it. `reserved` is the part of the amount that comes from a reserve of this node; it does not count.
    void onAdmitted(double amount, SteadyTime now, double maximumRecent = std::numeric_limits<double>::max(), double reserved = 0)
    {
        Admission admission { .at = now, .amount = amount, .reserved = reserved };
        updateAverageAmount(amount, maximumRecent);
        // A single request does not show whether it is far above the average.
        admission.recent = recentPart(admission, m_requests == 1 ? 0 : m_averageAmount, maximumRecent);
        m_admissions.push_back(admission);
        m_recentAmount += admission.recent;
        m_sinceUpdate += amount;
        if (m_admissions.size() <= maximumAdmissions)
            return;
        m_admissions[1].amount += m_admissions[0].amount;
        m_admissions[1].reserved += m_admissions[0].reserved;
        m_admissions[1].recent += m_admissions[0].recent;
        m_admissions.pop_front();
    }
    // An admitted request did not run: the latest admissions count less.
    void onRefunded(double amount)
    {
        m_sinceUpdate -= amount;
        for (auto it = m_admissions.rbegin(); it != m_admissions.rend() && amount > 0; ++it) {
            auto refunded = std::min(amount, it->amount);
            auto recent = std::max(0.0, it->recent - refunded);
            m_recentAmount -= it->recent - recent;
            it->amount -= refunded;
            it->recent = recent;
            amount -= refunded;
        }
        m_recentAmount = std::max(0.0, m_recentAmount);
    }
    // Forgets admissions older than `span`.
    void forgetOlderThan(Milliseconds span, SteadyTime now)
    {
        for (; !m_admissions.empty() && now - m_admissions.front().at > span; m_admissions.pop_front())
            m_recentAmount = std::max(0.0, m_recentAmount - m_admissions.front().recent);
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
    // Weight of the time that perSecond() is an average of: 0 at the start, 1 after several seconds.
    double averageWeight() const { return m_average.weight(); }

private:
    // Bounds the memory of a node that is cut off for long. Beyond it, older admissions are combined and count a little longer.
    static constexpr std::size_t maximumAdmissions = 4096;

    static constexpr double averageAmountWeight = 0.05; // Weight of the latest request.
    static constexpr double largeAmountFactor = 2;

    struct Admission {
        SteadyTime at {};
        double amount { 0 };
        double reserved { 0 }; // Part of the amount that came from a reserve.
        double recent { 0 }; // Part of the amount that counts as recent.
    };

    static double recentPart(const Admission& it, double averageAmount, double maximumRecent)
    {
        return std::clamp(it.amount - it.reserved, 0.0, std::max(maximumRecent, averageAmount * largeAmountFactor));
    }

    // The average starts with the smaller one of the first two requests, by which the first one is then counted again.
    void updateAverageAmount(double amount, double maximumRecent)
    {
        ++m_requests;
        if (m_requests == 1) {
            m_averageAmount = amount;
        } else if (m_requests == 2) {
            m_averageAmount = std::min(m_averageAmount, amount);
            recountFirst(amount, maximumRecent);
        } else
            m_averageAmount += (amount - m_averageAmount) * averageAmountWeight;
    }

    // The first request may be forgotten by now.
    void recountFirst(double averageAmount, double maximumRecent)
    {
        if (m_admissions.empty())
            return;
        auto& first = m_admissions.front();
        m_recentAmount -= first.recent;
        first.recent = recentPart(first, averageAmount, maximumRecent);
        m_recentAmount += first.recent;
    }

    std::deque<Admission> m_admissions {};
    double m_recentAmount { 0 };
    double m_averageAmount { 0 }; // Of one request.
    std::uint64_t m_requests { 0 };
    double m_sinceUpdate { 0 }; // Amount admitted since the average was last updated.
    SteadyTime m_updatedAt {};
    AverageRate m_average {};
};

} // namespace Onyxnotch
