// Further tries that a node may make for a service: a part of its requests, and a small reserve. The parts of all nodes together stay
// inside the budget that all of them share.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

struct SharedRetryBudgetOptions {
    double perRequest { 0.2 }; // Tries beyond the first, as a part of the requests, over all nodes.
    double reserve { 10 }; // Beyond that, over all nodes, in each window.
    double ownPart { 0.8 }; // Of the part that is spent: leaves room for windows that cut a burst in two.
    double reservePart { 0.4 }; // Of the reserve: a node that restarts begins with a new one.
};

class SharedRetryBudget {
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions& options = {})
        : m_options(options)
    {
    }

    void setOptions(const SharedRetryBudgetOptions& options) { m_options = options; }
    void setNodes(unsigned nodes) { m_nodes = std::max(1U, nodes); }
    void onRequest(const std::string& service) { add(service, m_options.perRequest * m_options.ownPart); }
    // False where the budget is used up.
    bool take(const std::string& service)
    {
        auto& left = balance(service);
        if (left < 1)
            return false;
        left -= 1;
        return true;
    }

private:
    double reserve() const { return std::max(1.0, m_options.reserve * m_options.reservePart / m_nodes); }
    double& balance(const std::string& service) { return m_balances.try_emplace(service, reserve()).first->second; }
    void add(const std::string& service, double amount)
    {
        auto& left = balance(service);
        left = std::min(reserve() + 1, left + amount);
    }

    SharedRetryBudgetOptions m_options;
    double m_nodes { 1 };
    std::map<std::string, double> m_balances {};
};

} // namespace Onyxnotch
