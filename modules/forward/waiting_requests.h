// The requests of this node that wait for a place: wakes the one that is next when a place may have become free. Used on the request thread.
#pragma once

#include "core/steady_timer.h"
#include "modules/peers/peer_row.h"
#include "modules/queueing/request_queue.h"
#include <memory>

namespace Onyxnotch {

struct QueueingOptions {
    bool enabled { true };
    std::size_t maximumEntries { 256 };
    double maximumWaitShare { 0.5 }; // Longest wait as a part of the route's objective.
};

// A waiting request. The timer expires when the request must leave the queue or may take a place, and is canceled to let it check earlier.
struct QueueWaiter {
    explicit QueueWaiter(asio::io_context& context)
        : timer(context)
    {
    }

    SteadyTimer timer;
    std::uint64_t id { 0 };
    bool isDisplaced { false }; // The queue was full, and this request would have been served last.
};

class WaitingRequests {
public:
    WaitingRequests(asio::io_context&, const QueueingOptions&);

    // Adds a request and sets its entry's id. Returns nullptr if the queue is full and the request would be served last.
    std::shared_ptr<QueueWaiter> enter(QueueEntry&, SteadyTime now);
    void leave(const QueueWaiter&);

    // Lets the next request of the service check whether it can be sent.
    void wakeNext(const std::string& service);
    // The same for all services: the view of the endpoints has changed.
    void wakeNextOfEachService();
    // Lets all requests check whether they may stay: the configuration has changed, or the node stops.
    void wakeAll();

    const RequestQueue& queue() const { return m_queue; }
    PlacePacer& pacer(const std::string& service) { return m_pacers[service]; }
    void onPlaceTaken(const std::string& service, const std::string& team) { m_queue.onPlaceTaken(service, team); }
    void onPlaceReleased(const std::string& service, const std::string& team);

    // Sets this node's part of the demand of each service, from its own demand and that of the `heardNodes` nodes whose state was received
    // lately, including itself.
    void setDemand(const std::map<std::string, ServiceDemand>& own, const std::map<std::string, ServiceDemand>& heard, unsigned heardNodes);
    // This node's part of the service's places among `nodes` nodes. Those that are not heard may be cut off from this node, and are expected
    // to have the average demand of those that are.
    double share(const std::string& service, unsigned nodes) const;

private:
    asio::io_context& m_context;
    RequestQueue m_queue;
    std::map<std::uint64_t, std::shared_ptr<QueueWaiter>> m_waiters {};
    std::map<std::string, PlacePacer> m_pacers {};
    std::map<std::string, double> m_shares {}; // Parts of the demand that is heard.
    unsigned m_heardNodes { 1 };
    std::uint64_t m_lastId { 0 };
};

} // namespace Onyxnotch
