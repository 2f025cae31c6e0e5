// Simulates the retry budgets of a fleet in simulated time: requests of one service arrive at all nodes, and fail again at each retry while
// the service's endpoints fail. The nodes run SharedRetryBudget and FleetSize; how many other nodes each one hears is set by the test.
#pragma once

#include "core/clock.h"
#include "modules/limits/retry_budget.h"
#include "modules/peers/fleet_size.h"
#include <algorithm>
#include <random>
#include <vector>

namespace Onyxnotch::Tests {

struct RetrySimulationOptions {
    unsigned nodes { 7 };
    double requestsPerSecond { 155 }; // Over all nodes.
    SharedRetryBudgetOptions budget { .perRequest = 0.2, .reserve = 54 };
    unsigned retriesPerRequest { 3 }; // Retries of a request while endpoints fail, as far as the budget allows them.
    std::uint64_t seed { 1 };
};

class RetrySimulation {
public:
    explicit RetrySimulation(const RetrySimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_nodes(options.nodes)
    {
        for (unsigned n = 0; n < options.nodes; ++n)
            restart(n);
    }

    void run(Milliseconds duration)
    {
        std::exponential_distribution<double> untilNext(m_options.requestsPerSecond);
        auto end = m_now + duration;
        while (m_now < end) {
            m_now += std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(untilNext(m_random)));
            arrive(std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random));
        }
    }

    // Replaces the node's process: it knows of no other node.
    void restart(std::size_t n)
    {
        auto options = m_options.budget;
        options.randomSeed = static_cast<std::uint32_t>(m_random());
        m_nodes[n] = { .budget = SharedRetryBudget(options) };
        hear(n, 0);
    }
    void restartAll()
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            restart(n);
    }
    // From now on the node hears this number of other nodes.
    void hear(std::size_t n, unsigned others)
    {
        auto& node = m_nodes[n];
        node.size.onHeard(others + 1);
        if (node.size.isKnown())
            node.budget.setNodes(node.size.largest());
    }
    void hearAll(unsigned others)
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            hear(n, others);
    }

    double failing { 0 }; // Chance that an attempt at an endpoint fails.
    unsigned refused { 0 }; // Retries that the budget refused.

    std::size_t retries() const { return m_retries.size(); }
    // Highest ratio of the retries in a window to what the platform allows in it.
    double highestUse(Milliseconds window) const
    {
        double highest = 0;
        for (auto start : m_retries) {
            auto retriesInWindow = countBetween(m_retries, start, start + window);
            auto requests = std::max({ countBetween(m_requests, start, start + window), countBetween(m_requests, start - window, start), countBetween(m_requests, start - window / 2, start + window / 2) });
            highest = std::max(highest, retriesInWindow / (m_options.budget.perRequest * requests + m_options.budget.reserve));
        }
        return highest;
    }

private:
    struct Node {
        SharedRetryBudget budget {};
        FleetSize size {};
    };

    static double countBetween(const std::vector<SteadyTime>& times, SteadyTime from, SteadyTime to)
    {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from));
    }

    bool fails() { return std::bernoulli_distribution(failing)(m_random); }

    void arrive(std::size_t n)
    {
        m_requests.push_back(m_now);
        auto& budget = m_nodes[n].budget;
        budget.onRequest("s", m_now);
        for (unsigned tries = 0; tries < m_options.retriesPerRequest && fails(); ++tries) {
            if (!budget.take("s", m_now)) {
                ++refused;
                return;
            }
            m_retries.push_back(m_now);
        }
    }

    RetrySimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    SteadyTime m_now { std::chrono::hours(1) };
    std::vector<SteadyTime> m_requests {};
    std::vector<SteadyTime> m_retries {};
};

} // namespace Onyxnotch::Tests
