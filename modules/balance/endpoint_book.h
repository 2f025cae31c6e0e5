// This node's view of all endpoints: connections, requests in flight, health, expected prefix cache, leaving marks and backoffs.
// Chooses the endpoint for each request. Used by the request thread only.
#pragma once

#include "core/net/async_connection.h"
#include "modules/balance/endpoint_backoffs.h"
#include "modules/balance/endpoint_choice.h"
#include "modules/balance/endpoint_health.h"
#include "modules/balance/endpoint_speeds.h"
#include "modules/balance/first_event_model.h"
#include "modules/balance/prefix_cache.h"
#include "modules/balance/slot_time_model.h"
#include "modules/limits/endpoint_limits.h"
#include "modules/rollout/version_gate.h"
#include "modules/traffic/traffic_view.h"
#include <unordered_map>
#include <vector>

namespace Onyxnotch {

// Load that one node's requests put on an endpoint; nodes send these reports to each other.
struct EndpointLoadReport {
    EndpointIncarnation endpoint {};
    double inFlight { 0 };
    double waitingTokens { 0 };

    bool operator==(const EndpointLoadReport&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, inFlight, waitingTokens); }
};

// One incarnation of an endpoint with this node's state for it.
struct EndpointState {
    struct IdleConnection {
        std::shared_ptr<AsyncConnection> connection {};
        SteadyTime usableUntil {};
    };

    ListedEndpoint listed {};
    ShortName shortName { 0 }; // Of `listed.life()`.
    std::vector<IdleConnection> idle {}; // Most recently used last.
    unsigned connections { 0 }; // Open connections, including idle ones.
    std::size_t responseBytes { 0 }; // Memory of its responses that this node is receiving.
    unsigned inFlight { 0 };
    double waitingTokens { 0 };
    double peersInFlight { 0 };
    double peersWaitingTokens { 0 }; // Unread prompt tokens of other nodes' requests as of `peerLoadsAt`; the engine has read some since.
    SteadyTime peerLoadsAt {};
    SteadyTime peersPrefillEndsAt {}; // Expected end of prefill for the long prompts that other nodes announced by PrefillNotice.
    EndpointHealth health {};
    PrefixCache prefixes {};
};

// What a request needs from the endpoint that is chosen for it.
struct EndpointRequest {
    std::string service {};
    std::vector<PromptPart> parts {};
    double promptTokens { 0 };
    double objectiveSeconds { 0 }; // Time left until the request's first-event objective.
    double pauseObjectiveSeconds { 0 }; // The route's target time between two events; 0 for no target.
    std::vector<std::string> excluded {}; // Ids of endpoints that the request was already sent to, or for which it got no credit.
    bool skipsEndpointsWithoutCredit { false }; // Leave out endpoints that have no credit at present.
    bool needsFreeSlot { false }; // Leave out endpoints whose slots are all in use according to the view.
    // If not 0, a random number that selects one endpoint, weighted by free slots (with `needsFreeSlot`) or by all slots: in a shortage, all
    // nodes would otherwise send to the same endpoint, the one with the fewest requests in their views.
    std::uint64_t spreadBy { 0 };
    VersionLimits versions {};
};

struct ChosenEndpoint {
    std::shared_ptr<EndpointState> endpoint {};
    double expectedSeconds { 0 };
    double unqueuedSeconds { 0 }; // Part of `expectedSeconds` that remains if no other request is at the endpoint.
    double leastWaitSeconds { 0 }; // Shortest expected wait behind other requests at any candidate endpoint.
    double uncachedTokens { 0 };
    bool isCacheKnown { false }; // This node itself has sent the shared parts there, so `uncachedTokens` is not an assumption.
    double waitingTokens { 0 }; // Unread prompt tokens that are expected at the endpoint ahead of this request.
    double slowness { 1 }; // The endpoint's ratio of measured to expected time to first event, which `expectedSeconds` includes.
    bool isSlotFree { false }; // A slot is expected to be free.
    std::string_view reason {};
};

// Slots of the endpoints that a request may go to, as the view shows them.
struct EndpointSlots {
    double total { 0 };
    double free { 0 };
    double own { 0 }; // In use by this node's requests.
    unsigned endpoints { 0 };
};

// Endpoints of one service that may be used.
struct ServiceCapacity {
    unsigned endpoints { 0 };
    double slots { 0 };
    double inFlight { 0 }; // Requests of all nodes at these endpoints.

    bool operator==(const ServiceCapacity&) const = default;
};

class EndpointBook {
public:
    explicit EndpointBook(std::string zone);

    // Adopts the list if it has changed. Endpoints that are no longer listed get no new requests; a new incarnation starts with empty
    // state. Returns the incarnations that disappeared from the list without having been marked as leaving.
    std::vector<EndpointIncarnation> update(const std::shared_ptr<const EndpointList>&, const TrafficConfiguration&, SteadyTime now);
    // Records a mark received from another node: this endpoint incarnation is leaving.
    void markLeaving(const EndpointIncarnation&, SteadyTime now);
    // Records that this node itself found the endpoint to be leaving, by an attempt or by the list read from the store.
    void markFoundLeaving(const EndpointIncarnation&, SteadyTime now);
    // Sets whether the lists passed to update() come from the store itself rather than from another node. Only then do leaving endpoints in
    // the list count as found by this node (see ownLeavingMarks()).
    void setReadsStore(bool readsStore) { m_readsStore = readsStore; }
    // Marks of the last 5 seconds, to send to other nodes. Older marks have reached them already, or the store's list has.
    std::vector<EndpointIncarnation> recentLeavingMarks(SteadyTime now) const;
    // The recent marks that this node found itself, newest first, up to `maximum`. Used in a large fleet, where relay nodes forward marks:
    // if every node also repeated the marks it received, 1,300 endpoints leaving within five seconds would add 27 KB to each row.
    std::vector<EndpointIncarnation> ownLeavingMarks(SteadyTime now, std::size_t maximum) const;

    // Marks of any age whose endpoint the list still shows as not leaving.
    std::vector<EndpointIncarnation> leavingMarksMissingInList() const;
    // Called when another node has started, which knows no mark from before its start: for 5 seconds the marks that the list does not show
    // are sent again.
    void resendLeavingMarks(SteadyTime now);

    // Whether this incarnation is in the list and not marked as leaving.
    bool isExpectedToServe(const EndpointIncarnation&) const;
    bool isLeaving(const EndpointIncarnation& life) const { return m_leaving.contains(life); }
    // Records a backoff requested by the endpoint. During it the endpoint is not chosen, even as the last one left: it would refuse the request.
    void onBackoffRequested(const EndpointIncarnation& life, Milliseconds backoff, SteadyTime now) { m_backoffs.start(life, backoff, now); }
    std::size_t endpointsInBackoff(SteadyTime now) const { return m_backoffs.count(now); }
    // Whether a request that was assigned to this endpoint may still be sent there.
    bool mayStillSend(const EndpointIncarnation& life, SteadyTime now) const { return isExpectedToServe(life) && !m_backoffs.isInBackoff(life, now); }
    // Limits that endpoints advertise for the requests of all nodes together.
    EndpointLimits& limits() { return m_limits; }
    const EndpointLimits& limits() const { return m_limits; }
    // Sum of the advertised limits, in requests per second, of the endpoints that are eligible for the request.
    double limitOf(const EndpointRequest&) const;
    // Earliest time at which an eligible endpoint's backoff has ended and a credit is available. Empty if that holds for one now, or if no
    // endpoint is eligible.
    std::optional<SteadyTime> earliestAvailable(const EndpointRequest&, SteadyTime now) const;
    // Chooses an endpoint; empty if the service has none that may be used. Changes no state: call noteSent() when the request is sent.
    std::optional<ChosenEndpoint> choose(const EndpointRequest&, SteadyTime now) const;
    // Sums the slots of the endpoints that are eligible for the request and not in a backoff.
    EndpointSlots slots(const EndpointRequest&, SteadyTime now) const;
    // Records that the request is sent to the endpoint, which is then expected to have the prompt's parts in its prefix cache.
    void noteSent(const EndpointRequest&, EndpointState&, SteadyTime now);

    // Counts a request in flight from construction to destruction.
    class Flight {
    public:
        Flight() = default;
        Flight(std::shared_ptr<EndpointState>, double waitingTokens);
        ~Flight();
        Flight(Flight&&) noexcept;
        Flight& operator=(Flight&&) noexcept;
        // Called at the first event of the answer: the prompt has been read.
        void prefilled();

    private:
        void release();
        std::shared_ptr<EndpointState> m_endpoint {};
        double m_waitingTokens { 0 };
    };

    // Load of this node's requests in flight by endpoint, to send to other nodes.
    std::vector<EndpointLoadReport> ownLoads() const;
    // Sets the load that all other nodes together put on each endpoint.
    void setPeerLoads(const std::map<EndpointIncarnation, EndpointLoadReport>&, SteadyTime now);
    // Records another node's notice that it has just sent a long prompt with `tokens` uncached tokens to the endpoint.
    void onPeerPrefill(const EndpointIncarnation&, double tokens, SteadyTime now);
    // Prompt tokens, of this node's and other nodes' requests, that the endpoint is estimated not to have read yet.
    double waitingTokens(const EndpointState&, SteadyTime now) const;

    // Sets the typical age of the load reports of other nodes.
    void setPeerLoadAge(Milliseconds age) { m_options.staleSeconds = std::chrono::duration<double>(age).count(); }
    SteadyTime::duration peerLoadAge() const { return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(m_options.staleSeconds)); }
    // Records the time to first event of a request that found no other prompt waiting at its endpoint.
    void observeFirstEvent(double uncachedTokens, double seconds);
    // As above, and learns the endpoint's speed from it. The model for all endpoints gets the time without the endpoint's ratio.
    void observeFirstEvent(const ChosenEndpoint&, double seconds, SteadyTime now);
    // Records a mean time between events of a stream, measured while no prompt was waiting at its endpoint.
    void observePause(const EndpointState&, double seconds, SteadyTime now);
    EndpointSpeeds& speeds() { return m_speeds; }
    const EndpointSpeeds& speeds() const { return m_speeds; }
    // Evaluates the measurements of `nodes` nodes.
    void setSpeedTotal(const EndpointSpeedReport& total, unsigned nodes, SteadyTime now) { m_speeds.setTotal(total, nodes, m_shortNames, now); }
    // The listed incarnation with this short name; nullptr if there is none.
    const EndpointState* findByShortName(ShortName) const;
    // Records how long a request that found a free slot occupied it.
    void observeSlot(const std::string& service, double seconds) { m_slotTimes[service].observe(seconds); }
    // Average time that a request of the service occupies a slot; 0 before the first observation.
    double slotSeconds(const std::string& service) const;
    // The endpoints of each service that may be used at present.
    std::map<std::string, ServiceCapacity> usableCapacity() const;
    // Whether estimated prompt times may be used to refuse requests: true once enough times were observed, or 2 seconds after the first
    // prompt was sent. If requests that find no other prompt waiting are still too rare by then, the endpoints are overloaded and an
    // inaccurate estimate is better than none: refusals based on it let other requests find nothing waiting, whose times correct the
    // estimate.
    bool areTimesTrusted(SteadyTime now) const;
    // Estimated time an engine needs to read that many uncached prompt tokens.
    double prefillSeconds(double uncachedTokens) const { return uncachedTokens * m_firstEvents.secondsPerToken(); }

private:
    struct LeavingMark {
        SteadyTime since {};
        bool isFoundLocally { false };
    };

    void mark(const EndpointIncarnation&, bool isFoundLocally, SteadyTime now);
    void removeExpiredMarks(SteadyTime now);
    double memoryTokens(const std::string& service) const;
    // Expected time between events of a stream that is sent to the endpoint now; 0 as long as it is not known.
    double expectedPauseSeconds(const EndpointState&, SteadyTime now) const;
    // Whether the endpoint is not leaving and runs a version that the request may go to.
    bool isEligible(const EndpointState&, const EndpointRequest&) const;
    bool isCandidate(const EndpointState&, const EndpointRequest&, SteadyTime now) const;
    bool isListed(const EndpointIncarnation&) const;
    // Whether the list contains this incarnation and does not show it as leaving.
    bool isListedAndNotLeaving(const EndpointIncarnation&) const;
    bool shouldSendMark(const EndpointIncarnation&, const LeavingMark&, SteadyTime now) const;
    static void keepOneBySlots(std::vector<std::shared_ptr<EndpointState>>&, const EndpointRequest&);
    // Reduces the endpoints to those with the version that the request should go to, if there are any.
    static void keepOnlyWantedVersion(std::vector<std::shared_ptr<EndpointState>>&, const VersionLimits&);

    std::string m_zone;
    std::shared_ptr<const EndpointList> m_list {};
    std::map<EndpointIncarnation, std::shared_ptr<EndpointState>> m_endpoints {};
    std::map<std::string, std::vector<std::shared_ptr<EndpointState>>> m_endpointsByService {};
    std::map<std::string, double> m_memoryTokens {}; // By service.
    std::map<EndpointIncarnation, LeavingMark> m_leaving {}; // A mark is never withdrawn while the incarnation is listed.
    std::vector<std::shared_ptr<EndpointState>> m_loadedByPeers {}; // Endpoints for which other nodes reported load.
    SteadyTime m_resendMarksUntil {};
    EndpointBackoffs m_backoffs {};
    EndpointLimits m_limits {};
    bool m_readsStore { true };
    SteadyTime m_firstSentAt {}; // When the first prompt was sent to any endpoint.
    FirstEventModel m_firstEvents {};
    // Fitted only to requests whose cached tokens are known. `m_firstEvents` also learns from prompts whose shared parts were wrongly assumed
    // to be cached. It therefore expects longer times, and endpoints with known cached tokens would be measured as fast.
    FirstEventModel m_knownFirstEvents {};
    std::map<std::string, SlotTimeModel> m_slotTimes {}; // By service.
    std::map<std::string, FirstEventModel> m_pauses {}; // Times between events by number of running streams, by service.
    EndpointSpeeds m_speeds {};
    EndpointSpeeds::ServiceMembers m_shortNames {}; // Of listed incarnations, by service.
    std::unordered_map<ShortName, std::shared_ptr<EndpointState>> m_endpointsByShortName {};
    ChoiceOptions m_options {};
};

} // namespace Onyxnotch
