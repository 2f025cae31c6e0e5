// One faulty model server spoils one of fifty answers: after the head of a stream it sends bytes that are no events, at a tenth of the rate of
// its link. Checks rule CONFIG: of the requests that run past their route's timeoutMs, fewer than eight or at most a quarter have no final
// answer 0.5 s later.
#include "../common-2/site.h"

using namespace Review;

namespace {

constexpr auto modelService = "pool";
constexpr auto plainService = "yard";
constexpr auto zone = "z1";
constexpr unsigned modelServers = 2;
constexpr unsigned plainServers = 2;
constexpr unsigned plainClients = 16;
constexpr unsigned streamClients = 12;
constexpr Milliseconds requestPause { 50 };
constexpr Milliseconds duration { 30000 };
constexpr unsigned spoiledEach = 50; // One answer in fifty of half of the servers is the default of the disruption.
constexpr std::size_t bytesPerMegabit = 125000;
constexpr std::size_t spoiledMegabits = 100; // A second; a tenth of the link of the small installations. SPOILED_MBPS sets another rate.
constexpr int streamTimeout = 15000; // In milliseconds, as on the sheet.
constexpr long timeoutMilliseconds = 1500;
constexpr long slackMilliseconds = 500;
constexpr Milliseconds clientPatience { 20000 };

std::string head(const Message& request)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.value("attempt-id") + "\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string stream(const Message& request)
{
    auto bytes = head(request);
    for (int n = 1; n <= 5; ++n)
        bytes += chunk("id: " + std::to_string(n) + "\ndata: token\n\n");
    return bytes + "0\r\n\r\n";
}

std::size_t spoiledBytesPerSecond()
{
    const char* text = std::getenv("SPOILED_MBPS");
    return (text ? std::strtoul(text, nullptr, 10) : spoiledMegabits) * bytesPerMegabit;
}

// Asks each second whether the machine is ready, as the platform does. Returns how often it got no 200.
unsigned countMissedQuestions(const Machine& machine, Clock::time_point until)
{
    unsigned missed = 0;
    for (auto next = Clock::now(); next < until; next += std::chrono::seconds(1)) {
        std::this_thread::sleep_until(next);
        missed += machine.isReady() ? 0 : 1;
    }
    return missed;
}

struct Results {
    std::mutex mutex {};
    unsigned sent { 0 };
    unsigned served { 0 };
    unsigned past { 0 }; // Not answered timeoutMs after they were sent.
    unsigned unanswered { 0 }; // Nor half a second later.
    long longest { 0 };
    std::vector<std::string> lines {};
};

void sendPlain(const Address& machine, const std::string& name, Clock::time_point until, Results& results)
{
    Client client(machine, name);
    while (Clock::now() < until) {
        auto sentAt = Clock::now();
        auto outcome = client.send("GET", "/look/1", "", clientPatience);
        auto took = millisecondsSince(sentAt);
        {
            std::lock_guard lock(results.mutex);
            ++results.sent;
            results.served += outcome.status == 200 ? 1 : 0;
            results.past += took > timeoutMilliseconds ? 1 : 0;
            results.unanswered += took > timeoutMilliseconds + slackMilliseconds ? 1 : 0;
            results.longest = std::max(results.longest, took);
            results.lines.push_back("request " + outcome.id + " was answered with " + std::to_string(outcome.status) + " after " + std::to_string(took) + " ms");
        }
        std::this_thread::sleep_for(requestPause);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        abandon("usage: case-4 RECORD");
    Record record(argv[1]);
    Folder folder;
    Platform platform;
    auto services = Json::array({ { { "name", modelService }, { "healthPath", "/healthz" }, { "maxConns", 370 } }, { { "name", plainService }, { "healthPath", "/healthz" }, { "maxConns", 110 } } });
    auto streamRoute = routeTo(modelService, "read", "streaming", 1);
    streamRoute["timeoutMs"] = streamTimeout;
    streamRoute["goalMs"] = 1000;
    platform.put("config", "main", configuration(Json::array({ streamRoute, routeTo(plainService, "look", "idempotent", 2) }), services));
    std::vector<std::unique_ptr<Server>> servers;
    std::atomic<unsigned> answers { 0 };
    DisruptionTimes times;
    auto startServer = [&](const std::string& service, int slots, Server::Handler handler) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(servers.size() + 1), std::move(handler)));
        platform.put("servers", servers.back()->id(), serverEntry(*servers.back(), service, zone, slots));
    };
    for (unsigned n = 0; n < modelServers; ++n) {
        startServer(modelService, 64, [&, isFaulty = n == 0](const Message& request, unsigned) {
            auto left = times.left();
            if (!isFaulty || left.count() == 0 || ++answers % spoiledEach != 0)
                return Reply { .bytes = stream(request), .work = Milliseconds(20) };
            record.line("request " + request.value("attempt-id") + " gets a spoiled answer from i-1, for " + std::to_string(left.count()) + " ms at most");
            return Reply { .bytes = head(request), .floodFor = left, .floodBytesPerSecond = spoiledBytesPerSecond() };
        });
    }
    for (unsigned n = 0; n < plainServers; ++n)
        startServer(plainService, 6, [](const Message& request, unsigned) { return Reply { .bytes = Server::answerTo(request, "x"), .work = Milliseconds(15) }; });
    Machine machine(folder.path(), { .name = "edge-1", .zone = zone, .host = "127.0.0.51", .gossipPort = freePort("127.0.0.51"), .platform = platform.openFor("machine-1") });
    machine.waitReady();

    Results results;
    auto until = Clock::now() + duration;
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < plainClients; ++n)
        clients.emplace_back([&, n] { sendPlain(machine.callers(), "plain-" + std::to_string(n), until, results); });
    for (unsigned n = 0; n < streamClients; ++n) {
        clients.emplace_back([&, n] {
            Client client(machine.callers(), "stream-" + std::to_string(n), Milliseconds(streamTimeout));
            while (Clock::now() < until) {
                auto outcome = client.send("POST", "/read/1", "prompt", clientPatience);
                record.line("request " + outcome.id + " was answered with " + std::to_string(outcome.status));
                std::this_thread::sleep_for(requestPause);
            }
        });
    }
    auto missed = countMissedQuestions(machine, until);
    for (auto& it : clients)
        it.join();
    for (const auto& it : results.lines)
        record.line(it);
    RunPlaces places;
    for (const auto& it : servers)
        it->addRuns(places);
    for (const auto& it : places)
        record.line("request " + it.first + " " + runText(places, it.first));
    record.line(std::to_string(results.sent) + " plain requests sent, " + std::to_string(results.served) + " served; " + std::to_string(results.past) + " had no answer after " + std::to_string(timeoutMilliseconds) + " ms, " + std::to_string(results.unanswered) + " none " + std::to_string(slackMilliseconds) + " ms later; the longest took " + std::to_string(results.longest) + " ms");
    record.line(std::to_string(servers.front()->floodedBytes() / 1000000) + " MB were sent in spoiled answers; " + std::to_string(missed) + " of the platform's questions whether the machine is ready had no 200");
    record.line("peak memory of the process: " + std::to_string(machine.peakMemoryKilobytes()) + " kB");
    bool isBroken = results.unanswered >= 8 && results.unanswered * 4 > results.past;
    finish(folder, { &machine }, isBroken);
}
