// Limits the retries of one node, by service: a share of its requests plus a small reserve. All nodes together stay within the budget
// that they share. Not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

struct SharedRetryBudgetOptions {
    double perRequest { 0.2 }; // Retries per request, over all nodes.
    double reserve { 10 }; // Additional retries per time window, over all nodes.
    double usedShare { 0.8 }; // Share of `perRequest` that is spent: a burst that falls into two windows may exceed the ratio in one of them.
    double reserveShare { 0.4 }; // Share of `reserve` that is spent: a node that restarts begins with a new reserve.
};

class SharedRetryBudget {
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions& options = {})
        : m_options(options)
    {
    }

    void setOptions(const SharedRetryBudgetOptions& options) { m_options = options; }
    void setNodes(unsigned nodes) { m_nodes = std::max(1U, nodes); }
    void onRequest(const std::string& service) { add(service, m_options.perRequest * m_options.usedShare); }
    // Takes one retry. Returns false if the budget is exhausted.
    bool take(const std::string& service)
    {
        auto& remaining = remainingRetries(service);
        if (remaining < 1)
            return false;
        remaining -= 1;
        return true;
    }

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
};

} // namespace Onyxnotch
