// Calculates when refused requests may return while their service is short of capacity, so that over all nodes they return one after the
// other. Time is divided into slots. The slots in which a request has its turn follow from its digest and from the service's rates over all
// nodes, so every node calculates the same turns without any message about a refusal.
//
// Pure state machine; all times are milliseconds of the time agreed between the nodes (ForwardContext::fleetTimeMilliseconds()). Used by
// the request thread only.
#pragma once

#include "core/clock.h"
#include "modules/suspects/request_digest.h"
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Onyxnotch {

struct ReturnTurnsOptions {
    bool enabled { true };
    Milliseconds slot { 50 };
    // Length of a turn, in slots. The caller is told a time in the second slot, so a node whose clock is up to one slot behind does not find
    // it early; the slots after that cover the network and callers that come slightly late.
    std::uint64_t turnSlots { 4 };
    // Bounds of the period in slots, powers of two. At the minimum an eighth of all requests is in turn at any time.
    std::uint64_t minimumPeriod { 32 };
    std::uint64_t maximumPeriod { 1024 };
    // Assumed mean time between a refusal and the caller's return. Callers honor a third of the time left, so their last delays are short.
    Milliseconds typicalDelay { 500 };
    // Part of the available capacity that returning requests should use. Newcomers get the remainder. Callers that repeat early compete with
    // newcomers, so they gain less if this part is larger.
    double capacityShare { 0.6 };
    // A service is short if more than this part of its requests is refused.
    double shortageShare { 0.02 };
    // Nodes whose sums differ by up to this factor accept each other's turns.
    double rateTolerance { 1.25 };
    // For how long a turn that was calculated with a shorter period stays valid: callers with up to 6 s left return within this time.
    // With a longer time, callers that repeat early would find more valid turns.
    Milliseconds periodMemory { 2000 };
    // Bounds of the accepted requests and of the told times that this node remembers, some 100 bytes each. Accepted requests expire after
    // a turn (0.2 s), so their bound is reached only at more than 20,000 accepted requests a second.
    std::size_t maximumAccepted { 4096 };
    std::size_t maximumTold { 4096 };
};

// Rates of a service over all nodes.
struct ServiceRates {
    double requestsPerSecond { 0 }; // Including refused requests.
    double refusedPerSecond { 0 };
};

class ReturnTurns {
public:
    explicit ReturnTurns(const ReturnTurnsOptions& options = {})
        : m_options(options)
    {
    }

    // The time at which a caller is told to return, and whether its request has a turn then.
    struct ReturnTime {
        std::uint64_t at { 0 };
        bool isTurn { false };
    };

    // Replaces the rates of all services. Call once a gossip period.
    void setRates(const std::map<std::string, ServiceRates>&, std::uint64_t now);

    // Returns the request's first turn that starts at `earliest` or later and has the caller return by `latest`. If there is none, returns
    // `latest`, but not less than `earliest`, without a turn. Returns nullopt if the service is not short of capacity. Remembers the result
    // for isEarly().
    std::optional<ReturnTime> nextTurn(const std::string& service, const RequestDigest&, std::uint64_t earliest, std::uint64_t latest, std::uint64_t now);

    // Whether a request that arrives now is in its turn. Accepts a digest once in each turn, so that a caller that repeats its request
    // gains nothing at this node.
    bool mayReturn(const std::string& service, const RequestDigest&, std::uint64_t now);

    // Whether this node told the request to return later than now.
    bool isEarly(const RequestDigest&, std::uint64_t now) const;

    // Period, in slots, of the turns that callers are told; 0 if the service is not short.
    std::uint64_t period(const std::string& service) const;
    std::size_t rememberedRequests() const { return m_accepted.untilByRequest.size() + m_told.untilByRequest.size(); }

private:
    struct Sample {
        std::uint64_t at { 0 };
        double refusedPerServed { 0 };
    };

    struct ServiceState {
        bool isShort { false };
        double refusedPerServed { 0 };
        std::deque<Sample> shortageSamples {}; // Of the last `periodMemory`, while the service was short.
    };

    // Requests with the time at which their entry expires, in milliseconds.
    struct ExpiringRequests {
        std::map<RequestDigest, std::uint64_t> untilByRequest {};
        std::deque<std::pair<std::uint64_t, RequestDigest>> insertions {};

        // Removes expired entries from the front; an entry behind a later one stays until that one expires.
        void purgeExpired(std::uint64_t now);
        void insert(const RequestDigest&, std::uint64_t until);
        bool contains(const RequestDigest&, std::uint64_t now) const;
    };

    std::uint64_t periodFor(double refusedPerServed) const;
    std::uint64_t slotMilliseconds() const { return static_cast<std::uint64_t>(m_options.slot.count()); }

    ReturnTurnsOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    ExpiringRequests m_accepted {}; // Until the end of the turn in which they were accepted.
    ExpiringRequests m_told {}; // Until the told time.
};

} // namespace Onyxnotch
