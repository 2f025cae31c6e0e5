// What is asked of each service, averaged, for the decisions on how many endpoints there should be.
#pragma once

#include "modules/peers/peer_row.h"

namespace Onyxnotch {

class DemandMeter {
public:
    // `prefillSeconds` of an engine are expected for its prompt.
    void onRequest(const std::string& service, double prefillSeconds)
    {
        auto& it = m_counts[service];
        ++it.requests;
        it.prefillSeconds += prefillSeconds;
    }
    void onRefused(const std::string& service) { ++m_counts[service].refused; }
    void onBegin(const std::string& service) { ++m_counts[service].waiting; }
    void onFirstEvent(const std::string& service)
    {
        auto& it = m_counts[service];
        --it.waiting;
        ++it.running;
    }
    void onEnd(const std::string& service, bool hadFirstEvent)
    {
        auto& it = m_counts[service];
        --(hadFirstEvent ? it.running : it.waiting);
    }

    // Call at a steady period.
    void tick(double seconds)
    {
        for (auto& [service, counts] : m_counts) {
            auto& demand = m_demand[service];
            auto part = std::min(1.0, seconds / averagedSeconds);
            demand.requestsPerSecond += part * (counts.requests / seconds - demand.requestsPerSecond);
            demand.busyEngines += part * (counts.prefillSeconds / seconds - demand.busyEngines);
            demand.refusedPerSecond += part * (counts.refused / seconds - demand.refusedPerSecond);
            demand.waiting += part * (counts.waiting - demand.waiting);
            demand.running += part * (counts.running - demand.running);
            counts.requests = 0;
            counts.prefillSeconds = 0;
            counts.refused = 0;
        }
    }
    const std::map<std::string, ServiceDemand>& demand() const { return m_demand; }

private:
    // Shorter than an endpoint takes to start, so that a rise is seen in time; long enough for some dozen requests.
    static constexpr double averagedSeconds = 2;

    struct Counts {
        double requests { 0 };
        double prefillSeconds { 0 };
        double refused { 0 };
        double waiting { 0 };
        double running { 0 };
    };

    std::map<std::string, Counts> m_counts {};
    std::map<std::string, ServiceDemand> m_demand {};
};

} // namespace Onyxnotch
