// A server stops partway through an event of a resumable stream: the whole events before it and the end of the body arrive together. The
// system takes the stream up at another server. Checks that the client gets every event once, in order.
#include "review/common/site.h"
#include <set>

namespace {

using namespace Review;

constexpr int eventCount = 12;
constexpr unsigned calmStreamsPerRound = 50; // So fewer than 2 in 100 answers of the faulty server break off.
constexpr unsigned rounds = 6;
constexpr Milliseconds eventInterval { 4 };

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) + "\n\n"; }

// A streaming server. It resumes a stream behind Last-Event-Id, as every server of the service does.
class StreamServer {
public:
    // `takeStop` returns how many events to send one by one before the server stops in the middle of a stream; -1 if it does not stop.
    StreamServer(Record& record, std::string name, std::function<int(const std::string& id)> takeStop)
        : m_record(record)
        , m_name(std::move(name))
        , m_takeStop(std::move(takeStop))
        , m_server([this](Connection& connection) { serve(connection); })
    {
    }

    std::string address() const { return m_server.address(); }

private:
    void serve(Connection& connection)
    {
        while (true) {
            auto request = connection.read(Milliseconds(30000));
            if (!request.isWhole)
                return;
            auto id = request.field("attempt-id");
            auto lastText = request.field("last-event-id");
            auto last = lastText.empty() ? 0 : std::stoi(lastText);
            m_record.line(m_name + " runs " + id + (lastText.empty() ? " from the start" : " behind event " + lastText));
            std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            head.append("Attempt-Id: ").append(id).append("\r\nServer-Stamp: stamp-").append(m_name).append("\r\n\r\n");
            if (!connection.write(head))
                return;
            auto stopAfter = lastText.empty() ? m_takeStop(id) : -1;
            if (stopAfter >= 0) {
                breakOff(connection, id, stopAfter);
                return;
            }
            for (int n = last + 1; n <= eventCount; ++n) {
                std::this_thread::sleep_for(eventInterval);
                if (!connection.write(chunk(event(n))))
                    return;
            }
            if (!connection.write("0\r\n\r\n"))
                return;
        }
    }

    // Sends `sent` events one by one. Then the server stops: what it still holds (two whole events and a part of the next one) and the end
    // of the body leave together.
    void breakOff(Connection& connection, const std::string& id, int sent)
    {
        for (int n = 1; n <= sent; ++n) {
            std::this_thread::sleep_for(eventInterval);
            if (!connection.write(chunk(event(n))))
                return;
        }
        std::this_thread::sleep_for(eventInterval);
        auto part = event(sent + 3);
        part.resize(part.size() / 2);
        connection.write(chunk(event(sent + 1) + event(sent + 2) + part) + "0\r\n\r\n");
        m_record.line(m_name + " stops partway through event " + std::to_string(sent + 3) + " of " + id);
    }

    Record& m_record;
    std::string m_name;
    std::function<int(const std::string&)> m_takeStop;
    Server m_server;
};

struct StreamResult {
    int status { 0 };
    bool isWhole { false };
    std::vector<int> ids {};

    std::string text() const
    {
        std::string list;
        for (auto it : ids)
            list += (list.empty() ? "" : ",") + std::to_string(it);
        return "status " + std::to_string(status) + (isWhole ? ", complete" : ", broken off") + ", events " + list;
    }
};

std::vector<int> eventIds(const std::string& body)
{
    std::vector<int> ids;
    std::size_t begin = 0;
    for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", begin)) {
        ids.push_back(std::stoi(body.substr(begin + 4, end - begin - 4)));
        begin = end + 2;
    }
    return ids;
}

StreamResult ask(Record& record, std::uint16_t port, const std::string& id)
{
    record.line("client sends " + id);
    auto connection = Connection::open("127.0.0.1", port);
    StreamResult result;
    if (connection && connection->write(encodeMessage("POST /stream/draft HTTP/1.1", { { "Host", siteHost }, { "Attempt-Id", id }, { "Deadline-Ms", "8000" } }, "draft"))) {
        auto answer = connection->read(Milliseconds(9000));
        result = { .status = answer.status(), .isWhole = answer.isWhole, .ids = eventIds(answer.body) };
    }
    record.line("client got " + id + ": " + result.text());
    return result;
}

// Whether a piece is missing or comes twice, or the stream ends as complete before its last piece.
bool isOrderBroken(const StreamResult& result)
{
    if (result.status / 100 != 2)
        return false;
    int next = 1;
    for (auto it : result.ids) {
        if (it != next++)
            return true;
    }
    return result.isWhole && result.ids.size() != eventCount;
}

int run(const CaseArguments& arguments)
{
    Record record(arguments.recordPath);
    Store store(record);
    std::mutex mutex;
    std::map<std::string, int> stops;
    std::string faultyServer;
    auto takeStop = [&](const std::string& server, const std::string& id) {
        std::lock_guard lock(mutex);
        auto it = stops.find(id);
        if (it == stops.end())
            return -1;
        // One of the two servers is faulty: the one that gets the first such request.
        if (faultyServer.empty())
            faultyServer = server;
        auto sent = server == faultyServer ? it->second : -1;
        stops.erase(it);
        return sent;
    };
    StreamServer first(record, "server-1", [&](const std::string& id) { return takeStop("server-1", id); });
    StreamServer second(record, "server-2", [&](const std::string& id) { return takeStop("server-2", id); });
    store.put("config", "main", siteConfiguration({ .prefix = "/stream/", .kind = "streaming", .attempts = 2, .isResumable = true, .objectiveMilliseconds = 1000, .timeoutMilliseconds = 8000 }));
    store.put("servers", "server-1", serverEntry(first.address(), "ready", 64));
    store.put("servers", "server-2", serverEntry(second.address(), "ready", 64));
    Node node(arguments.folder, "node-1", { .store = store.address() });
    if (!node.waitReady(Milliseconds(10000)))
        return finish(record, Verdict::CouldNotRun, "the node did not become ready");
    unsigned streams = 0;
    unsigned broken = 0;
    unsigned brokenStops = 0;
    for (unsigned round = 1; round <= rounds; ++round) {
        auto name = "round-" + std::to_string(round);
        for (unsigned n = 0; n < calmStreamsPerRound; ++n, ++streams)
            broken += isOrderBroken(ask(record, node.port(), name + "-calm-" + std::to_string(n))) ? 1 : 0;
        auto id = name + "-stop";
        if (arguments.hasTrouble) {
            std::lock_guard lock(mutex);
            // In odd rounds the client already has events when the server stops, in even ones it has none.
            stops[id] = round % 2 == 1 ? 3 : 0;
        }
        ++streams;
        brokenStops += isOrderBroken(ask(record, node.port(), id)) ? 1 : 0;
    }
    auto summary = std::to_string(streams) + " streams; with a missing or repeated event: " + std::to_string(broken) + " calm ones, " + std::to_string(brokenStops) + " of " + std::to_string(rounds) + " whose server stopped";
    return finish(record, broken + brokenStops > 0 ? Verdict::Broken : Verdict::Held, summary);
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
