// A whole gateway: what onyxnotch-gateway runs.
#pragma once

#include "core/stop_signal.h"
#include "modules/gateway/gateway_api.h"
#include "modules/node/node.h"

namespace Onyxnotch {

struct GatewayOptions {
    NodeOptions node {};
    HttpServerOptions http {};
    std::uint16_t advertisedHttpPort { 0 }; // 0 for the bound one.
    GatewayApiOptions api {};
    RequestServerOptions requests {};
    std::size_t endpointSubset { 64 };
    RouteOptions routing {};
    std::string routingPolicy { "cheapest-in-time" };
    Milliseconds drainLimit { 30000 }; // For requests in flight to end at a planned stop, before they are handed over.
    Milliseconds loadPeriod { 500 }; // Between load reports of one endpoint.
};

class Gateway {
public:
    explicit Gateway(const GatewayOptions&);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    Status start();
    // Runs until a stop signal or a reclaim notice for this instance, then leaves in order. Returns when nothing is left to do.
    void runUntilStopped(StopSignal&);

    Address httpAddress() const { return m_http.address(); }
    Address peerAddress() const { return m_node.peerAddress(); }

private:
    void watchOwnNotice();
    void noticeReclaim(Milliseconds timeLeft);
    void pollLoads();
    // A planned stop: requests end here, or move once the limit or a second signal has come.
    void drain(StopSignal&);
    // The instance goes at the deadline.
    void leaveBefore(SteadyTime deadline);
    void waitAnswersWritten(SteadyTime deadline) const;

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
