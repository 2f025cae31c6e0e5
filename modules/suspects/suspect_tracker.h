// Finds requests that crash the endpoints that run them, over all nodes, and decides which requests may be sent.
// A request is identified by team, host, path and body. It is blocked if it was running at three endpoint incarnations when they ended
// unannounced, and no endpoint has answered it well since: a client that repeats it could otherwise end every endpoint of the service,
// and all other requests there. If it was answered well shortly before, it may only have been present by chance when a zone was lost. It
// is then blocked only if endpoints ended under it at several separate moments, and too few copies sent since were answered well.
// Endpoint ends, blocked, cleared and known good requests are reported to all nodes; a node may decide wrongly until a report arrives. A
// pure state machine; the current time is passed in. Used by the request thread only.
#pragma once

#include "core/clock.h"
#include "modules/suspects/suspect_update.h"
#include <algorithm>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace Onyxnotch {

struct SuspectOptions {
    std::string node {}; // Name of this node; the time of its trials depends on it.
    // Number of ended incarnations until a request is blocked; 0 disables all suspicion. A value of 2 would be too low: if a client sends
    // a request once and its endpoint ends, the request may be retried at a second endpoint. If that one ends, too, e.g. because their
    // zone is lost, the request has two ended incarnations without having caused either end.
    unsigned livesUntilBlocked { 3 };
    // From this number of ended incarnations on, a node runs one copy of the request at a time: it may take seconds to end an endpoint,
    // and would reach several in the meantime. With a value of 1, popular requests would be delayed.
    unsigned livesUntilOneAtATime { 2 };
    // From this number of ended incarnations on, a request isn't retried at a second endpoint within one attempt of its client; the
    // client itself may retry.
    unsigned livesUntilOneTry { 2 };
    Milliseconds reportRetention { 600000 }; // Ten minutes: clients that repeat a request less often end few endpoints.
    Milliseconds reportSendPeriod { 5000 }; // Own findings are sent for this duration: 20 status messages, so that no node misses all of them.
    Milliseconds clearedSendPeriod { 1000 }; // Cleared and known good requests are sent for this duration: 4 status messages.
    Milliseconds removedRetention { 60000 }; // A removed incarnation is remembered for this duration, which exceeds the run time of any request.
    // Validity of a good answer, from the time its request was sent. During it, endpoint ends are counted by separate moments and zones.
    // A shorter value blames rarely sent requests for endpoints that ended for other reasons; with a longer one, a request that turns bad
    // ends more endpoints.
    Milliseconds goodAnswerValidity { 20000 };
    // Number of separate moments at which endpoints ended under a known good request until it is blocked. A lower value would block
    // popular requests while endpoints end for other reasons.
    unsigned momentsUntilBlocked { 6 };
    // Number of counted ends that one good answer removes, if the answered copy was sent after them. Small enough that a request that
    // ends every third endpoint is blocked, too.
    unsigned endsClearedPerAnswer { 2 };
    // Ends in one zone within this time count as one moment: nodes detect the loss of a zone's endpoints one after the other.
    Milliseconds momentDuration { 500 };
    // An abandoned copy (its client disconnected, or its deadline passed) is suspected if its endpoint is removed within this time: a
    // silent endpoint is detected after at most three heartbeats.
    Milliseconds abandonedSuspectPeriod { 6000 };
    // An abandoned copy is also suspected if another request loses its connection to the same endpoint within this time.
    Milliseconds abandonedBlamePeriod { 2000 };
    // Time until a node may send a blocked request as a trial, as another version of the service may run it well. Doubled each round. A
    // delay of up to the same time again, derived from the node's name, is added so that nodes try one after the other.
    Milliseconds blockedFor { 600000 };
    unsigned maxDoublings { 7 }; // Limits the time to about 21 hours.
    std::size_t mostSuspects { 4096 }; // About 700 bytes each, with three incarnations.
    std::size_t mostBlocked { 1024 }; // 100 bytes each.
    std::size_t goodAnswerSlots { 4096 }; // 32 bytes each.
};

// Whether a request may be sent.
enum class SuspectVerdict {
    Free,
    OneAtATime, // Endpoints have ended under the request: this node sends no second copy while one is running.
    Blocked,
};

class SuspectTracker {
public:
    explicit SuspectTracker(SuspectOptions options = {});

    SuspectVerdict verdict(const RequestDigest&, SteadyTime now) const;
    // Applies the verdict to the copies that run at this node: returns true if the request may be sent now.
    bool maySend(const RequestDigest&, SteadyTime now) const;
    // Returns true if the request may be sent to a second endpoint within one attempt of its client.
    bool isRetryAllowed(const RequestDigest&, SteadyTime now) const;
    // Number of endpoint incarnations that ended under the request, as far as this node knows.
    unsigned endedIncarnations(const RequestDigest&) const;
    // Time until this node may send a blocked request as a trial; 0 if it isn't blocked.
    Milliseconds remainingBlockTime(const RequestDigest&, SteadyTime now) const;

    // The request was sent to that incarnation. `zone` is the hash of its zone, 0 if unknown. Must be followed by exactly one call of
    // onAnswered(), onEnded(), onLeft() or onLost().
    void onSent(const RequestDigest&, std::uint64_t life, std::uint16_t zone = 0);
    // The copy sent at `sentAt` was answered well. Makes the request known good, and removes some of the ends counted before `sentAt`;
    // all of them if the request was blocked and this copy was a trial.
    void onAnswered(const RequestDigest&, std::uint64_t life, SteadyTime sentAt, SteadyTime now);
    // The request ended in a way that says nothing about the endpoint's health: refused, or answered with an error.
    void onEnded(const RequestDigest&, std::uint64_t life);
    // The client disconnected, or the deadline passed: the endpoint may still run the request.
    void onLeft(const RequestDigest&, std::uint64_t life, SteadyTime now);
    // The connection was lost, and the endpoint had not announced that it shuts down.
    void onLost(const RequestDigest&, std::uint64_t life, SteadyTime now);
    // The incarnation is no longer listed, and had not announced that it shuts down. Copies that run there may still be answered; copies
    // that are abandoned there, or were shortly before, are suspected.
    void onIncarnationRemoved(std::uint64_t life, SteadyTime now);

    void onPeerUpdate(const SuspectUpdate&, SteadyTime now);
    // Returns what this node publishes: its own findings, and all blocked requests.
    SuspectUpdate news(SteadyTime now);
    // Returns what a relay node forwards immediately: in addition to news(), findings of other nodes about requests under which several
    // endpoints ended.
    SuspectUpdate relayedUpdate(SteadyTime now);
    // Returns true if this node found something since the last call that should be sent to the other nodes immediately.
    bool takeHasUpdate() { return std::exchange(m_hasUpdate, false); }

    // Returns true if other nodes reported something since the last call that a relay node should forward immediately: a request under
    // which a second endpoint ended, or a blocked, cleared or known good request. Requests with one ended endpoint each, as after the
    // loss of a zone, aren't included.
    bool takeRelayDue() { return std::exchange(m_relayDue, false); }

    // Returns the requests that were blocked since the last call and that this node itself suspected, for the store and the log.
    std::vector<BlockedRequest> takeNewlyBlocked() { return std::exchange(m_newlyBlocked, {}); }
    // Returns the requests whose block was lifted since the last call, for the store and the log.
    std::vector<RequestDigest> takeNewlyCleared() { return std::exchange(m_newlyCleared, {}); }
    std::size_t blockedRequests() const { return m_blocked.size(); }
    // Removes expired entries. Must be called periodically.
    void purgeExpired(SteadyTime now);

private:
    struct Suspect {
        std::map<std::uint64_t, std::uint16_t> incarnations {}; // All known ended incarnations with their zones; repeated reports are ignored.
        std::map<std::uint64_t, SteadyTime> found {}; // The part of `incarnations` that this node found, with the time.
        // The part of `incarnations` that counts, with the time of finding or receipt. For a known good request: one per moment.
        std::map<std::uint64_t, SteadyTime> countedEnds {};
        SteadyTime lastEndAt {};
        bool isKnownGood { false }; // The request was answered well shortly before.

        // Returns true if any counted end occurred before `sentAt`, so that a good answer to a copy sent then counts against it.
        bool hasEndsBefore(SteadyTime sentAt) const
        {
            return std::any_of(countedEnds.begin(), countedEnds.end(), [&](const auto& it) { return it.second <= sentAt; });
        }
    };

    struct Blocked {
        std::uint16_t round { 0 };
        SteadyTime since {};
        bool wasKnownGood { false };
    };

    // Report that a request was answered well, either after it was suspected (cleared) or shortly before (known good).
    struct GoodReport {
        SteadyTime at {};
        SteadyTime sentAt {}; // Time at which the answered copy was sent.
        bool foundHere { false }; // Only the node that found it publishes it; otherwise nodes would repeat it to each other forever.
        bool isFullyCleared { true }; // No counted ends of the request are left.
    };

    struct SentRequest {
        RequestDigest request {};
        std::uint16_t zone { 0 };
        std::optional<SteadyTime> abandonedAt {}; // Time at which the copy was abandoned; no value while it runs.
    };

    struct GoodAnswer {
        RequestDigest request {};
        SteadyTime at {}; // Time at which the answered copy was sent.
        // Only then does this node publish the request as known good; otherwise forwarded reports would renew each other forever.
        bool seenHere { false };
    };

    SuspectUpdate collectUpdate(bool includePeerFindings, SteadyTime now);
    void suspect(const EndReport&, bool foundHere, SteadyTime now);
    // Updates `isKnownGood` from the good answers known now. If it becomes true, the counted ends are reduced to one per moment.
    void updateKnownGood(const RequestDigest&, Suspect&, SteadyTime now) const;
    bool isSeparateMoment(const Suspect&, std::uint64_t life, SteadyTime at) const;
    bool mustBlock(const Suspect&) const;
    // Suspects the copies that were abandoned at that incarnation within this time.
    void suspectAbandoned(std::uint64_t life, Milliseconds within, SteadyTime now);
    void block(const RequestDigest&, Suspect&, SteadyTime now);
    void onPeerBlocked(const BlockedRequest&, SteadyTime now);
    // Processes a good answer to a copy sent at `sentAt`.
    void clear(const RequestDigest&, SteadyTime sentAt, bool foundHere, SteadyTime now);
    void removeEndsBefore(Suspect&, SteadyTime sentAt) const;
    // Removes ends counted before `sentAt`. Returns false if any counted ends of a known good request are left; otherwise lifts the
    // block.
    bool clearEndsBefore(const RequestDigest&, SteadyTime sentAt, bool foundHere, SteadyTime now);
    void onPeerCleared(const ClearedRequest&, SteadyTime now);
    bool isCleared(const RequestDigest&) const;
    // Marks a request as answered well shortly before, and lifts a block that was based only on three ended incarnations.
    void markKnownGood(const RequestDigest&, bool foundHere, SteadyTime now);
    void unblock(const RequestDigest&, bool foundHere);
    // Stores a good answer that another node reported; it has the same effect as one seen here.
    void rememberGoodAnswer(const RequestDigest&, SteadyTime sentAt, SteadyTime now);
    bool wasAnsweredWell(const RequestDigest&, SteadyTime now) const;
    bool sawAnsweredWell(const RequestDigest&, SteadyTime now) const;
    bool runs(const RequestDigest&) const;
    // Returns the report to use if the removed copy's endpoint ended.
    EndReport removeRunning(const RequestDigest&, std::uint64_t life);
    SteadyTime firstTrialAt(const Blocked&) const;
    SteadyTime expiresAt(const Blocked&) const;
    Milliseconds blockDuration(const Blocked&) const;
    bool isOnTrial(const RequestDigest&, const Blocked&, SteadyTime now) const;
    SteadyTime trialAt(const RequestDigest&, const Blocked&) const;
    std::size_t slotOf(const RequestDigest&) const;
    void evictOldest();

    SuspectOptions m_options;
    std::map<RequestDigest, Suspect> m_suspects {};
    std::map<RequestDigest, Blocked> m_blocked {};
    std::map<RequestDigest, GoodReport> m_cleared {};
    std::map<RequestDigest, GoodReport> m_knownGood {};
    std::map<RequestDigest, unsigned> m_running {}; // Number of running copies at this node.
    std::unordered_map<std::uint64_t, std::vector<SentRequest>> m_sentRequests {}; // Keyed by the hash of the endpoint's incarnation.
    std::unordered_map<std::uint64_t, SteadyTime> m_removedIncarnations {};
    std::vector<GoodAnswer> m_goodAnswers; // Hash table with one entry per slot; a newer entry replaces an older one.
    std::vector<BlockedRequest> m_newlyBlocked {};
    std::vector<RequestDigest> m_newlyCleared {};
    bool m_hasUpdate { false };
    bool m_relayDue { false };
};

} // namespace Onyxnotch
