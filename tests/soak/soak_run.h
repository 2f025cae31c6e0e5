// One soak: entry processes before endpoints and a store that fail in series and overlapping, as a seed says, under callers that keep their
// connections open until a process is gone.
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
    bool notices { false }; // Endpoints also say of themselves, in their answers alone, that they leave or want rest.
    bool limits { false }; // Endpoints also name how many requests a second they take from all nodes together.
    bool steady { false }; // Endpoints that crashed are replaced soon, and a process that takes its time to stop holds up no other fault.
};

struct SoakResult {
    std::vector<BrokenPromise> broken {};
    std::size_t asked { 0 };
    std::size_t answered { 0 };
    std::size_t refused { 0 };
    std::size_t crashes { 0 };
    unsigned faults { 0 };
    std::vector<std::string> lines {}; // Of logs, about requests whose promise broke.
};

class SoakRun {
public:
    explicit SoakRun(const SoakOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    SoakResult play()
    {
        declare();
        for (unsigned n = 0; n < m_options.endpoints; ++n)
            addEndpoint();
        for (unsigned n = 0; n < m_options.nodes; ++n)
            start(n);
        std::vector<std::thread> callers;
        for (unsigned n = 0; n < m_options.callers; ++n)
            callers.emplace_back([this, n] { call(n); });
        playFaults();
        killAll();
        bool serves = waitUntil([this] { return servedSince(m_servedBefore); }, Milliseconds(12000));
        m_stopping = true;
        for (auto& it : callers)
            it.join();
        return finish(serves);
    }

private:
    using Answer = Fakes::ScriptedAnswer;
    static constexpr auto crashingBody = "nothing survives this";
    static constexpr auto secretBody = "a secret of the caller ";
    static constexpr int streamEvents = 5;
    static constexpr auto leavingField = "Server-Leaving: 1\r\n";
    static constexpr Milliseconds askedRest { 2000 };
    static constexpr Milliseconds gracePeriod { 8000 };

    // How an endpoint behaves towards requests that it may run.
    enum class Mode {
        Sound,
        Refuses,
        Resets, // Runs it, and its answer is lost.
        Fails,
        Garbles,
        Leaves, // Serves, and says in its answers that it leaves.
        Rests, // Turns requests away and asks for rest.
        Limited, // Serves, and names what it takes.
    };

    struct Stand {
        std::string id {};
        Fakes::ScriptedEndpoint* endpoint { nullptr };
        std::shared_ptr<std::atomic<Mode>> mode {};
        std::shared_ptr<std::atomic<int>> perSecond {}; // That it names.
        bool isGone { false };
        bool isReplaced { false };
    };

    struct Node {
        EntryProcess* entry { nullptr };
        bool isFrozen { false };
        bool isStopping { false };
    };

    unsigned random(unsigned below) { return static_cast<unsigned>(m_random() % below); }

    // Two tries everywhere: what may run once must not need the route to say so.
    void declare()
    {
        auto declaration = EntrySite::declaration(++m_version);
        for (auto& it : declaration["routes"])
            it["maxAttempts"] = 2;
        m_site.declare(declaration);
    }

    void addEndpoint()
    {
        auto mode = std::make_shared<std::atomic<Mode>>(Mode::Sound);
        auto perSecond = std::make_shared<std::atomic<int>>(0);
        auto id = "i-" + std::to_string(++m_endpointNumber);
        auto& endpoint = m_site.addEndpoint(id, [this, mode, perSecond, id](const Fakes::ReceivedRequest& it) { return answer(it, *mode, *perSecond, id); });
        m_stands.push_back({ .id = id, .endpoint = &endpoint, .mode = mode, .perSecond = perSecond });
    }

    static SoakKind kindOf(const Fakes::ReceivedRequest& it)
    {
        if (it.body == crashingBody)
            return SoakKind::Crashing;
        if (it.head.target.starts_with("/once/"))
            return SoakKind::Once;
        if (it.head.target.starts_with("/safe/"))
            return SoakKind::Safe;
        return it.head.target.starts_with("/stream/") ? SoakKind::Stream : SoakKind::Resumable;
    }

    Answer answer(const Fakes::ReceivedRequest& it, Mode mode, int perSecond, const std::string& endpoint)
    {
        auto kind = kindOf(it);
        SoakArrival arrival { .id = std::string(it.head.value("attempt-id")), .target = it.head.target, .kind = kind, .ran = mode != Mode::Refuses && mode != Mode::Rests, .at = steadyNow(), .endpoint = endpoint };
        arrival.isWhole = it.isWhole;
        arrival.timeLeft = Milliseconds(std::stoi("0" + std::string(it.head.value("deadline-ms"))));
        arrival.saysLeaving = mode == Mode::Leaves;
        if (mode == Mode::Rests)
            arrival.rest = askedRest;
        if (mode == Mode::Limited)
            arrival.limitPerSecond = perSecond;
        m_record.add(arrival);
        if (mode == Mode::Refuses)
            return { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
        if (mode == Mode::Rests)
            return { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: " + std::to_string(askedRest.count() / 1000) + "\r\nContent-Length: 0\r\n\r\n" };
        if (kind == SoakKind::Crashing) {
            m_record.noteCrash(it.head.target, endpoint, steadyNow());
            return { .ending = Answer::Ending::Crash };
        }
        if (mode == Mode::Resets)
            return { .ending = Answer::Ending::Reset };
        if (mode == Mode::Fails)
            return { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + arrival.id + "\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n" };
        if (mode == Mode::Garbles)
            return { .bytes = "these bytes are no answer\r\n\r\n", .ending = Answer::Ending::Close };
        std::string word = mode == Mode::Leaves ? leavingField : "";
        if (mode == Mode::Limited)
            word = "Server-Limit: " + std::to_string(perSecond) + "\r\n";
        if (kind == SoakKind::Once || kind == SoakKind::Safe)
            return { .bytes = answerTo(it, bodyOf(arrival.id), word) };
        return { .bytes = stream(it, word) };
    }

    static std::string bodyOf(const std::string& id) { return "ran " + id; }

    static std::string stream(const Fakes::ReceivedRequest& it, const std::string& more)
    {
        auto id = std::string(it.head.value("attempt-id"));
        std::string bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s\r\n" + more + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
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

    static std::string wholeStream(const std::string& id)
    {
        std::string text;
        for (int n = 1; n <= streamEvents; ++n)
            text += eventOf(id, n);
        return text;
    }

    // --- Callers ---

    struct Asked {
        unsigned node { 0 };
        Address address {};
    };

    std::optional<Asked> someNode(std::mt19937_64& random)
    {
        std::lock_guard lock(m_mutex);
        if (m_addresses.empty())
            return std::nullopt;
        return m_addresses[random() % m_addresses.size()];
    }

    void call(unsigned caller)
    {
        std::mt19937_64 random(m_options.seed * 1000 + caller);
        std::unique_ptr<RawCaller> connection;
        unsigned node = 0;
        for (unsigned n = 0; !m_stopping; ++n) {
            auto asked = someNode(random);
            if (!asked)
                continue;
            try {
                // A connection is kept until its process is gone, or now and then given up.
                if (!connection || random() % 10 == 0) {
                    connection = std::make_unique<RawCaller>(asked->address);
                    node = asked->node;
                }
                if (!ask(*connection, node, "c" + std::to_string(caller) + "-" + std::to_string(n), random))
                    connection.reset();
            } catch (const std::exception&) {
                connection.reset(); // Nobody listens there any more.
            }
        }
    }

    // False where the connection cannot be used again.
    bool ask(RawCaller& connection, unsigned node, const std::string& id, std::mt19937_64& random)
    {
        static constexpr std::array<std::pair<SoakKind, const char*>, 4> kinds { { { SoakKind::Once, "/once/a" }, { SoakKind::Safe, "/safe/a" }, { SoakKind::Stream, "/stream/a" }, { SoakKind::Resumable, "/resume/a" } } };
        auto [kind, path] = kinds[random() % kinds.size()];
        bool crashing = m_crashing && random() % 8 == 0;
        auto askedAt = steadyNow();
        connection.send(request("POST", path, id, "", crashing ? std::string(crashingBody) : secretBody + id));
        auto answer = connection.read();
        SoakOutcome outcome { .id = id, .kind = crashing ? SoakKind::Crashing : kind, .node = node, .status = answer.head.status, .whole = answer.whole, .askedAt = askedAt, .answeredAt = steadyNow() };
        bool ok = answer.head.status == HttpStatus::ok;
        bool plain = kind == SoakKind::Once || kind == SoakKind::Safe;
        auto expected = plain ? bodyOf(id) : wholeStream(id);
        if (ok && !crashing)
            outcome.isOwnBody = answer.whole ? answer.body == expected : expected.starts_with(answer.body);
        m_record.add(outcome);
        if (ok && answer.whole)
            ++m_served;
        return answer.whole && answer.head.keepAlive;
    }

    bool servedSince(unsigned before) const { return m_served > before + m_options.callers; }

    // --- Faults ---

    void start(unsigned n)
    {
        auto& node = m_site.startNode("node-" + std::to_string(n));
        if (n >= m_nodes.size())
            m_nodes.resize(n + 1);
        m_nodes[n] = { .entry = &node };
        m_started.push_back(&node);
        EntrySite::waitReady(node);
        tellAddresses();
    }

    void tellAddresses()
    {
        std::lock_guard lock(m_mutex);
        m_addresses.clear();
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].entry)
                m_addresses.push_back({ .node = n, .address = m_nodes[n].entry->callers });
        }
    }

    // Later steps of a fault, so that faults overlap.
    void later(Milliseconds delay, std::function<void()> step) { m_steps.emplace(steadyNow() + delay, std::move(step)); }

    void playFaults()
    {
        auto end = steadyNow() + m_options.duration;
        auto next = steadyNow() + Milliseconds(500);
        while (steadyNow() < end || !m_steps.empty()) {
            if (!m_steps.empty() && steadyNow() >= m_steps.begin()->first) {
                auto step = m_steps.extract(m_steps.begin());
                step.mapped()();
            } else if (steadyNow() >= next && steadyNow() < end) {
                ++m_faults;
                playFault();
                next = steadyNow() + Milliseconds(100 + random(500));
            } else {
                replaceCrashed();
                std::this_thread::yield();
                waitUntil([&] { return steadyNow() >= next || (!m_steps.empty() && steadyNow() >= m_steps.begin()->first); }, Milliseconds(50));
            }
        }
        for (unsigned n = 0; n < m_nodes.size(); ++n)
            thaw(n);
        m_site.platform().setDown(false);
        m_site.platform().setHeld(false);
    }

    void playFault()
    {
        auto n = random(m_options.nodes);
        constexpr unsigned kinds = 10;
        constexpr unsigned kindsOfNotices = 4;
        constexpr unsigned kindsOfLimits = 4;
        auto noticed = kinds + (m_options.notices ? kindsOfNotices : 0);
        auto kind = random(noticed + (m_options.limits ? kindsOfLimits : 0));
        if (kind >= noticed)
            return nameLimit();
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
            return later(Milliseconds(300 + random(1500)), [this] { m_site.platform().setDown(false); });
        case 5:
            m_site.platform().setHeld(true);
            return later(Milliseconds(300 + random(1500)), [this] { m_site.platform().setHeld(false); });
        case 6:
            return declare();
        case 7:
            return misbehave();
        case 8:
            return replaceEndpoint();
        case kinds:
        case kinds + 1:
            return sayLeaving();
        case kinds + 2:
        case kinds + 3:
            return askForRest();
        default:
            m_crashing = true;
            return later(Milliseconds(2500), [this] { m_crashing = false; });
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
        m_record.noteDisturbance(n, steadyNow());
        thaw(n);
        signal(n, number);
        m_nodes[n].isStopping = true;
        // Callers still go there for a while, and those that are connected stay until the process is gone.
        later(Milliseconds(number == SIGKILL ? 20 : 2500), [this, n] {
            if (!m_nodes[n].entry)
                return;
            if (m_options.steady)
                awaitEnd(n, steadyNow() + gracePeriod);
            else
                startAnew(n, gracePeriod);
        });
    }

    // Looks again and again, so that other faults go on meanwhile.
    void awaitEnd(unsigned n, SteadyTime until)
    {
        bool isOver = steadyNow() >= until;
        if (isOver || m_nodes[n].entry->process->wait(Milliseconds(0)))
            startAnew(n, Milliseconds(0));
        else
            later(Milliseconds(100), [this, n, until] { awaitEnd(n, until); });
    }

    void startAnew(unsigned n, Milliseconds patience)
    {
        // As the platform does after the grace period: one that was frozen after its stop signal would keep its callers for ever.
        if (!m_nodes[n].entry->process->wait(patience))
            m_nodes[n].entry->process->kill();
        m_nodes[n].entry = nullptr;
        tellAddresses();
        start(n);
        m_record.noteDisturbance(n, steadyNow());
    }

    void freeze(unsigned n)
    {
        auto& node = m_nodes[n];
        if (!node.entry || node.isFrozen)
            return;
        m_record.noteDisturbance(n, steadyNow());
        node.isFrozen = node.entry->process->freeze();
        later(Milliseconds(200 + random(2000)), [this, n] { thaw(n); });
    }

    void thaw(unsigned n)
    {
        if (!m_nodes[n].entry || !m_nodes[n].isFrozen)
            return;
        m_nodes[n].entry->process->thaw();
        m_nodes[n].isFrozen = false;
        m_record.noteDisturbance(n, steadyNow());
    }

    void misbehave()
    {
        auto& stand = m_stands[random(static_cast<unsigned>(m_stands.size()))];
        if (*stand.mode == Mode::Leaves)
            return; // Its word stands.
        static constexpr std::array modes { Mode::Refuses, Mode::Resets, Mode::Fails, Mode::Garbles };
        *stand.mode = modes[random(modes.size())];
        later(Milliseconds(500 + random(1500)), [mode = stand.mode] { *mode = Mode::Sound; });
    }

    // Its entry says nothing for longer than requests may still come.
    void sayLeaving()
    {
        auto n = random(static_cast<unsigned>(m_stands.size()));
        if (m_stands[n].isGone)
            return;
        *m_stands[n].mode = Mode::Leaves;
        addEndpoint();
        later(Milliseconds(3000 + random(3000)), [this, n] { removeEndpoint(n); });
    }

    void askForRest()
    {
        auto& stand = m_stands[random(static_cast<unsigned>(m_stands.size()))];
        if (*stand.mode != Mode::Sound)
            return;
        *stand.mode = Mode::Rests;
        later(askedRest + Milliseconds(random(2000)), [mode = stand.mode] { *mode = Mode::Sound; });
    }

    // For longer than news take, lowered or raised meanwhile.
    void nameLimit()
    {
        static constexpr std::array limits { 1, 2, 5, 20 };
        auto& stand = m_stands[random(static_cast<unsigned>(m_stands.size()))];
        if (*stand.mode != Mode::Sound)
            return;
        *stand.perSecond = limits[random(limits.size())];
        *stand.mode = Mode::Limited;
        later(Milliseconds(2000 + random(3000)), [perSecond = stand.perSecond, next = limits[random(limits.size())]] { *perSecond = next; });
        later(Milliseconds(6000 + random(3000)), [mode = stand.mode] { *mode = Mode::Sound; });
    }

    // One goes, with or without a word, and another one comes; so do those that crashed.
    void replaceEndpoint()
    {
        auto n = random(static_cast<unsigned>(m_stands.size()));
        if (!m_stands[n].isGone) {
            if (random(2) == 0)
                m_site.list(m_stands[n].id, m_stands[n].endpoint->address(), "draining");
            later(Milliseconds(2500), [this, n] { removeEndpoint(n); });
            addEndpoint();
        }
        for (unsigned it = 0; it < m_stands.size(); ++it) {
            if (m_stands[it].endpoint->isStopped() && !m_stands[it].isGone) {
                removeEndpoint(it);
                addEndpoint();
            }
        }
    }

    // As the platform does: the entry of one that crashed goes a moment later, and another one comes.
    void replaceCrashed()
    {
        constexpr Milliseconds missedAfter { 1000 };
        if (!m_options.steady)
            return;
        for (unsigned n = 0; n < m_stands.size(); ++n) {
            auto& it = m_stands[n];
            if (!it.endpoint->isStopped() || it.isGone || it.isReplaced)
                continue;
            it.isReplaced = true;
            later(missedAfter, [this, n] {
                removeEndpoint(n);
                addEndpoint();
            });
        }
    }

    void removeEndpoint(unsigned n)
    {
        m_stands[n].isGone = true;
        m_stands[n].endpoint->stop();
        m_site.platform().remove("servers", m_stands[n].id);
    }

    void killAll()
    {
        m_crashing = false;
        m_servedBefore = m_served;
        for (const auto& it : m_stands)
            *it.mode = Mode::Sound;
        unsigned sound = 0;
        for (const auto& it : m_stands)
            sound += it.endpoint->isStopped() ? 0 : 1;
        for (; sound < m_options.endpoints; ++sound)
            addEndpoint();
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            m_record.noteDisturbance(n, steadyNow());
            signal(n, SIGKILL);
        }
        m_servedBefore = m_served;
        for (unsigned n = 0; n < m_nodes.size(); ++n) {
            if (m_nodes[n].entry)
                m_nodes[n].entry->process->wait(Milliseconds(5000));
            start(n);
            m_record.noteDisturbance(n, steadyNow());
        }
    }

    // --- The end ---

    SoakResult finish(bool serves)
    {
        SoakResult result { .broken = m_record.check(), .asked = m_record.asked(), .answered = m_record.answered(), .refused = m_record.refused(), .crashes = m_record.crashes(), .faults = m_faults };
        auto duties = SoakRecord::checkDuties(m_site.platform().cloudCalls("/usage"));
        result.broken.insert(result.broken.end(), duties.begin(), duties.end());
        if (!serves)
            result.broken.push_back({ "serving again after all died", "", "not within 12 s" });
        auto told = result.broken;
        for (const auto* it : m_started) {
            checkLog(*it->process, result.broken);
            for (const auto& broken : told)
                collectLines(*it->process, broken.id, result.lines);
        }
        return result;
    }

    // What a process said of that request, up to so many lines in all.
    static void collectLines(const Process& process, const std::string& id, std::vector<std::string>& lines)
    {
        constexpr std::size_t mostLines = 40;
        for (const auto& line : process.lines()) {
            if (lines.size() < mostLines && !id.empty() && line.find("\"" + id + "\"") != std::string::npos)
                lines.push_back(line);
        }
    }

    // Neither keys nor bodies stand in any line.
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
    std::vector<Stand> m_stands {};
    std::vector<Node> m_nodes {};
    std::vector<EntryProcess*> m_started {}; // All that ever were.
    std::multimap<SteadyTime, std::function<void()>> m_steps {};
    std::mutex m_mutex {};
    std::vector<Asked> m_addresses {}; // Of nodes that callers may ask.
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_crashing { false };
    std::atomic<unsigned> m_served { 0 };
    unsigned m_servedBefore { 0 };
    EntrySite m_site {}; // Last: its endpoints' threads use what stands before.
};

} // namespace Onyxnotch::Tests
