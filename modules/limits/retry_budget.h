// Limits the retries of one node, by service: a share of its requests plus a small reserve. All nodes together stay within the budget
// that they share. Not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace Onyxnotch {

struct SharedRetryBudgetOptions {
    double perRequest { 0.2 }; // Retries per request, over all nodes.
    double reserve { 10 }; // Additional retries per time window, over all nodes.
    double usedShare { 0.8 }; // Share of `perRequest` that is spent: a burst that falls into two windows may exceed the ratio in one of them.
    double reserveShare { 0.4 }; // Share of `reserve` that is spent: a node that restarts begins with a new reserve.
};

// What was counted for one service since the last call of SharedRetryBudget::takeUses().
struct RetryBudgetUse {
    unsigned requests { 0 };
    unsigned retries { 0 }; // Retries that the budget allowed,
    unsigned refusedRetries { 0 }; // and retries that it refused.

    auto operator<=>(const RetryBudgetUse&) const = default;
};

class SharedRetryBudget {
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions& options = {})
        : m_options(options)
    {
    }

    void setOptions(const SharedRetryBudgetOptions& options) { m_options = options; }
    void setNodes(unsigned nodes) { m_nodes = std::max(1U, nodes); }
    void onRequest(const std::string& service)
    {
        ++m_uses[service].requests;
        add(service, m_options.perRequest * m_options.usedShare);
    }
    // Takes one retry. Returns false if the budget is exhausted.
    bool take(const std::string& service)
    {
        auto& remaining = remainingRetries(service);
        auto& use = m_uses[service];
        if (remaining < 1) {
            ++use.refusedRetries;
            return false;
        }
        ++use.retries;
        remaining -= 1;
        return true;
    }
    double nodes() const { return m_nodes; }
    // Retries that the service has left; 0 if nothing is known of it.
    double remaining(const std::string& service) const
    {
        auto it = m_remaining.find(service);
        return it == m_remaining.end() ? 0 : it->second;
    }
    // Returns the counts since the last call, by service, and resets them.
    std::map<std::string, RetryBudgetUse> takeUses() { return std::exchange(m_uses, {}); }

private:
    double reserve() const { return std::max(1.0, m_options.reserve * m_options.reserveShare / m_nodes); }
    double& remainingRetries(const std::string& service) { return m_remaining.try_emplace(service, reserve()).first->second; }
    void add(const std::string& service, double amount)
    {
        auto& remaining = remainingRetries(service);
        remaining = std::min(reserve() + 1, remaining + amount);
    }

    SharedRetryBudgetOptions m_options;
    double m_nodes { 1 };
    std::map<std::string, double> m_remaining {};
    std::map<std::string, RetryBudgetUse> m_uses {};
};

} // namespace Onyxnotch
