// Requests of one node that wait for a place at an endpoint, bounded, with the order in which they get one; and the pacing that keeps all
// nodes together from filling the same free places. State machines without I/O; the time is passed in.
#pragma once

#include "core/clock.h"
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

struct RequestQueueOptions {
    std::size_t maximumEntries { 256 }; // Of all services together.
    // Parts of the allowed wait. Each part that has passed counts as one step of priority, so that no request starves.
    double agingSteps { 4 };
};

struct QueueEntry {
    std::uint64_t id { 0 };
    std::string service {};
    std::string team {};
    double teamShare { 1 }; // Weight of the team among the teams of the service.
    int priority { 5 }; // 0 is the most urgent.
    bool isInTurn { false }; // The request returned when it was told to, and goes before newcomers of its priority.
    SteadyTime enteredAt {};
    SteadyTime leavesAt {}; // When its allowed wait is over.
};

class RequestQueue {
public:
    explicit RequestQueue(const RequestQueueOptions& options = {})
        : m_options(options)
    {
    }

    // Adds the entry. If the queue is full, the entry that would be served last is removed, which may be the new one: returns its id.
    std::optional<std::uint64_t> enter(const QueueEntry&, SteadyTime now);
    void remove(std::uint64_t id);
    // The entry of the service that gets the next place; empty if none is waiting.
    std::optional<std::uint64_t> next(const std::string& service, SteadyTime now) const;
    // Number of entries of the same service that get a place before `entry`, which need not be in the queue.
    std::size_t entriesBefore(const QueueEntry&, SteadyTime now) const;
    // Entries whose allowed wait is over.
    std::vector<std::uint64_t> expired(SteadyTime now) const;

    // A request of the team took a place or released it, whether or not it had waited.
    void onPlaceTaken(const std::string& service, const std::string& team);
    void onPlaceReleased(const std::string& service, const std::string& team);
    unsigned placesHeld(const std::string& service) const;

    const QueueEntry* find(std::uint64_t id) const;
    std::size_t size() const { return m_entries.size(); }
    std::map<std::string, std::size_t> sizeByService() const;

private:
    bool goesBefore(const QueueEntry&, const QueueEntry& other, SteadyTime now) const;
    double agedPriority(const QueueEntry&, SteadyTime now) const;
    double relativePlaces(const QueueEntry&) const;

    RequestQueueOptions m_options;
    std::map<std::uint64_t, QueueEntry> m_entries {};
    std::map<std::string, std::map<std::string, unsigned>> m_places {}; // Held by this node's requests: by service, then by team.
};

// Places of a service as this node's view shows them.
struct ServicePlaces {
    double total { 0 };
    double free { 0 };
    double own { 0 }; // Held by this node.
};

struct PacingInput {
    ServicePlaces places {};
    double share { 1 }; // This node's part of the places, by its part of the demand over all nodes (0 to 1).
    double viewSeconds { 0.25 }; // Age of the other nodes' part of the view.
    double slotSeconds { 0 }; // How long a request occupies a place; 0 if unknown.
    bool isAlone { false }; // No other node uses the places, so the view is exact.
};

// Limits how fast a node takes places. All nodes see the same free places, in a view that is up to 0.8 s old: if each took all of them,
// endpoints would refuse most of the requests. A node takes at most its share of the places that the view shows as free in each period as
// long as the view's age. If a request occupies a place for a shorter time than that, the view is out of date before it arrives: the node
// then takes places at its share of the rate at which they become free, whether or not the view shows them.
class PlacePacer {
public:
    void update(const PacingInput&, SteadyTime now);
    bool mayTake() const { return m_isAlone || m_allowance >= 1; }
    void onTaken();
    // The endpoint refused the request, so the place was not there.
    void onRefused();
    // A request of this node has released a place, which only this node knows so far. The node may take it again, but only a part of it if
    // it held more than its share.
    void onReleased(const PacingInput&);
    // Time until the node may take a place, as of the last update; empty if its share of the free places is 0.
    std::optional<Milliseconds> untilMayTake() const;
    // Whether a place may be taken that the view does not show as free.
    static bool mayTakeUnseen(const PacingInput&);

private:
    double m_allowance { 1 }; // Places that the node may take now.
    double m_perSecond { 0 }; // Rise of the allowance.
    bool m_isAlone { false };
    SteadyTime m_updatedAt {};
};

} // namespace Onyxnotch
