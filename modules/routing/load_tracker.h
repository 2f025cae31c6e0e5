// What this node knows of the load of its endpoints: its own requests in flight, and the engines' late reports.
#pragma once

#include "modules/balance/endpoint_health.h"
#include "modules/balance/endpoint_rests.h"
#include "modules/limits/endpoint_limits.h"
#include "modules/routing/route.h"
#include "servers/engine/engine_client.h"
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace Onyxnotch {

struct LoadTrackerOptions {
    double prefillTokensPerSecond { 8000 }; // Of one engine.
};

// Thread safe.
class LoadTracker {
public:
    explicit LoadTracker(const LoadTrackerOptions& options = {});

    // Counts a request at an endpoint for as long as it lives.
    class InFlight {
    public:
        InFlight() = default;
        InFlight(LoadTracker&, std::string endpoint);
        ~InFlight();
        InFlight(InFlight&&) noexcept;
        InFlight& operator=(InFlight&&) noexcept;

    private:
        void release();
        LoadTracker* m_tracker { nullptr };
        std::string m_endpoint {};
    };

    // `tokens` are expected to be prefilled. The other `nodes` - 1 gateways are expected to start as much as this one.
    InFlight begin(const std::string& endpoint, std::uint64_t prefixHash, double tokens, unsigned nodes);
    void report(const std::string& endpoint, const EngineLoad&);
    EndpointLoad load(const std::string& endpoint, std::uint64_t prefixHash) const;
    void forget(const std::string& endpoint);
    // It turned a request away and wants nothing from this node for so long.
    void askedRest(const std::string& endpoint, Milliseconds);
    // How long it still rests; 0 where it does not.
    Milliseconds restLeft(const std::string& endpoint) const;
    // An answer to what was sent at `sentAt` names how many requests a second it takes from all gateways together, or names none. This one
    // takes an even part of it.
    void namedLimit(const std::string& endpoint, std::optional<double> perSecond, SteadyTime sentAt, unsigned gateways);
    // A request is to be sent there; returns whether it may.
    bool takeCredit(const std::string& endpoint);
    // It was not sent.
    void giveCreditBack(const std::string& endpoint);
    // Until it rests no longer and there may be a credit; 0 where it may be asked at once.
    Milliseconds untilReady(const std::string& endpoint) const;
    // It did not start a request: it answers sooner than any other and has nothing in flight, and would be chosen for the next one, too.
    void onTurnedAway(const std::string& endpoint);
    // It ran one.
    void onTaken(const std::string& endpoint);
    // Whether it is left alone for a moment, where others can take a request.
    bool isPaused(const std::string& endpoint) const;

private:
    static constexpr std::size_t maximumPrefixes = 32; // Remembered for each endpoint.

    struct Entry {
        EndpointLoad load;
        double typicalTokens { 0 }; // To be prefilled for one request, as this node has seen there lately.
        unsigned ownAtReport { 0 };
        SteadyTime backlogAt {}; // When the backlog was as it stands in `load`.
        std::list<std::uint64_t> prefixes; // Most recent first.
        EndpointHealth health {};
    };

    void end(const std::string& endpoint);
    // Prefills are done one after the other at a known rate.
    double backlogLocked(const Entry&) const;

    LoadTrackerOptions m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries {};
    EndpointRests m_rests {};
    EndpointLimits m_limits {};
};

} // namespace Onyxnotch
