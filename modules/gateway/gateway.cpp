#include "modules/gateway/gateway.h"

#include "core/log.h"

namespace Onyxnotch {

namespace {

    constexpr Milliseconds signalPollInterval { 50 };
    constexpr Milliseconds noticeLongPollWait { 2000 };
    constexpr Milliseconds noticeBackoff { 500 };
    constexpr Milliseconds responsePollInterval { 20 };
    // Part of the reclaim notice period that is reserved for writing the last bytes to clients.
    constexpr Milliseconds finalWriteReserve { 200 };
    constexpr Milliseconds drainHandoverTimeout { 5000 };
    constexpr Milliseconds drainResponseTimeout { 5000 };

    RequestServerOptions requestOptionsOf(const GatewayOptions& options, const Member& identity)
    {
        auto requests = options.requests;
        requests.node = identity.node;
        requests.incarnation = identity.incarnation;
        requests.instance = options.node.instance;
        requests.runner.node = identity.node;
        requests.runner.incarnation = identity.incarnation;
        requests.ledgers.node = identity.node;
        requests.ledgers.incarnation = identity.incarnation;
        return requests;
    }

    EndpointDirectoryOptions directoryOptionsOf(const GatewayOptions& options, const Member& identity)
    {
        // value() can't fail: the settings schema admits only valid policy names.
        return { .node = identity.node, .subsetSize = options.endpointSubset, .routing = options.routing, .policy = routePolicyNamed(options.routingPolicy).value() };
    }

} // namespace

Gateway::Gateway(const GatewayOptions& options)
    : m_options(options)
    , m_node(options.node)
    , m_loads({ .prefillTokensPerSecond = options.routing.prefillTokensPerSecond })
    , m_directory(m_node.replica(), m_node.membership(), m_loads, directoryOptionsOf(options, m_node.identity()))
    , m_requests(requestOptionsOf(options, m_node.identity()), m_node.replica(), m_node.membership(), m_directory, m_node.timers(), m_node.metrics())
    , m_http(options.http)
    , m_api(options.api, m_http, m_requests, m_node.replica(), m_node.membership(), m_node.metrics())
{
}

Gateway::~Gateway()
{
    m_stopping = true;
    m_loadTimer.cancel();
    if (m_noticeThread.joinable())
        m_noticeThread.join();
    m_http.stop();
    m_node.stop();
}

Status Gateway::start()
{
    BOOST_OUTCOME_TRYV(m_http.start());
    m_node.membership().subscribe([this](const MemberView& view) {
        auto it = view.marks.find(m_options.node.instance);
        if (it == view.marks.end())
            return;
        auto now = wallMilliseconds();
        auto deadline = it->second.deadlineWallMilliseconds;
        setReclaimDeadline(deadline == 0 ? drainHandoverTimeout : Milliseconds(deadline > now ? deadline - now : 0));
    });
    logEvent(LogLevel::Info, "http_bound", { { "http", m_http.address().text() } });
    auto port = m_options.advertisedHttpPort != 0 ? m_options.advertisedHttpPort : m_http.address().port;
    BOOST_OUTCOME_TRYV(m_node.start(port, [this](const Frame& frame) { return m_requests.handlePeerFrame(frame); }));
    m_requests.start();
    m_loadTimer = m_node.timers().every(m_options.loadPeriod, [this] { pollLoads(); });
    m_noticeThread = std::thread([this] { watchReclaimNotices(); });
    return success();
}

void Gateway::pollLoads()
{
    // Keeps a reference to this subset: another thread may replace it while this thread waits for an engine.
    auto endpoints = m_directory.subset();
    for (const auto& it : *endpoints) {
        if (m_stopping || m_directory.isLeaving(it.id))
            continue;
        auto load = EngineClient(it.address).load();
        if (!load)
            continue;
        m_loads.report(it.id, load.value());
        if (load.value().leaving)
            m_node.membership().announceMark({ .endpoint = it.id, .deadlineWallMilliseconds = 0, .source = LeavingSource::EngineReport });
    }
}

void Gateway::watchReclaimNotices()
{
    std::uint64_t lastSequence = 0;
    while (!m_stopping) {
        auto notices = m_node.cloud().notices(lastSequence, noticeLongPollWait);
        if (!notices) {
            std::this_thread::sleep_for(noticeBackoff);
            continue;
        }
        for (const auto& it : notices.value()) {
            lastSequence = std::max(lastSequence, it.sequence);
            if (it.instance == m_options.node.instance)
                setReclaimDeadline(it.timeLeft);
        }
    }
}

void Gateway::setReclaimDeadline(Milliseconds timeLeft)
{
    std::lock_guard lock(m_mutex);
    auto deadline = steadyNow() + timeLeft;
    // A notice can arrive repeatedly, from the cloud and from other nodes; the earliest deadline applies.
    if (!m_reclaimDeadline || deadline < *m_reclaimDeadline)
        m_reclaimDeadline = deadline;
}

void Gateway::runUntilStopped(StopSignal& signal)
{
    while (true) {
        if (signal.waitFor(signalPollInterval)) {
            drain(signal);
            return;
        }
        std::optional<SteadyTime> deadline;
        {
            std::lock_guard lock(m_mutex);
            deadline = m_reclaimDeadline;
        }
        if (deadline) {
            shutDownBefore(*deadline);
            return;
        }
    }
}

void Gateway::shutDownBefore(SteadyTime deadline)
{
    logEvent(LogLevel::Warning, "reclaim_notice", { { "time_left_ms", toMilliseconds(deadline - steadyNow()).count() }, { "running", m_requests.runningCount() } });
    auto handoverDeadline = deadline - finalWriteReserve;
    m_requests.beginShutdown(handoverDeadline);
    m_requests.handOver(handoverDeadline);
    waitForResponsesWritten(deadline);
    logEvent(LogLevel::Info, "left", { { "running", m_requests.runningCount() } });
}

void Gateway::drain(StopSignal& signal)
{
    logEvent(LogLevel::Info, "drain_started", { { "running", m_requests.runningCount() } });
    m_requests.beginShutdown(steadyNow() + drainHandoverTimeout);
    bool isInterrupted = false;
    auto interrupted = [&] {
        std::lock_guard lock(m_mutex);
        isInterrupted = isInterrupted || signal.waitFor(Milliseconds(0)) || m_reclaimDeadline.has_value();
        return isInterrupted;
    };
    m_requests.waitUntilIdle(m_options.drainLimit, interrupted);
    m_requests.handOver(steadyNow() + drainHandoverTimeout);
    waitForResponsesWritten(steadyNow() + drainResponseTimeout);
    logEvent(LogLevel::Info, "drain_ended", { { "running", m_requests.runningCount() } });
}

void Gateway::waitForResponsesWritten(SteadyTime deadline) const
{
    while (m_api.openResponses() > 0 && steadyNow() < deadline)
        std::this_thread::sleep_for(responsePollInterval);
}

} // namespace Onyxnotch
