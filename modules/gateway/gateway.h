// The gateway process (onyxnotch-gateway): joins the cluster, serves client requests over HTTP, polls the load of model engines, and
// hands over its requests at a planned stop or when the cloud reclaims its instance.
#pragma once

#include "core/stop_signal.h"
#include "modules/gateway/gateway_api.h"
#include "modules/node/node.h"

namespace Onyxnotch {

struct GatewayOptions {
    NodeOptions node {};
    HttpServerOptions http {};
    std::uint16_t advertisedHttpPort { 0 }; // Port that other nodes and clients use; 0: the port that `http` is bound to.
    GatewayApiOptions api {};
    RequestServerOptions requests {};
    std::size_t endpointSubset { 64 };
    RouteOptions routing {};
    std::string routingPolicy { "cheapest-in-time" };
    Milliseconds drainLimit { 30000 }; // At a planned stop, time for running requests to finish before they are handed over.
    Milliseconds loadPeriod { 500 }; // Interval at which each endpoint is polled for its load.
};

class Gateway {
public:
    explicit Gateway(const GatewayOptions&);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    Status start();
    // Blocks until a stop signal or a reclaim notice for this instance arrives, then shuts down gracefully: hands over or finishes the
    // running requests. Returns when the shutdown is complete.
    void runUntilStopped(StopSignal&);

    Address httpAddress() const { return m_http.address(); }
    Address peerAddress() const { return m_node.peerAddress(); }

private:
    // Thread function: polls the cloud for reclaim notices about this instance.
    void watchReclaimNotices();
    void setReclaimDeadline(Milliseconds timeLeft);
    void pollLoads();
    // Planned stop: lets running requests finish, then hands over those that still run after `drainLimit`, a second stop signal or a
    // reclaim notice.
    void drain(StopSignal&);
    // Hands over all requests in time for the cloud to end this instance at `deadline`.
    void shutDownBefore(SteadyTime deadline);
    void waitForResponsesWritten(SteadyTime deadline) const;

    GatewayOptions m_options;
    Node m_node;
    LoadTracker m_loads;
    EndpointDirectory m_directory;
    RequestServer m_requests;
    HttpServer m_http;
    GatewayApi m_api;
    std::mutex m_mutex;
    std::optional<SteadyTime> m_reclaimDeadline {};
    std::atomic<bool> m_stopping { false };
    TimerService::Subscription m_loadTimer;
    std::thread m_noticeThread;
};

} // namespace Onyxnotch
