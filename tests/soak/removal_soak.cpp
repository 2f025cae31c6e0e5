#include "tests/soak/removal_soak.h"

#include "tests/fakes/endpoint_pool.h"
#include "tests/fakes/tcp_relay.h"
#include "tests/harness/entry_site.h"
#include "tests/soak/fleet_clients.h"
#include "tests/soak/starved_processes.h"
#include <array>
#include <random>

namespace Onyxnotch::Tests {

namespace {

    constexpr std::array faultNames {
        std::pair(RemovalFault::None, std::string_view("none")),
        std::pair(RemovalFault::CutWatches, std::string_view("cut-watches")),
        std::pair(RemovalFault::KillWatchers, std::string_view("kill-watchers")),
        std::pair(RemovalFault::KillRelays, std::string_view("kill-relays")),
        std::pair(RemovalFault::FreezeWatchersAndRelays, std::string_view("freeze-watchers-and-relays")),
        std::pair(RemovalFault::KillMany, std::string_view("kill-many")),
        std::pair(RemovalFault::Starve, std::string_view("starve")),
    };

    constexpr unsigned zones = 4;
    constexpr unsigned clientsPerNode = 3;
    constexpr Milliseconds settleTime { 4000 }; // After the start and after each round: all nodes know all others and all endpoints.
    constexpr Milliseconds observedAfterBound { 2000 };
    constexpr unsigned platformThreadsPerNode = 16; // More than the connections to the store that a node keeps.

    // When the requests of each node reached each endpoint. Thread-safe.
    class Arrivals {
    public:
        void add(std::size_t endpoint, unsigned node, SteadyTime at)
        {
            std::lock_guard lock(m_mutex);
            m_arrivals[{ endpoint, node }].push_back(at);
        }

        std::vector<SteadyTime> of(std::size_t endpoint, unsigned node) const
        {
            std::lock_guard lock(m_mutex);
            auto it = m_arrivals.find({ endpoint, node });
            return it == m_arrivals.end() ? std::vector<SteadyTime>() : it->second;
        }

    private:
        mutable std::mutex m_mutex;
        std::map<std::pair<std::size_t, unsigned>, std::vector<SteadyTime>> m_arrivals {}; // By endpoint and node.
    };

    class RemovalSoak {
    public:
        explicit RemovalSoak(const RemovalSoakOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_site(platformThreadsPerNode * options.nodes)
            , m_relay(m_site.platform().address())
            , m_pool({ .onRequest = [this](std::size_t endpoint, const HttpHead& head) { m_arrivals.add(endpoint, nodeOf(head), steadyNow()); } })
            , m_clients(options.seed)
        {
            auto declaration = EntrySite::declaration(1);
            declaration["services"][0]["maxConns"] = 10 * options.nodes;
            m_site.declare(declaration);
            for (unsigned n = 0; n < options.endpoints; ++n)
                addEndpoint();
            m_nodes.resize(options.nodes);
            for (unsigned n = 0; n < options.nodes; ++n)
                launchNode(n);
            for (const auto& it : m_nodes)
                EntrySite::waitReady(*it.entry);
            std::this_thread::sleep_for(settleTime);
        }

        std::vector<RemovalRound> run()
        {
            std::vector<RemovalRound> rounds;
            for (unsigned n = 0; n < m_options.rounds; ++n)
                rounds.push_back(runRound());
            return rounds;
        }

    private:
        struct Node {
            EntryProcess* entry { nullptr };
            bool isKilled { false };
            SteadyTime disturbedAt {}; // The last fault on this node; SteadyTime {} if there was none.
        };

        struct Endpoint {
            std::string id {};
            Address address {};
            bool isRemoved { false };
            SteadyTime acknowledgedAt {}; // When the store had acknowledged that it is draining or gone.
        };

        static unsigned nodeOf(const HttpHead& head) { return static_cast<unsigned>(std::stoul("0" + std::string(head.value("attempt-id")))); }

        unsigned random(unsigned below) { return static_cast<unsigned>(m_random() % below); }

        static std::string zoneOf(unsigned n) { return "z" + std::to_string(n % zones); }

        void addEndpoint()
        {
            auto n = static_cast<unsigned>(m_endpoints.size());
            m_endpoints.push_back({ .id = "i-" + std::to_string(n), .address = m_pool.add() });
            list(n, "ready");
        }

        void list(unsigned endpoint, const std::string& state)
        {
            auto entry = EntrySite::entryOf(m_endpoints[endpoint].address, state);
            entry["zone"] = zoneOf(endpoint);
            m_site.platform().put("servers", m_endpoints[endpoint].id, entry);
        }

        // Only a fault that cuts connections needs the relay.
        Address storeAddress() { return m_options.fault == RemovalFault::CutWatches ? m_relay.address() : m_site.platform().address(); }

        void launchNode(unsigned n)
        {
            auto& entry = m_site.startNode("node-" + std::to_string(n), { { "zone", zoneOf(n) }, { "store", storeAddress().text() } });
            m_nodes[n].entry = &entry;
            m_nodes[n].isKilled = false;
            m_clients.setNode(n, entry.callers, clientsPerNode);
        }

        // --- One round ---

        RemovalRound runRound()
        {
            RemovalRound round { .fault = m_options.fault.value_or(drawFault()), .isAnnounced = m_options.isAnnounced.value_or(random(2) == 0) };
            prepareFault(round.fault);
            auto removed = drawEndpoints(1 + random(m_options.endpoints));
            round.removed = removed.size();
            for (std::size_t n = 0; n < removed.size(); ++n)
                addEndpoint();
            bool isFaultFirst = random(2) == 0;
            if (isFaultFirst)
                beginFault(round.fault);
            removeInBatches(removed, round.isAnnounced);
            auto last = m_endpoints[removed.back()].acknowledgedAt;
            if (!isFaultFirst)
                beginFault(round.fault);
            continueFault(round.fault, last);
            std::this_thread::sleep_until(last + m_options.bound + observedAfterBound);
            endFault();
            evaluate(round, removed);
            for (auto it : removed)
                m_site.platform().remove("servers", m_endpoints[it].id);
            repairNodes();
            return round;
        }

        RemovalFault drawFault()
        {
            auto fault = RemovalFault::CutWatches;
            while (fault == RemovalFault::CutWatches)
                fault = faultNames[random(faultNames.size())].first;
            return fault;
        }

        std::vector<unsigned> drawEndpoints(unsigned count)
        {
            std::vector<unsigned> present;
            for (unsigned n = 0; n < m_endpoints.size(); ++n) {
                if (!m_endpoints[n].isRemoved)
                    present.push_back(n);
            }
            std::shuffle(present.begin(), present.end(), m_random);
            present.resize(std::min<std::size_t>(present.size(), count));
            return present;
        }

        // Batches of 1 to 8 endpoints, up to 150 ms apart.
        void removeInBatches(const std::vector<unsigned>& endpoints, bool isAnnounced)
        {
            constexpr unsigned largestBatch = 8;
            constexpr unsigned longestPause = 150; // Milliseconds.
            auto leftInBatch = 1 + random(largestBatch);
            for (auto it : endpoints) {
                if (leftInBatch-- == 0) {
                    std::this_thread::sleep_for(Milliseconds(random(longestPause)));
                    leftInBatch = random(largestBatch);
                }
                m_endpoints[it].isRemoved = true;
                if (isAnnounced)
                    list(it, "draining");
                else
                    m_site.platform().remove("servers", m_endpoints[it].id);
                m_endpoints[it].acknowledgedAt = steadyNow();
            }
        }

        // --- Faults ---

        // Whether a gauge of the node is 1.
        static bool hasGauge(const Node& node, const std::string& name)
        {
            if (node.isKilled)
                return false;
            auto metrics = EntrySite::ask(node.entry->control, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body;
            return metrics.find("\n" + name + " 1\n") != std::string::npos;
        }

        std::vector<unsigned> nodesWith(const std::string& gauge) const
        {
            std::vector<unsigned> found;
            for (unsigned n = 0; n < m_nodes.size(); ++n) {
                if (hasGauge(m_nodes[n], gauge))
                    found.push_back(n);
            }
            return found;
        }

        // Chooses the nodes that the fault concerns. Asking all nodes takes a while, so it is done before the round begins.
        void prepareFault(RemovalFault fault)
        {
            m_targets.clear();
            auto add = [&](const std::vector<unsigned>& nodes) { m_targets.insert(m_targets.end(), nodes.begin(), nodes.end()); };
            if (fault == RemovalFault::KillWatchers || fault == RemovalFault::FreezeWatchersAndRelays)
                add(nodesWith("onyxnotch_entry_watches_store"));
            if (fault == RemovalFault::KillRelays || fault == RemovalFault::FreezeWatchersAndRelays) {
                auto zone = zoneOf(random(zones));
                auto relays = nodesWith("onyxnotch_entry_relays");
                std::erase_if(relays, [&](auto it) { return zoneOf(it) != zone; });
                add(relays);
            }
            for (unsigned n = 0; fault == RemovalFault::KillMany && n < m_nodes.size() / 3; ++n)
                m_targets.push_back(random(static_cast<unsigned>(m_nodes.size())));
        }

        void beginFault(RemovalFault fault)
        {
            for (auto it : m_targets)
                fault == RemovalFault::FreezeWatchersAndRelays ? freeze(it) : kill(it);
            if (fault == RemovalFault::Starve)
                starve();
            if (fault == RemovalFault::FreezeWatchersAndRelays)
                m_thawAt = steadyNow() + Milliseconds(1500 + random(1500));
        }

        void continueFault(RemovalFault fault, SteadyTime acknowledgedAt)
        {
            for (int n = 1; fault == RemovalFault::CutWatches && n <= 3; ++n) {
                std::this_thread::sleep_until(acknowledgedAt + n * Milliseconds(500));
                m_relay.cutConnections();
            }
            if (fault != RemovalFault::FreezeWatchersAndRelays)
                return;
            std::this_thread::sleep_until(m_thawAt);
            for (auto it : m_targets)
                thaw(it);
        }

        void endFault() { m_starved.reset(); }

        void kill(unsigned n)
        {
            if (m_nodes[n].isKilled)
                return;
            m_nodes[n].isKilled = true;
            m_nodes[n].disturbedAt = steadyNow();
            m_nodes[n].entry->process->signal(SIGKILL);
        }

        void freeze(unsigned n)
        {
            m_nodes[n].disturbedAt = steadyNow();
            m_nodes[n].entry->process->signal(SIGSTOP);
        }

        void thaw(unsigned n)
        {
            m_nodes[n].disturbedAt = steadyNow();
            m_nodes[n].entry->process->signal(SIGCONT);
        }

        // The starved nodes are in touch: nothing but a scarce processor is the matter with them.
        void starve()
        {
            constexpr std::array slices { StarvationOptions { .period = Milliseconds(100), .runTime = Milliseconds(10) },
                StarvationOptions { .period = Milliseconds(250), .runTime = Milliseconds(50) }, StarvationOptions { .period = Milliseconds(500), .runTime = Milliseconds(50) } };
            std::vector<pid_t> processes;
            for (const auto& it : m_nodes)
                processes.push_back(it.entry->process->pid());
            m_starved.emplace(std::move(processes), slices[random(slices.size())]);
        }

        void repairNodes()
        {
            for (unsigned n = 0; n < m_nodes.size(); ++n) {
                if (!m_nodes[n].isKilled)
                    continue;
                m_nodes[n].entry->process->kill();
                launchNode(n);
            }
            std::this_thread::sleep_for(settleTime);
            for (auto& it : m_nodes)
                it.disturbedAt = {};
        }

        // --- Evaluation ---

        bool isInTouch(const Node& node, SteadyTime at) const
        {
            return node.disturbedAt == SteadyTime {} || (!node.isKilled && at >= node.disturbedAt + m_options.contactTime);
        }

        void evaluate(RemovalRound& round, const std::vector<unsigned>& removed) const
        {
            std::vector<Milliseconds> longestByNode;
            for (unsigned n = 0; n < m_nodes.size(); ++n) {
                Milliseconds longest { -1 };
                std::size_t late = 0;
                for (auto endpoint : removed) {
                    auto acknowledgedAt = m_endpoints[endpoint].acknowledgedAt;
                    for (auto at : m_arrivals.of(endpoint, n)) {
                        if (at < acknowledgedAt || !isInTouch(m_nodes[n], at))
                            continue;
                        longest = std::max(longest, toMilliseconds(at - acknowledgedAt));
                        late += at - acknowledgedAt > m_options.bound ? 1 : 0;
                    }
                }
                if (longest >= Milliseconds(0))
                    longestByNode.push_back(longest);
                round.lateRequests += late;
                if (late > 0)
                    addLines(round, n);
            }
            std::sort(longestByNode.begin(), longestByNode.end());
            round.nodes = longestByNode.size();
            round.median = longestByNode.empty() ? Milliseconds(0) : longestByNode[longestByNode.size() / 2];
            round.longest = longestByNode.empty() ? Milliseconds(0) : longestByNode.back();
        }

        // Adds what the node logged of its endpoints and of the store.
        void addLines(RemovalRound& round, unsigned n) const
        {
            constexpr std::size_t linesPerNode = 12;
            std::vector<std::string> found;
            for (const auto& line : m_nodes[n].entry->process->lines()) {
                auto isEvent = [&](const std::string& prefix) { return line.find("\"event\":\"" + prefix) != std::string::npos; };
                bool isAboutEndpoints = isEvent("endpoints_") || isEvent("peer_page");
                if (isAboutEndpoints || (isEvent("store_") && !isEvent("store_calls")))
                    found.push_back(line);
            }
            auto first = found.size() > linesPerNode ? found.end() - linesPerNode : found.begin();
            round.lines.insert(round.lines.end(), first, found.end());
        }

        RemovalSoakOptions m_options;
        std::mt19937_64 m_random;
        Arrivals m_arrivals {};
        EntrySite m_site;
        Fakes::TcpRelay m_relay;
        Fakes::EndpointPool m_pool;
        FleetClients m_clients;
        std::vector<Endpoint> m_endpoints {};
        std::vector<Node> m_nodes {};
        std::vector<unsigned> m_targets {}; // Nodes that the fault of this round kills or suspends.
        std::optional<StarvedProcesses> m_starved {};
        SteadyTime m_thawAt {};
    };

} // namespace

std::string_view nameOf(RemovalFault fault)
{
    auto it = std::find_if(faultNames.begin(), faultNames.end(), [&](const auto& named) { return named.first == fault; });
    return it->second;
}

std::optional<RemovalFault> removalFaultNamed(std::string_view name)
{
    auto it = std::find_if(faultNames.begin(), faultNames.end(), [&](const auto& named) { return named.second == name; });
    return it == faultNames.end() ? std::nullopt : std::optional(it->first);
}

std::vector<RemovalRound> runRemovalSoak(const RemovalSoakOptions& options) { return RemovalSoak(options).run(); }

} // namespace Onyxnotch::Tests
