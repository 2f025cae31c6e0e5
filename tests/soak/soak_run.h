// One soak run: starts real entry processes, scripted endpoints and a platform stand-in, sends requests from client threads and injects
// faults, one after the other and overlapping. The seed determines the sequence of faults. Clients keep their connections open,
// also to an entry process that is stopping, until the process ends.
#pragma once

#include "tests/harness/entry_site.h"
#include "tests/soak/soak_record.h"
#include <csignal>
#include <random>
#include <thread>

namespace Onyxnotch::Tests {

struct SoakOptions {
    std::uint64_t seed { 1 };
    Milliseconds duration { 12000 };
    unsigned nodes { 4 };
    unsigned endpoints { 8 };
    unsigned callers { 8 };
    // Endpoints also announce a drain or send Retry-After, in their answers only: their objects in the store don't show it.
    bool notices { false };
    bool limits { false }; // Endpoints also advertise how many requests per second they accept from all nodes together.
    bool steady { false }; // Crashed endpoints are replaced after a second, and other faults continue while a process stops.
};

struct SoakResult {
    std::vector<BrokenPromise> broken {};
    std::size_t requestCount { 0 }; // Requests that clients sent.
    std::size_t answeredCount { 0 }; // Answered completely with status 200.
    std::size_t refusedCount { 0 }; // Answered with status 503 or 429.
    std::size_t crashedEndpoints { 0 }; // Endpoints that crashed.
    unsigned faults { 0 }; // Injected faults.
    std::vector<std::string> lines {}; // Log lines about the requests in `broken`.
};

class SoakRun {
public:
    explicit SoakRun(const SoakOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    // Runs the soak to its end and returns the violations found. Blocks for about `duration` plus the recovery at the end.
    SoakResult run()
    {
        publishConfiguration();
        for (unsigned n = 0; n < m_options.endpoints; ++n)
            addEndpoint();
        for (unsigned n = 0; n < m_options.nodes; ++n)
            launchNode(n);
        std::vector<std::thread> callers;
        for (unsigned n = 0; n < m_options.callers; ++n)
            callers.emplace_back([this, n] { runClient(n); });
        injectFaults();
        killAll();
        bool recovered = waitUntil([this] { return servedSince(m_servedBeforeKill); }, Milliseconds(12000));
        m_stopping = true;
        for (auto& it : callers)
            it.join();
        return finish(recovered);
    }

private:
    using Answer = Fakes::ScriptedResponse;
    static constexpr auto crashingBody = "nothing survives this";
    static constexpr auto secretBody = "a secret of the caller ";
    static constexpr int streamEvents = 5;
    static constexpr auto drainHeader = "Server-Leaving: 1\r\n";
    static constexpr Milliseconds retryAfterDuration { 2000 }; // The Retry-After of endpoints in the mode SendsRetryAfter.
    static constexpr Milliseconds gracePeriod { 8000 }; // From the stop signal of a process until the soak kills it.

    // How an endpoint answers requests.
    enum class Mode {
        Healthy, // Executes requests and answers them.
        RefusesRequests, // Refuses requests as not executed.
        ResetsConnections, // Executes requests, then resets the connection before it answers.
        ReturnsErrors, // Executes requests and answers with status 500.
        SendsGarbage, // Executes requests and answers with bytes that are not HTTP.
        AnnouncesDrain, // Like Healthy, but its answers announce a drain (Server-Leaving).
        SendsRetryAfter, // Refuses requests as not executed, with a Retry-After.
        AdvertisesLimit, // Like Healthy, but its answers advertise a limit (Server-Limit).
    };

    // A scripted endpoint and its state.
    struct EndpointState {
        std::string id {};
        Fakes::ScriptedEndpoint* endpoint { nullptr };
        std::shared_ptr<std::atomic<Mode>> mode {};
        std::shared_ptr<std::atomic<int>> advertisedLimit {}; // Requests per second that it advertises in the mode AdvertisesLimit.
        bool isRemoved { false }; // Stopped, and removed from the store.
        bool isReplacementScheduled { false }; // It crashed, and its replacement is scheduled.
    };

    // The entry process of a node and its state.
    struct Node {
        EntryProcess* entry { nullptr }; // Null while the process is replaced.
        bool isFrozen { false }; // Suspended by a fault.
        bool isStopping { false }; // Has received SIGTERM or SIGKILL.
    };

    unsigned random(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    // Publishes the next version of the configuration. All routes allow two attempts, so that a request that may be executed only once is
    // not protected by a limit of its route.
    void publishConfiguration()
    {
        auto declaration = EntrySite::declaration(++m_version);
        for (auto& it : declaration["routes"])
            it["maxAttempts"] = 2;
        m_site.declare(declaration);
    }

    void addEndpoint()
    {
        auto mode = std::make_shared<std::atomic<Mode>>(Mode::Healthy);
        auto advertisedLimit = std::make_shared<std::atomic<int>>(0);
        auto id = "i-" + std::to_string(++m_endpointNumber);
        auto& endpoint = m_site.addEndpoint(id, [this, mode, advertisedLimit, id](const Fakes::ReceivedRequest& it) { return answer(it, *mode, *advertisedLimit, id); });
        m_endpoints.push_back({ .id = id, .endpoint = &endpoint, .mode = mode, .advertisedLimit = advertisedLimit });
    }

    static SoakRequestKind kindOf(const Fakes::ReceivedRequest& it)
    {
        if (it.body == crashingBody)
            return SoakRequestKind::Crashing;
        if (it.head.target.starts_with("/once/"))
            return SoakRequestKind::Once;
        if (it.head.target.starts_with("/safe/"))
            return SoakRequestKind::Safe;
        return it.head.target.starts_with("/stream/") ? SoakRequestKind::Stream : SoakRequestKind::Resumable;
    }

    // Records the arrival of the request `it` at `endpoint` and returns the endpoint's answer. Called on threads of the endpoints.
    Answer answer(const Fakes::ReceivedRequest& it, Mode mode, int advertisedLimit, const std::string& endpoint)
    {
        auto kind = kindOf(it);
        SoakArrival arrival { .id = std::string(it.head.value("attempt-id")), .target = it.head.target, .kind = kind, .wasExecuted = mode != Mode::RefusesRequests && mode != Mode::SendsRetryAfter, .at = steadyNow(), .endpoint = endpoint };
        arrival.hasBody = it.isWhole;
        arrival.remainingDeadline = Milliseconds(std::stoi("0" + std::string(it.head.value("deadline-ms"))));
        arrival.advertisesDrain = mode == Mode::AnnouncesDrain;
        if (mode == Mode::SendsRetryAfter)
            arrival.retryAfter = retryAfterDuration;
        if (mode == Mode::AdvertisesLimit)
            arrival.advertisedLimitPerSecond = advertisedLimit;
        m_record.add(arrival);
        if (mode == Mode::RefusesRequests)
            return { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
        if (mode == Mode::SendsRetryAfter)
            return { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: " + std::to_string(retryAfterDuration.count() / 1000) + "\r\nContent-Length: 0\r\n\r\n" };
        if (kind == SoakRequestKind::Crashing) {
            m_record.recordCrash(it.head.target, endpoint, steadyNow());
            return { .ending = Answer::Ending::Crash };
        }
        if (mode == Mode::ResetsConnections)
            return { .ending = Answer::Ending::Reset };
        if (mode == Mode::ReturnsErrors)
            return { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + arrival.id + "\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n" };
        if (mode == Mode::SendsGarbage)
            return { .bytes = "these bytes are no answer\r\n\r\n", .ending = Answer::Ending::Close };
        std::string noticeHeader = mode == Mode::AnnouncesDrain ? drainHeader : "";
        if (mode == Mode::AdvertisesLimit)
            noticeHeader = "Server-Limit: " + std::to_string(advertisedLimit) + "\r\n";
        if (kind == SoakRequestKind::Once || kind == SoakRequestKind::Safe)
            return { .bytes = answerTo(it, bodyOf(arrival.id), noticeHeader) };
        return { .bytes = stream(it, noticeHeader) };
    }

    static std::string bodyOf(const std::string& id) { return "ran " + id; }

    // An answer with the events that follow the request's Last-Event-Id, or with all events if it has none.
    static std::string stream(const Fakes::ReceivedRequest& it, const std::string& extraHeaders)
    {
        auto id = std::string(it.head.value("attempt-id"));
        std::string bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s\r\n" + extraHeaders + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        auto from = it.head.value("last-event-id");
        for (int n = from.empty() ? 1 : std::stoi(std::string(from)) + 1; n <= streamEvents; ++n) {
            auto event = eventOf(id, n);
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            bytes += size + event + "\r\n";
        }
        return bytes + "0\r\n\r\n";
    }

    static std::string eventOf(const std::string& id, int n) { return "id: " + std::to_string(n) + "\ndata: " + bodyOf(id) + "\n\n"; }

    static std::string completeStream(const std::string& id)
    {
        std::string text;
        for (int n = 1; n <= streamEvents; ++n)
            text += eventOf(id, n);
        return text;
    }

    // --- Clients ---

    struct NodeAddress {
        unsigned node { 0 };
        Address address {};
    };

    std::optional<NodeAddress> randomNode(std::mt19937_64& random)
    {
        std::lock_guard lock(m_mutex);
        if (m_addresses.empty())
            return std::nullopt;
        return m_addresses[random() % m_addresses.size()];
    }

    // The thread of one client: sends requests one after the other until the run ends.
    void runClient(unsigned client)
    {
        std::mt19937_64 random(m_options.seed * 1000 + client);
        std::unique_ptr<RawClient> connection;
        unsigned node = 0;
        for (unsigned n = 0; !m_stopping; ++n) {
            auto requestCount = randomNode(random);
            if (!requestCount)
                continue;
            try {
                // The client keeps its connection until the process closes it, and replaces it at random before one in 10 requests.
                if (!connection || random() % 10 == 0) {
                    connection = std::make_unique<RawClient>(requestCount->address);
                    node = requestCount->node;
                }
                if (!sendRequest(*connection, node, "c" + std::to_string(client) + "-" + std::to_string(n), random))
                    connection.reset();
            } catch (const std::exception&) {
                connection.reset(); // The process at this address has ended.
            }
        }
    }

    // Sends a request of a random kind, reads its answer and records the outcome. False if the connection cannot be reused.
    bool sendRequest(RawClient& connection, unsigned node, const std::string& id, std::mt19937_64& random)
    {
        static constexpr std::array<std::pair<SoakRequestKind, const char*>, 4> kinds { { { SoakRequestKind::Once, "/once/a" }, { SoakRequestKind::Safe, "/safe/a" }, { SoakRequestKind::Stream, "/stream/a" }, { SoakRequestKind::Resumable, "/resume/a" } } };
        auto [kind, path] = kinds[random() % kinds.size()];
        bool isCrashing = m_sendsCrashingRequests && random() % 8 == 0;
        auto requestSentAt = steadyNow();
        connection.send(request("POST", path, id, "", isCrashing ? std::string(crashingBody) : secretBody + id));
        auto answer = connection.read();
        SoakOutcome outcome { .id = id, .kind = isCrashing ? SoakRequestKind::Crashing : kind, .node = node, .status = answer.head.status, .isComplete = answer.whole, .requestSentAt = requestSentAt, .answeredAt = steadyNow() };
        bool ok = answer.head.status == HttpStatus::ok;
        bool isPlain = kind == SoakRequestKind::Once || kind == SoakRequestKind::Safe;
        auto expected = isPlain ? bodyOf(id) : completeStream(id);
        if (ok && !isCrashing)
            outcome.bodyMatchesRequest = answer.whole ? answer.body == expected : expected.starts_with(answer.body);
        m_record.add(outcome);
        if (ok && answer.whole)
            ++m_served;
        return answer.whole && answer.head.keepAlive;
    }

    // True if there have been more successful answers than there are clients since their count was `before`.
    bool servedSince(unsigned before) const { return m_served > before + m_options.callers; }

    // --- Faults ---

    void launchNode(unsigned n)
    {
        auto& node = m_site.startNode("node-" + std::to_string(n));
        if (n >= m_nodes.size())
            m_nodes.resize(n + 1);
        m_nodes[n] = { .entry = &node };
        m_allProcesses.push_back(&node);
        EntrySite::waitReady(node);
        updateAddresses();
    }

    void updateAddresses()
    {
        std::lock_guard lock(m_mutex);
        m_addresses.clear();
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].entry)
                m_addresses.push_back({ .node = n, .address = m_nodes[n].entry->callers });
        }
    }

    // Runs `step` after `delay` on the thread that injects faults. Other faults continue in the meantime, so that faults overlap.
    void schedule(Milliseconds delay, std::function<void()> step) { m_scheduledSteps.emplace(steadyNow() + delay, std::move(step)); }

    // Injects faults every 100 to 600 ms for `duration`, then waits for the scheduled steps and ends all remaining faults.
    void injectFaults()
    {
        auto end = steadyNow() + m_options.duration;
        auto next = steadyNow() + Milliseconds(500);
        while (steadyNow() < end || !m_scheduledSteps.empty()) {
            if (!m_scheduledSteps.empty() && steadyNow() >= m_scheduledSteps.begin()->first) {
                auto step = m_scheduledSteps.extract(m_scheduledSteps.begin());
                step.mapped()();
            } else if (steadyNow() >= next && steadyNow() < end) {
                ++m_faults;
                injectFault();
                next = steadyNow() + Milliseconds(100 + random(500));
            } else {
                replaceCrashedEndpoints();
                std::this_thread::yield();
                waitUntil([&] { return steadyNow() >= next || (!m_scheduledSteps.empty() && steadyNow() >= m_scheduledSteps.begin()->first); }, Milliseconds(50));
            }
        }
        for (unsigned n = 0; n < m_nodes.size(); ++n)
            thaw(n);
        m_site.platform().setDown(false);
        m_site.platform().setHeld(false);
    }

    void injectFault()
    {
        auto n = random(m_options.nodes);
        constexpr unsigned faultKinds = 10; // Kind 9 is the default case below: clients send crashing requests for 2.5 s.
        constexpr unsigned noticeFaultKinds = 4;
        constexpr unsigned limitFaultKinds = 4;
        auto kindsWithNotices = faultKinds + (m_options.notices ? noticeFaultKinds : 0);
        auto kind = random(kindsWithNotices + (m_options.limits ? limitFaultKinds : 0));
        if (kind >= kindsWithNotices)
            return advertiseLimit();
        switch (kind) {
        case 0:
            return restart(n, SIGKILL);
        case 1:
            return restart(n, SIGTERM);
        case 2:
            return freeze(n);
        case 3:
            return signal(n, SIGHUP);
        case 4:
            m_site.platform().setDown(true);
            return schedule(Milliseconds(300 + random(1500)), [this] { m_site.platform().setDown(false); });
        case 5:
            m_site.platform().setHeld(true);
            return schedule(Milliseconds(300 + random(1500)), [this] { m_site.platform().setHeld(false); });
        case 6:
            return publishConfiguration();
        case 7:
            return disruptEndpoint();
        case 8:
            return replaceEndpoint();
        case faultKinds:
        case faultKinds + 1:
            return announceDrain();
        case faultKinds + 2:
        case faultKinds + 3:
            return requestBackoff();
        default:
            m_sendsCrashingRequests = true;
            return schedule(Milliseconds(2500), [this] { m_sendsCrashingRequests = false; });
        }
    }

    void signal(unsigned n, int number)
    {
        if (m_nodes[n].entry)
            m_nodes[n].entry->process->signal(number);
    }

    void restart(unsigned n, int number)
    {
        if (!m_nodes[n].entry || (m_options.steady && m_nodes[n].isStopping))
            return;
        m_record.recordDisturbance(n, steadyNow());
        thaw(n);
        signal(n, number);
        m_nodes[n].isStopping = true;
        // The node's address is removed only in this step: clients still connect until then, and connected ones stay until the process
        // ends.
        schedule(Milliseconds(number == SIGKILL ? 20 : 2500), [this, n] {
            if (!m_nodes[n].entry)
                return;
            if (m_options.steady)
                pollForExit(n, steadyNow() + gracePeriod);
            else
                replaceProcess(n, gracePeriod);
        });
    }

    // Polls every 100 ms whether the process has ended, so that other faults continue in the meantime; replaces it then or at `until`.
    void pollForExit(unsigned n, SteadyTime until)
    {
        bool hasTimedOut = steadyNow() >= until;
        if (hasTimedOut || m_nodes[n].entry->process->wait(Milliseconds(0)))
            replaceProcess(n, Milliseconds(0));
        else
            schedule(Milliseconds(100), [this, n, until] { pollForExit(n, until); });
    }

    // Replaces the process of node `n`, which it kills if it does not end within `exitTimeout`.
    void replaceProcess(unsigned n, Milliseconds exitTimeout)
    {
        // As the platform does after the grace period. A process that was suspended after its stop signal would never end, and its clients
        // would wait forever.
        if (!m_nodes[n].entry->process->wait(exitTimeout))
            m_nodes[n].entry->process->kill();
        m_nodes[n].entry = nullptr;
        updateAddresses();
        launchNode(n);
        m_record.recordDisturbance(n, steadyNow());
    }

    void freeze(unsigned n)
    {
        auto& node = m_nodes[n];
        if (!node.entry || node.isFrozen)
            return;
        m_record.recordDisturbance(n, steadyNow());
        node.isFrozen = node.entry->process->freeze();
        schedule(Milliseconds(200 + random(2000)), [this, n] { thaw(n); });
    }

    void thaw(unsigned n)
    {
        if (!m_nodes[n].entry || !m_nodes[n].isFrozen)
            return;
        m_nodes[n].entry->process->thaw();
        m_nodes[n].isFrozen = false;
        m_record.recordDisturbance(n, steadyNow());
    }

    // Makes a random endpoint refuse, reset, fail or garble requests for 0.5 to 2 s.
    void disruptEndpoint()
    {
        auto& endpointState = m_endpoints[random(static_cast<unsigned>(m_endpoints.size()))];
        if (*endpointState.mode == Mode::AnnouncesDrain)
            return; // A drain that was announced is not withdrawn.
        static constexpr std::array modes { Mode::RefusesRequests, Mode::ResetsConnections, Mode::ReturnsErrors, Mode::SendsGarbage };
        *endpointState.mode = modes[random(modes.size())];
        schedule(Milliseconds(500 + random(1500)), [mode = endpointState.mode] { *mode = Mode::Healthy; });
    }

    // A random endpoint announces a drain in its answers only, and another endpoint is added. Its object in the store is removed 3 to 6 s
    // later, which is after the last moment at which requests may still arrive.
    void announceDrain()
    {
        auto n = random(static_cast<unsigned>(m_endpoints.size()));
        if (m_endpoints[n].isRemoved)
            return;
        *m_endpoints[n].mode = Mode::AnnouncesDrain;
        addEndpoint();
        schedule(Milliseconds(3000 + random(3000)), [this, n] { removeEndpoint(n); });
    }

    // A random endpoint refuses requests with a Retry-After, for `retryAfterDuration` and up to 2 s more.
    void requestBackoff()
    {
        auto& endpointState = m_endpoints[random(static_cast<unsigned>(m_endpoints.size()))];
        if (*endpointState.mode != Mode::Healthy)
            return;
        *endpointState.mode = Mode::SendsRetryAfter;
        schedule(retryAfterDuration + Milliseconds(random(2000)), [mode = endpointState.mode] { *mode = Mode::Healthy; });
    }

    // A random endpoint advertises a limit for 6 to 9 s, longer than the limit takes to reach all nodes, and changes it after 2 to 5 s.
    void advertiseLimit()
    {
        static constexpr std::array limits { 1, 2, 5, 20 };
        auto& endpointState = m_endpoints[random(static_cast<unsigned>(m_endpoints.size()))];
        if (*endpointState.mode != Mode::Healthy)
            return;
        *endpointState.advertisedLimit = limits[random(limits.size())];
        *endpointState.mode = Mode::AdvertisesLimit;
        schedule(Milliseconds(2000 + random(3000)), [advertisedLimit = endpointState.advertisedLimit, next = limits[random(limits.size())]] { *advertisedLimit = next; });
        schedule(Milliseconds(6000 + random(3000)), [mode = endpointState.mode] { *mode = Mode::Healthy; });
    }

    // Replaces a random endpoint, which is marked as draining in the store in half of the cases, and all endpoints that have crashed.
    void replaceEndpoint()
    {
        auto n = random(static_cast<unsigned>(m_endpoints.size()));
        if (!m_endpoints[n].isRemoved) {
            if (random(2) == 0)
                m_site.list(m_endpoints[n].id, m_endpoints[n].endpoint->address(), "draining");
            schedule(Milliseconds(2500), [this, n] { removeEndpoint(n); });
            addEndpoint();
        }
        for (unsigned it = 0; it < m_endpoints.size(); ++it) {
            if (m_endpoints[it].endpoint->isStopped() && !m_endpoints[it].isRemoved) {
                removeEndpoint(it);
                addEndpoint();
            }
        }
    }

    // In steady mode, replaces each crashed endpoint after `replacementDelay`, as the platform does: removes its object from the store and
    // adds another endpoint.
    void replaceCrashedEndpoints()
    {
        constexpr Milliseconds replacementDelay { 1000 };
        if (!m_options.steady)
            return;
        for (unsigned n = 0; n < m_endpoints.size(); ++n) {
            auto& it = m_endpoints[n];
            if (!it.endpoint->isStopped() || it.isRemoved || it.isReplacementScheduled)
                continue;
            it.isReplacementScheduled = true;
            schedule(replacementDelay, [this, n] {
                removeEndpoint(n);
                addEndpoint();
            });
        }
    }

    void removeEndpoint(unsigned n)
    {
        m_endpoints[n].isRemoved = true;
        m_endpoints[n].endpoint->stop();
        m_site.platform().remove("servers", m_endpoints[n].id);
    }

    // Ends all faults of endpoints, adds endpoints up to the configured number, then kills all nodes at the same time and starts them
    // again.
    void killAll()
    {
        m_sendsCrashingRequests = false;
        m_servedBeforeKill = m_served;
        for (const auto& it : m_endpoints)
            *it.mode = Mode::Healthy;
        unsigned healthyEndpoints = 0;
        for (const auto& it : m_endpoints)
            healthyEndpoints += it.endpoint->isStopped() ? 0 : 1;
        for (; healthyEndpoints < m_options.endpoints; ++healthyEndpoints)
            addEndpoint();
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            m_record.recordDisturbance(n, steadyNow());
            signal(n, SIGKILL);
        }
        m_servedBeforeKill = m_served;
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].entry)
                m_nodes[n].entry->process->wait(Milliseconds(5000));
            launchNode(n);
            m_record.recordDisturbance(n, steadyNow());
        }
    }

    // --- Result ---

    SoakResult finish(bool recovered)
    {
        SoakResult result { .broken = m_record.check(), .requestCount = m_record.requestCount(), .answeredCount = m_record.answeredCount(), .refusedCount = m_record.refusedCount(), .crashedEndpoints = m_record.crashedEndpoints(), .faults = m_faults };
        auto usageReportViolations = SoakRecord::checkUsageReports(m_site.platform().cloudCalls("/usage"));
        result.broken.insert(result.broken.end(), usageReportViolations.begin(), usageReportViolations.end());
        if (!recovered)
            result.broken.push_back({ "serving again after all died", "", "not within 12 s" });
        auto brokenRequests = result.broken;
        for (const auto* it : m_allProcesses) {
            checkLog(*it->process, result.broken);
            for (const auto& broken : brokenRequests)
                collectLines(*it->process, broken.id, result.lines);
        }
        return result;
    }

    // Appends the process's log lines about the request `id` to `lines`, up to `maximumLines` over all processes and requests.
    static void collectLines(const Process& process, const std::string& id, std::vector<std::string>& lines)
    {
        constexpr std::size_t maximumLines = 40;
        for (const auto& line : process.lines()) {
            if (lines.size() < maximumLines && !id.empty() && line.find("\"" + id + "\"") != std::string::npos)
                lines.push_back(line);
        }
    }

    // Checks that no log line contains an API key or a request body.
    static void checkLog(const Process& process, std::vector<BrokenPromise>& broken)
    {
        for (const auto& line : process.lines()) {
            for (const auto* secret : { "key-a", secretBody, crashingBody }) {
                if (line.find(secret) != std::string::npos)
                    broken.push_back({ "no keys or bodies in logs", "", line.substr(0, 200) });
            }
        }
    }

    SoakOptions m_options;
    std::mt19937_64 m_random;
    SoakRecord m_record {};
    std::uint64_t m_version { 0 };
    unsigned m_endpointNumber { 0 };
    unsigned m_faults { 0 };
    std::vector<EndpointState> m_endpoints {};
    std::vector<Node> m_nodes {};
    std::vector<EntryProcess*> m_allProcesses {}; // All processes of the run, including those that have ended.
    std::multimap<SteadyTime, std::function<void()>> m_scheduledSteps {}; // Scheduled steps of faults, by due time.
    std::mutex m_mutex {};
    std::vector<NodeAddress> m_addresses {}; // Of nodes to which clients may connect. Guarded by m_mutex.
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_sendsCrashingRequests { false };
    std::atomic<unsigned> m_served { 0 };
    unsigned m_servedBeforeKill { 0 };
    EntrySite m_site {}; // Destroyed first, as the last member: the threads of its endpoints use the members above.
};

} // namespace Onyxnotch::Tests
