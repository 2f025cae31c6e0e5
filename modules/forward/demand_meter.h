// Measures the demand on each service as moving averages; the input for scaling the number of endpoints.
#pragma once

#include "modules/peers/peer_row.h"

namespace Onyxnotch {

class DemandMeter {
public:
    // Counts a new request; `prefillSeconds` is the engine time expected for the prefill of its prompt.
    void onRequest(const std::string& service, double prefillSeconds)
    {
        auto& it = m_counts[service];
        ++it.requests;
        it.prefillSeconds += prefillSeconds;
    }
    void onRefused(const std::string& service) { ++m_counts[service].refused; }
    // The request now counts as waiting, until onFirstEvent() or onEnd().
    void onBegin(const std::string& service) { ++m_counts[service].waiting; }
    void onFirstEvent(const std::string& service)
    {
        auto& it = m_counts[service];
        --it.waiting;
        ++it.running;
    }
    // `hadFirstEvent`: whether onFirstEvent() was called for this request.
    void onEnd(const std::string& service, bool hadFirstEvent)
    {
        auto& it = m_counts[service];
        --(hadFirstEvent ? it.running : it.waiting);
    }

    // Updates the averages; call regularly, with the seconds since the last call.
    void tick(double seconds)
    {
        for (auto& [service, counts] : m_counts) {
            auto& demand = m_demand[service];
            auto weight = std::min(1.0, seconds / averagingSeconds);
            demand.requestsPerSecond += weight * (counts.requests / seconds - demand.requestsPerSecond);
            demand.busyEngines += weight * (counts.prefillSeconds / seconds - demand.busyEngines);
            demand.refusedPerSecond += weight * (counts.refused / seconds - demand.refusedPerSecond);
            demand.waiting += weight * (counts.waiting - demand.waiting);
            demand.running += weight * (counts.running - demand.running);
            counts.requests = 0;
            counts.prefillSeconds = 0;
            counts.refused = 0;
        }
    }
    const std::map<std::string, ServiceDemand>& demand() const { return m_demand; }

private:
    // Averaging time: shorter than the start of an endpoint, so that a rise in demand is seen in time, and long enough to cover a few dozen
    // requests.
    static constexpr double averagingSeconds = 2;

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
