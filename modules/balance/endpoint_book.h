// The endpoints as this node uses them: connections, requests in flight, health, prefix memory. Belongs to the request thread.
#pragma once

#include "core/net/async_connection.h"
#include "modules/balance/endpoint_choice.h"
#include "modules/balance/endpoint_health.h"
#include "modules/balance/endpoint_rests.h"
#include "modules/balance/first_event_model.h"
#include "modules/balance/prefix_cache.h"
#include "modules/balance/slot_time_model.h"
#include "modules/limits/endpoint_limits.h"
#include "modules/rollout/version_gate.h"
#include "modules/traffic/traffic_view.h"
#include <deque>

namespace Onyxnotch {

// Load that another node has told of an endpoint.
struct EndpointLoadReport {
    EndpointLife endpoint {};
    double inFlight { 0 };
    double waitingTokens { 0 };

    bool operator==(const EndpointLoadReport&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, inFlight, waitingTokens); }
};

// One endpoint, with what this node knows of it.
struct EndpointState {
    struct IdleConnection {
        std::shared_ptr<AsyncConnection> connection {};
        SteadyTime usableUntil {};
    };

    ListedEndpoint listed {};
    std::deque<IdleConnection> idle {}; // Most recent last.
    unsigned connections { 0 }; // Open, idle ones included.
    unsigned inFlight { 0 };
    double waitingTokens { 0 };
    double peersInFlight { 0 };
    double peersWaitingTokens { 0 }; // At `peersToldAt`; they are read meanwhile.
    SteadyTime peersToldAt {};
    SteadyTime peersPrefillEnd {}; // By when long prompts that peers told of at once should have been read.
    EndpointHealth health {};
    PrefixCache prefixes {};
};

// What a request asks of its endpoint.
struct EndpointRequest {
    std::string service {};
    std::vector<PromptPart> parts {};
    double promptTokens { 0 };
    double objectiveSeconds { 0 }; // What is left of it.
    std::vector<std::string> excluded {}; // Ids that this request was sent to before, or got no credit for.
    bool skipsSpent { false }; // Whether endpoints that have no credit now are left out.
    VersionLimits versions {};
};

struct ChosenEndpoint {
    std::shared_ptr<EndpointState> endpoint {};
    double expectedSeconds { 0 };
    double unqueuedSeconds { 0 }; // Of these, if nothing else were there.
    double leastWaitSeconds { 0 }; // At any endpoint of the service.
    double uncachedTokens { 0 };
    double waitingTokens { 0 }; // Before this request, as expected.
    bool slotFree { false }; // As expected.
    std::string_view reason {};
};

class EndpointBook {
public:
    explicit EndpointBook(std::string zone);

    // Takes over the list where it has changed; endpoints that left it get no new requests, and a new life of one starts with nothing.
    // Returns the lives that have gone without having announced it.
    std::vector<EndpointLife> update(const std::shared_ptr<const EndpointList>&, const TrafficConfiguration&, SteadyTime now);
    // Another node knows that it is leaving.
    void markLeaving(const EndpointLife&, SteadyTime now);
    // This node has found it out by itself, by a try or by the store's list.
    void foundLeaving(const EndpointLife&, SteadyTime now);
    // Whether what update() reads was told by the store itself, not by another node. Changes what is told on as found out here.
    void setReadsStore(bool readsStore) { m_readsStore = readsStore; }
    // Marks of the last few seconds, the newest first, for the other nodes; older ones have reached them, or the store's list has.
    std::vector<EndpointLife> recentLeavingMarks(SteadyTime now) const;
    // Those of them that this node has found out by itself, at most so many: what is told in a large fleet, where relays tell all others.
    // Told on by each node that heard of them, the marks of 1,300 endpoints that left within five seconds would be 27 KB in each row.
    std::vector<EndpointLife> ownLeavingMarks(SteadyTime now, std::size_t most) const;

    // Those that the list does not tell, whatever their age.
    std::vector<EndpointLife> unlistedLeavingMarks() const;
    // A node has started, and knows of no mark before its start: for a while those that the list does not tell are told again.
    void tellMarksAgain(SteadyTime now);

    // Whether this life is in use, and nobody has said that it leaves.
    bool isExpectedToLive(const EndpointLife&) const;
    bool isLeaving(const EndpointLife& life) const { return m_leaving.contains(life); }
    // It wants nothing from this node for so long. However few others are left, it is not chosen: it has not failed, and would refuse.
    void askedRest(const EndpointLife& life, Milliseconds rest, SteadyTime now) { m_rests.ask(life, rest, now); }
    std::size_t resting(SteadyTime now) const { return m_rests.resting(now); }
    // Whether a request that was to be sent there still may be.
    bool mayStillSend(const EndpointLife& life, SteadyTime now) const { return isExpectedToLive(life) && !m_rests.isResting(life, now); }
    // What endpoints named of how much they take from all nodes together.
    EndpointLimits& limits() { return m_limits; }
    const EndpointLimits& limits() const { return m_limits; }
    // What those that could take the request take a second, of those that named it.
    double limitOf(const EndpointRequest&) const;
    // When the first endpoint that could take the request has rested and has a credit. Empty where one has at once, or there is none.
    std::optional<SteadyTime> firstBack(const EndpointRequest&, SteadyTime now) const;
    // Empty where the service has no endpoint that may be used. Changes nothing: a request that is sent there is noted by noteSent().
    std::optional<ChosenEndpoint> choose(const EndpointRequest&, SteadyTime now) const;
    // The endpoint will keep what the request's prompt shares with others.
    void noteSent(const EndpointRequest&, EndpointState&, SteadyTime now);

    // Counts a request in flight from construction to destruction.
    class Flight {
    public:
        Flight() = default;
        Flight(std::shared_ptr<EndpointState>, double waitingTokens);
        ~Flight();
        Flight(Flight&&) noexcept;
        Flight& operator=(Flight&&) noexcept;
        // The prompt has been read: its first event is here.
        void prefilled();

    private:
        void release();
        std::shared_ptr<EndpointState> m_endpoint {};
        double m_waitingTokens { 0 };
    };

    // Own requests in flight, for the other nodes.
    std::vector<EndpointLoadReport> ownLoads() const;
    // Sums over all other nodes, by endpoint.
    void setPeerLoads(const std::map<EndpointLife, EndpointLoadReport>&, SteadyTime now);
    // Another node has just sent a long prompt there.
    void notePeersPrefill(const EndpointLife&, double tokens, SteadyTime now);
    // Tokens of prompts, of this node and of the others, that should not have been read yet.
    double waitingTokens(const EndpointState&, SteadyTime now) const;

    // How old the other nodes' loads are.
    void setPeersStaleFor(Milliseconds age) { m_options.staleSeconds = std::chrono::duration<double>(age).count(); }
    // A request that found nothing waiting had its first event after `seconds`.
    void observeFirstEvent(double uncachedTokens, double seconds);
    // A request that found a slot free held it for `seconds`.
    void observeSlot(const std::string& service, double seconds) { m_slotTimes[service].observe(seconds); }
    // Whether expected times of prompts rest on what this node has seen. Where hardly a request finds nothing waiting for two seconds,
    // the endpoints are overloaded, and a wrong time is better than none: what is refused for it lets others find nothing waiting, and
    // they correct it.
    bool trustsTimes(SteadyTime now) const;
    // How long an engine reads a prompt, as learnt.
    double prefillSeconds(double uncachedTokens) const { return uncachedTokens * m_firstEvents.secondsPerToken(); }

private:
    struct LeavingMark {
        SteadyTime since {};
        bool foundHere { false };
    };

    void mark(const EndpointLife&, bool foundHere, SteadyTime now);
    void forgetOldMarks(SteadyTime now);
    double memoryTokens(const std::string& service) const;
    double slotSeconds(const std::string& service) const;
    // Whether it lives on and runs a version that the request may go to.
    bool suits(const EndpointState&, const EndpointRequest&) const;
    bool mayUse(const EndpointState&, const EndpointRequest&, SteadyTime now) const;
    bool usesLife(const EndpointLife&) const;
    // Whether the list holds this life and does not say that it leaves.
    bool isListedAsStaying(const EndpointLife&) const;
    bool isWorthTelling(const EndpointLife&, const LeavingMark&, SteadyTime now) const;
    // Leaves those of the version that the request should go to, where there are any.
    static void keepWantedVersion(std::vector<std::shared_ptr<EndpointState>>&, const VersionLimits&);

    std::string m_zone;
    std::shared_ptr<const EndpointList> m_list {};
    std::map<EndpointLife, std::shared_ptr<EndpointState>> m_endpoints {};
    std::map<std::string, std::vector<std::shared_ptr<EndpointState>>> m_ofService {};
    std::map<std::string, double> m_memoryTokens {}; // By service.
    std::map<EndpointLife, LeavingMark> m_leaving {}; // Never taken back while the life is listed.
    SteadyTime m_tellsMarksUntil {};
    EndpointRests m_rests {};
    EndpointLimits m_limits {};
    bool m_readsStore { true };
    SteadyTime m_firstSentAt {}; // When the first prompt was sent to any endpoint.
    FirstEventModel m_firstEvents {};
    std::map<std::string, SlotTimeModel> m_slotTimes {}; // By service.
    ChoiceOptions m_options {};
};

} // namespace Onyxnotch
