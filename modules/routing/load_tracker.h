// What this node knows of the load of its endpoints: its own requests in flight, and the engines' late reports.
#pragma once

#include "modules/routing/route.h"
#include "servers/engine/engine_client.h"
#include <list>
#include <map>
#include <mutex>
#include <string>

namespace Onyxnotch {

// Thread safe.
class LoadTracker {
public:
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

    // `tokens` are expected to be prefilled.
    InFlight begin(const std::string& endpoint, std::uint64_t prefixHash, double tokens);
    void report(const std::string& endpoint, const EngineLoad&);
    EndpointLoad load(const std::string& endpoint, std::uint64_t prefixHash) const;
    void forget(const std::string& endpoint);

private:
    static constexpr std::size_t maximumPrefixes = 32; // Remembered for each endpoint.

    struct Entry {
        EndpointLoad load;
        SteadyTime reportedAt {};
        std::list<std::uint64_t> prefixes; // Most recent first.
    };

    void end(const std::string& endpoint);

    mutable std::mutex m_mutex;
    std::map<std::string, Entry> m_entries {};
};

} // namespace Onyxnotch
