// The entries of three servers that never said that they drain go at the same moment, and one waiting watch is cut soon after. Checks rule
// DRAIN: no request reaches the servers more than drainMs after the store has removed their entries.
#include "../common-2/site.h"

using namespace Review;

namespace {

constexpr auto service = "yard";
constexpr auto zone = "z1";
constexpr unsigned serverCount = 20;
constexpr unsigned leavingServers = 3; // The default share of the disruption is 0.15.
constexpr int slots = 6;
constexpr Milliseconds work { 60 };
constexpr unsigned clientCount = 40;
constexpr Milliseconds requestPause { 20 };
constexpr Milliseconds untilRemoval { 6000 };
constexpr Milliseconds untilCut { 1000 }; // From the removal.
constexpr Milliseconds drainTime { 2000 }; // drainMs of the small installations.
constexpr Milliseconds servesOn { 2700 }; // drainMs and a little longer, from the removal.
constexpr Milliseconds afterEnd { 4000 };

struct Outcomes {
    std::mutex mutex {};
    std::map<std::string, int> statusOf {};
};

void sendRequests(const Address& machine, const std::string& name, const std::atomic<bool>& isStopped, Outcomes& outcomes)
{
    Client client(machine, name);
    while (!isStopped) {
        auto outcome = client.send("POST", "/slot/1", "truck");
        {
            std::lock_guard lock(outcomes.mutex);
            outcomes.statusOf[outcome.id] = outcome.status;
        }
        std::this_thread::sleep_for(requestPause);
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        abandon("usage: case-6 RECORD");
    Record record(argv[1]);
    Folder folder;
    Platform platform;
    platform.put("config", "main", configuration(Json::array({ routeTo(service, "slot", "non_idempotent", 1) }), Json::array({ { { "name", service }, { "healthPath", "/healthz" }, { "maxConns", 110 } } })));
    std::vector<std::unique_ptr<Server>> servers;
    for (unsigned n = 1; n <= serverCount; ++n) {
        servers.push_back(std::make_unique<Server>("i-" + std::to_string(n), [](const Message& request, unsigned) { return Reply { .bytes = Server::answerTo(request, "x"), .work = work }; }));
        platform.put("servers", servers.back()->id(), serverEntry(*servers.back(), service, zone, slots));
    }
    Machine machine(folder.path(), { .name = "edge-1", .zone = zone, .host = "127.0.0.41", .gossipPort = freePort("127.0.0.41"), .platform = platform.openFor("machine-1") });
    machine.waitReady();

    std::atomic<bool> isStopped { false };
    Outcomes outcomes;
    std::vector<std::thread> clients;
    for (unsigned n = 0; n < clientCount; ++n)
        clients.emplace_back([&, n] { sendRequests(machine.callers(), "c" + std::to_string(n), isStopped, outcomes); });
    std::this_thread::sleep_for(untilRemoval);
    for (unsigned n = 0; n < leavingServers; ++n)
        platform.remove("servers", servers[n]->id());
    auto removedAt = Clock::now();
    record.line("the entries of " + std::to_string(leavingServers) + " servers are removed");
    std::this_thread::sleep_for(untilCut);
    if (hasTrouble()) {
        platform.cutWaitingWatches("servers");
        record.line("the store cuts the waiting watch of the servers, once");
    }
    std::this_thread::sleep_until(removedAt + servesOn);
    for (unsigned n = 0; n < leavingServers; ++n)
        servers[n]->end();
    record.line("the servers end");
    std::this_thread::sleep_for(afterEnd);
    isStopped = true;
    for (auto& it : clients)
        it.join();

    RunPlaces places;
    for (const auto& it : servers)
        it->addRuns(places);
    for (const auto& [id, status] : outcomes.statusOf)
        record.line("request " + id + " was answered with " + std::to_string(status) + ", " + runText(places, id));
    unsigned late = 0;
    unsigned lost = 0;
    long latest = 0;
    for (unsigned n = 0; n < leavingServers; ++n) {
        for (const auto& [id, at] : servers[n]->arrivals()) {
            auto after = std::chrono::duration_cast<Milliseconds>(at - removedAt);
            if (after <= drainTime)
                continue;
            ++late;
            latest = std::max<long>(latest, after.count());
            auto status = outcomes.statusOf[id];
            lost += status == 200 ? 0 : 1;
            if (status != 200 || late == 1)
                record.line("request " + id + " reached " + servers[n]->id() + " " + std::to_string(after.count()) + " ms after the removal; its answer: " + std::to_string(status));
        }
    }
    record.line(std::to_string(outcomes.statusOf.size()) + " requests sent; " + std::to_string(late) + " reached the servers more than " + std::to_string(drainTime.count()) + " ms after the removal, the last after " + std::to_string(latest) + " ms; " + std::to_string(lost) + " of them were lost with the servers' end");
    finish(folder, { &machine }, late > 0);
}
