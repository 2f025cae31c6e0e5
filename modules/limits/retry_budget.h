// Limits the retries of one node, by service, so that all nodes together stay within the budget that they share: a share of the service's
// requests, plus a reserve in each time window. Not thread-safe.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Onyxnotch {

struct SharedRetryBudgetOptions {
    double perRequest { 0.2 }; // Retries per request, over all nodes.
    double reserve { 10 }; // Additional retries per time window, over all nodes.
    Milliseconds window { 10000 }; // The retries are limited in every span of this length.
    // Share of `perRequest` that requests earn. The rest is for retries that an endpoint receives some time after they were allowed, and that
    // a window therefore has in addition to its own.
    double usedShare { 0.8 };
    Milliseconds earnedFor { 1000 }; // What requests earn is saved after about this time, as far as there is room.
    double savedShare { 0.7 }; // Share of `reserve` that all nodes together may have saved when a window begins.
    double refillShare { 0.1 }; // Share of `reserve` that accumulates in a window, whether or not there are requests.
    double startShare { 0.1 }; // Share of `reserve` that all nodes together have after a start; they may start twice in a window.
    std::uint32_t randomSeed { std::random_device {}() };
};

// What was counted for one service since the last call of SharedRetryBudget::takeUses().
struct RetryBudgetUse {
    unsigned requests { 0 };
    unsigned retries { 0 }; // Retries that the budget allowed,
    unsigned refusedRetries { 0 }; // and retries that it refused.

    auto operator<=>(const RetryBudgetUse&) const = default;
};

// A node saves up to its even part of the reserve, but begins with a small share of it, so that restarts add little to what the fleet may
// spend.
class SharedRetryBudget {
public:
    explicit SharedRetryBudget(const SharedRetryBudgetOptions& options = {});

    void setOptions(const SharedRetryBudgetOptions& options) { m_options = options; }
    // Sets the number of nodes that share the reserve. Until it is known, a node has no part of the reserve and can save one retry at most.
    void setNodes(unsigned nodes) { m_nodes = nodes; }
    void onRequest(const std::string& service, SteadyTime now);
    // Takes one retry. Returns false if the budget is exhausted. Where a node's part of the reserve is less than one retry, what it has saved
    // is the chance that it may retry once.
    bool take(const std::string& service, SteadyTime now);

    unsigned nodes() const { return m_nodes.value_or(0); }
    // Retries that the service has left, as of its last request or retry.
    double remaining(const std::string& service) const;
    // Returns the counts since the last call, by service, and resets them.
    std::map<std::string, RetryBudgetUse> takeUses();

private:
    struct Account {
        double earned { 0 }; // Retries left of what recent requests earned.
        double saved { 0 }; // Retries left of what was earned or has accumulated before.
        bool hasStartShare { false };
        SteadyTime updatedAt {};
        RetryBudgetUse use {};

        double remaining() const { return earned + saved; }
        // Takes one retry, or all that is left.
        void spend();
    };

    double mostSaved() const;
    // This node's part of a share of the reserve; 0 while the number of nodes is unknown.
    double partOfReserve(double share) const { return m_nodes ? m_options.reserve * share / std::max(1U, *m_nodes) : 0; }
    double startAmount();
    // Returns the service's account with what has accumulated until `now`.
    Account& update(const std::string& service, SteadyTime now);
    bool draw(double chance) { return std::bernoulli_distribution(chance)(m_random); }

    SharedRetryBudgetOptions m_options;
    std::optional<unsigned> m_nodes {};
    std::map<std::string, Account> m_accounts {};
    std::mt19937_64 m_random;
};

} // namespace Onyxnotch
