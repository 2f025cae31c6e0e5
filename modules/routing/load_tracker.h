// Tracks the load of each endpoint as known to this node: its own requests in flight and the engines' load reports, which arrive with a
// delay. Also tracks when an endpoint may be sent a request: requested backoff, advertised rate limits, and pauses after refusals.
#pragma once

#include "modules/balance/endpoint_backoffs.h"
#include "modules/balance/endpoint_health.h"
#include "modules/limits/endpoint_limits.h"
#include "modules/routing/route.h"
#include "servers/engine/engine_client.h"
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace Onyxnotch {

struct LoadTrackerOptions {
    double prefillTokensPerSecond { 8000 }; // Of one engine; used to estimate how fast a backlog shrinks.
};

// Thread-safe.
class LoadTracker {
public:
    explicit LoadTracker(const LoadTrackerOptions& options = {});

    // Counts a request as in flight at an endpoint until this object is destroyed.
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

    // Starts a request of which `tokens` tokens are expected to be prefilled. `nodes` is the number of gateways: the other `nodes` - 1 are
    // assumed to start as many requests as this one, so the endpoint's backlog grows by `tokens` * `nodes`.
    InFlight begin(const std::string& endpoint, std::uint64_t prefixHash, double tokens, unsigned nodes);
    // Applies a load report of the endpoint's engine; replaces the estimated backlog.
    void report(const std::string& endpoint, const EngineLoad&);
    // The current load of the endpoint; all zero if it is not known.
    EndpointLoad load(const std::string& endpoint, std::uint64_t prefixHash) const;
    // Removes the load of an endpoint, unless this node has requests in flight there.
    void forget(const std::string& endpoint);
    // The endpoint refused a request and asked this node to send none for the given time.
    void onBackoffRequested(const std::string& endpoint, Milliseconds);
    // Time left of the backoff that the endpoint requested; 0 if there is none.
    Milliseconds backoffLeft(const std::string& endpoint) const;
    // A response to a request sent at `sentAt` advertised a limit of `perSecond` requests per second, which all gateways share, or no
    // limit. This gateway uses an equal share: the limit divided by `gateways`.
    void onAdvertisedLimit(const std::string& endpoint, std::optional<double> perSecond, SteadyTime sentAt, unsigned gateways);
    // Takes one credit of the advertised limit, for a request about to be sent. Returns false if none is left.
    bool takeCredit(const std::string& endpoint);
    // Returns the credit of a request that was not sent.
    void returnGrantedCredit(const std::string& endpoint);
    // Time until the endpoint's backoff is over and a credit may be available; 0 if a request may be sent now.
    Milliseconds timeUntilReady(const std::string& endpoint) const;
    // The endpoint refused a request. It is paused then: it would otherwise be chosen for the next request too, since it responds faster
    // than the others and has nothing in flight.
    void onRequestRefused(const std::string& endpoint);
    // The endpoint executed a request; ends its pause.
    void onRequestAccepted(const std::string& endpoint);
    // Whether the endpoint is paused after refusals, and should be avoided if other endpoints can take a request.
    bool isPaused(const std::string& endpoint) const;

private:
    // Most recent prompt prefixes remembered for each endpoint, to estimate whether a prefix is cached there.
    static constexpr std::size_t maximumPrefixes = 32;

    struct Entry {
        EndpointLoad load;
        double averageTokens { 0 }; // Moving average of the tokens to prefill per request that this node started there.
        unsigned inFlightAtReport { 0 }; // This node's requests in flight when the last report arrived.
        SteadyTime backlogAt {}; // When `load.backlogTokens` was computed.
        std::list<std::uint64_t> prefixes; // Hashes, most recent first.
        EndpointHealth health {};
    };

    void end(const std::string& endpoint);
    // The current backlog in tokens, on the assumption that the engine prefills at a constant rate. `m_mutex` must be locked.
    double backlogLocked(const Entry&) const;

    LoadTrackerOptions m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries {};
    EndpointBackoffs m_backoffs {};
    EndpointLimits m_limits {};
};

} // namespace Onyxnotch
