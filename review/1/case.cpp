// Both servers of a service refuse a request because they are full for a moment, and a copy of the refusal of one of them arrives late on
// the same channel, at the place of the next answer. Checks that no request of a route that may not be repeated runs more than once, and
// that none that is answered with 429 or 503 runs at all.
#include "review/common/site.h"

namespace {

using namespace Review;

constexpr unsigned slots = 6;
constexpr unsigned occurrences = 4; // Of the disruption, each at one of the two servers in turn.
constexpr unsigned roundsPerOccurrence = 3;
constexpr unsigned calmClients = 6;
constexpr unsigned calmRequestsPerClient = 16;
constexpr unsigned longRequests = 9; // In flight when the servers are full for a moment.
constexpr double maximumCopies = 0.03; // Late copies, as a part of the answers of the faulty server.
constexpr Milliseconds occurrenceTime { 5000 };
constexpr Milliseconds usualWork { 60 };
constexpr Milliseconds longWork { 250 };

// Requests of other machines, which take the free slots of all servers for a moment.
class OtherMachines {
public:
    // From the first arrival of `requestId` on.
    void comeAt(const std::string& requestId)
    {
        std::lock_guard lock(m_mutex);
        m_requestId = requestId;
    }

    bool takeSlots(const std::string& requestId)
    {
        constexpr Milliseconds time { 6 };
        std::lock_guard lock(m_mutex);
        if (requestId == m_requestId) {
            m_requestId.clear();
            m_until = Clock::now() + time;
        }
        return Clock::now() < m_until;
    }

private:
    std::mutex m_mutex;
    std::string m_requestId {};
    Clock::time_point m_until {};
};

// How often each request ran, at all servers together.
class Runs {
public:
    unsigned add(const std::string& requestId)
    {
        std::lock_guard lock(m_mutex);
        return ++m_counts[requestId];
    }
    unsigned of(const std::string& requestId)
    {
        std::lock_guard lock(m_mutex);
        return m_counts[requestId];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_counts {};
};

// A server with a few slots. It serves one request at a time on each channel and refuses requests when it is full.
class SlotServer {
public:
    SlotServer(Record& record, std::string name, OtherMachines& others, Runs& runs)
        : m_record(record)
        , m_name(std::move(name))
        , m_others(others)
        , m_runs(runs)
        , m_server([this](Connection& connection) { serve(connection); })
    {
    }

    std::string address() const { return m_server.address(); }

    // While set, late copies follow refusals, but at most `maximumCopies` of the answers since.
    void setFaulty(bool isFaulty)
    {
        std::lock_guard lock(m_mutex);
        m_isFaulty = isFaulty;
        m_answers = 0;
        m_copies = 0;
    }

    unsigned sentCopies()
    {
        std::lock_guard lock(m_mutex);
        return m_sentCopies;
    }

private:
    // Takes a slot for the request. Returns false if the server is full.
    bool begin(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        ++m_answers;
        if (m_others.takeSlots(id) || m_running >= slots) {
            m_record.line(m_name + " refuses " + id + " (503, Not-Executed)");
            return false;
        }
        ++m_running;
        m_record.line(m_name + " runs " + id + ", run " + std::to_string(m_runs.add(id)));
        return true;
    }

    void end()
    {
        std::lock_guard lock(m_mutex);
        --m_running;
    }

    bool takeCopy()
    {
        std::lock_guard lock(m_mutex);
        if (!m_isFaulty || m_copies + 1 > maximumCopies * m_answers)
            return false;
        ++m_copies;
        return true;
    }

    void countSentCopy()
    {
        std::lock_guard lock(m_mutex);
        ++m_sentCopies;
    }

    bool isFaulty()
    {
        std::lock_guard lock(m_mutex);
        return m_isFaulty;
    }

    void serve(Connection& connection)
    {
        std::string lateCopy;
        while (true) {
            auto request = connection.read(Milliseconds(30000));
            if (!request.isWhole)
                return;
            auto id = request.field("attempt-id");
            if (!lateCopy.empty() && isFaulty()) {
                countSentCopy();
                m_record.line(m_name + " sends a late copy of its last answer on this channel, which was a refusal; the next request on it is " + id);
                if (!connection.write(lateCopy))
                    return;
            }
            lateCopy.clear();
            if (!begin(id)) {
                auto refusal = encodeMessage("HTTP/1.1 503 Service Unavailable", { { "Attempt-Id", id }, { "Not-Executed", "1" } });
                if (!connection.write(refusal))
                    return;
                if (takeCopy())
                    lateCopy = refusal; // Due at the place of the next answer on this channel.
                continue;
            }
            std::this_thread::sleep_for(request.target().find("long") == std::string::npos ? usualWork : longWork);
            end();
            m_record.line(m_name + " answers " + id + " (200)");
            if (!connection.write(encodeMessage("HTTP/1.1 200 OK", { { "Attempt-Id", id }, { "Server-Stamp", "stamp-" + id } }, "done " + id)))
                return;
        }
    }

    Record& m_record;
    std::string m_name;
    OtherMachines& m_others;
    Runs& m_runs;
    std::mutex m_mutex;
    bool m_isFaulty { false };
    unsigned m_running { 0 };
    unsigned m_answers { 0 };
    unsigned m_copies { 0 };
    unsigned m_sentCopies { 0 };
    Server m_server;
};

// The clients' side: sends requests and keeps the status that each got; 0 stands for no answer.
class Clients {
public:
    Clients(Record& record, std::uint16_t port)
        : m_record(record)
        , m_port(port)
    {
    }

    void ask(const std::string& id, const std::string& path)
    {
        m_record.line("client sends " + id);
        auto connection = Connection::open("127.0.0.1", m_port);
        int status = 0;
        if (connection && connection->write(encodeMessage("POST " + path + " HTTP/1.1", { { "Host", siteHost }, { "Attempt-Id", id }, { "Deadline-Ms", "4000" } }, "slot")))
            status = connection->read(Milliseconds(5000)).status();
        m_record.line("client got " + std::to_string(status) + " for " + id);
        std::lock_guard lock(m_mutex);
        m_statuses[id] = status;
    }

    const std::map<std::string, int>& statuses() const { return m_statuses; }

private:
    Record& m_record;
    std::uint16_t m_port;
    std::mutex m_mutex;
    std::map<std::string, int> m_statuses {};
};

// Calm requests, then one that finds three quarters of the slots in use, and the others taken for a moment.
void runRound(Clients& clients, OtherMachines& others, const std::string& name)
{
    std::vector<std::thread> threads;
    auto joinAll = [&threads] {
        for (auto& it : threads)
            it.join();
        threads.clear();
    };
    for (unsigned n = 0; n < calmClients; ++n) {
        threads.emplace_back([&clients, prefix = name + "-calm-" + std::to_string(n) + "-"] {
            for (unsigned i = 0; i < calmRequestsPerClient; ++i)
                clients.ask(prefix + std::to_string(i), "/slot/confirm");
        });
    }
    joinAll();
    for (unsigned n = 0; n < longRequests; ++n)
        threads.emplace_back([&clients, id = name + "-long-" + std::to_string(n)] { clients.ask(id, "/slot/long"); });
    std::this_thread::sleep_for(Milliseconds(50));
    auto id = name + "-full";
    others.comeAt(id);
    clients.ask(id, "/slot/confirm");
    joinAll();
}

int run(const CaseArguments& arguments)
{
    Record record(arguments.recordPath);
    Store store(record);
    OtherMachines others;
    Runs runs;
    SlotServer first(record, "server-1", others, runs);
    SlotServer second(record, "server-2", others, runs);
    store.put("config", "main", siteConfiguration({ .prefix = "/slot/", .kind = "non_idempotent" }));
    store.put("servers", "server-1", serverEntry(first.address(), "ready", slots));
    store.put("servers", "server-2", serverEntry(second.address(), "ready", slots));
    Node node(arguments.folder, "node-1", { .store = store.address() });
    if (!node.waitReady(Milliseconds(10000)))
        return finish(record, Verdict::CouldNotRun, "the node did not become ready");
    Clients clients(record, node.port());
    for (unsigned occurrence = 1; occurrence <= occurrences; ++occurrence) {
        auto endsAt = Clock::now() + occurrenceTime;
        auto& faulty = occurrence % 2 == 1 ? first : second;
        faulty.setFaulty(arguments.hasTrouble);
        for (unsigned round = 1; round <= roundsPerOccurrence && Clock::now() < endsAt; ++round)
            runRound(clients, others, "round-" + std::to_string(occurrence) + "." + std::to_string(round));
        faulty.setFaulty(false);
        std::this_thread::sleep_for(Milliseconds(1000));
    }
    unsigned twice = 0;
    unsigned refusedAndRun = 0;
    for (const auto& [id, status] : clients.statuses()) {
        twice += runs.of(id) > 1 ? 1 : 0;
        refusedAndRun += (status == 503 || status == 429) && runs.of(id) > 0 ? 1 : 0;
    }
    auto summary = std::to_string(clients.statuses().size()) + " requests, " + std::to_string(first.sentCopies() + second.sentCopies()) + " late copies sent; requests that ran more than once: " + std::to_string(twice)
        + ", that were answered with 429 or 503 and ran: " + std::to_string(refusedAndRun);
    return finish(record, twice + refusedAndRun > 0 ? Verdict::Broken : Verdict::Held, summary);
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = readArguments(argc, argv);
    if (!arguments)
        return static_cast<int>(Verdict::CouldNotRun);
    try {
        return run(*arguments);
    } catch (const std::exception& exception) {
        std::cerr << exception.what() << std::endl;
        return static_cast<int>(Verdict::CouldNotRun);
    }
}
