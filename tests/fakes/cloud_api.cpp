// Fake cloud API: offers with prices, idempotent instance orders with client tokens, refused starts, and reclaim notices. Its instances are
// processes that are already running and whose addresses are registered with an offer.
#include "tests/fakes/fake_program.h"
#include <condition_variable>
#include <map>
#include <mutex>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-cloud-api [--port PORT]

Options:
  --port PORT  Port [default: 0].
)";

class CloudApi {
public:
    void addRoutes(HttpServer& server)
    {
        server.route("GET", "/v1/offers", [this](const HttpRequest&) { return offers(); });
        server.route("POST", "/v1/instances", [this](const HttpRequest& it) { return start(jsonBody(it)); });
        server.route("GET", "/v1/instances", [this](const HttpRequest&) { return instances(); });
        server.route("DELETE", "/v1/instances/(.+)", [this](const HttpRequest& it) { return terminate(it.captures[0]); });
        server.route("GET", "/v1/notices", [this](const HttpRequest& it) { return notices(it); });
        // {"zone","class","market","price_per_hour","addresses":[...]}: adds an offer and the addresses of instances that can fill it.
        server.route("POST", "/control/offer", [this](const HttpRequest& it) { return addOffer(jsonBody(it)); });
        // {"zone","market","refuse":true}: refuses to start instances of this market in the zone.
        server.route("POST", "/control/capacity", [this](const HttpRequest& it) { return setCapacity(jsonBody(it)); });
        // {"instances":[...],"zone":"...","time_left_ms":N}: publishes a reclaim notice for each listed instance, and for all reclaimable
        // instances of the zone.
        server.route("POST", "/control/reclaim", [this](const HttpRequest& it) { return reclaim(jsonBody(it)); });
        server.route("GET", "/control", [this](const HttpRequest&) { return counts(); });
    }

private:
    struct Notice {
        std::string instance;
        SteadyTime deadline;
    };

    static std::string offerKey(const Json& it) { return it.value("zone", "") + "|" + it.value("class", "") + "|" + it.value("market", ""); }

    HttpResponse offers()
    {
        std::lock_guard lock(m_mutex);
        Json list = Json::array();
        for (const auto& [key, offer] : m_offers)
            list.push_back(offer);
        return reply(200, { { "offers", list } });
    }

    HttpResponse addOffer(Json offer)
    {
        std::lock_guard lock(m_mutex);
        for (const auto& it : offer["addresses"])
            m_free[offerKey(offer)].push_back(it.get<std::string>());
        offer.erase("addresses");
        m_offers[offerKey(offer)] = offer;
        return reply(200, offer);
    }

    HttpResponse setCapacity(const Json& body)
    {
        std::lock_guard lock(m_mutex);
        m_refused[body.value("zone", "") + "|" + body.value("market", "")] = body.value("refuse", true);
        return reply(200, body);
    }

    HttpResponse start(const Json& order)
    {
        std::lock_guard lock(m_mutex);
        ++m_counts["start_calls"];
        auto token = order.value("client_token", "");
        for (const auto& [id, it] : m_instances) {
            if (it["client_token"] == token)
                return reply(200, it);
        }
        auto& free = m_free[offerKey(order)];
        if (free.empty() || m_refused[order.value("zone", "") + "|" + order.value("market", "")]) {
            ++m_counts["refused"];
            return reply(409, { { "error", "no capacity" } });
        }
        ++m_counts["started"];
        Json instance = order;
        instance["id"] = "i-" + order.value("zone", "") + "-" + std::to_string(++m_nextId);
        instance["address"] = free.back();
        instance["state"] = "running";
        free.pop_back();
        m_instances[instance["id"]] = instance;
        return reply(200, instance);
    }

    HttpResponse instances()
    {
        std::lock_guard lock(m_mutex);
        Json list = Json::array();
        for (const auto& [id, it] : m_instances)
            list.push_back(it);
        return reply(200, { { "instances", list } });
    }

    HttpResponse terminate(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        auto it = m_instances.find(id);
        if (it == m_instances.end())
            return reply(200, Json::object());
        ++m_counts["terminated"];
        m_free[offerKey(it->second)].push_back(it->second["address"]);
        m_instances.erase(it);
        return reply(200, Json::object());
    }

    HttpResponse reclaim(const Json& body)
    {
        std::lock_guard lock(m_mutex);
        auto deadline = steadyNow() + Milliseconds(body.value("time_left_ms", 2000));
        auto notify = [&](const std::string& id) { m_notices.push_back({ .instance = id, .deadline = deadline }); };
        for (const auto& it : body.value("instances", Json::array())) {
            notify(it.get<std::string>());
            if (m_instances.contains(it.get<std::string>()))
                m_instances[it.get<std::string>()]["state"] = "leaving";
        }
        for (auto& [id, it] : m_instances) {
            if (it["zone"] != body.value("zone", "") || it["market"] != "reclaimable")
                continue;
            notify(id);
            it["state"] = "leaving";
        }
        m_noticeAdded.notify_all();
        return reply(200, { { "notices", m_notices.size() } });
    }

    HttpResponse notices(const HttpRequest& request)
    {
        auto after = static_cast<std::size_t>(queryNumber(request, "after", 0));
        std::unique_lock lock(m_mutex);
        m_noticeAdded.wait_for(lock, Milliseconds(queryNumber(request, "wait_ms", 0)), [&] { return m_notices.size() > after; });
        Json list = Json::array();
        for (auto n = after; n < m_notices.size(); ++n) {
            auto remaining = std::max<std::int64_t>(0, toMilliseconds(m_notices[n].deadline - steadyNow()).count());
            list.push_back({ { "sequence", n + 1 }, { "instance", m_notices[n].instance }, { "time_left_ms", remaining } });
        }
        return reply(200, { { "notices", list } });
    }

    HttpResponse counts()
    {
        std::lock_guard lock(m_mutex);
        return reply(200, m_counts);
    }

    std::mutex m_mutex;
    std::condition_variable m_noticeAdded;
    std::map<std::string, Json> m_offers;
    std::map<std::string, std::vector<std::string>> m_free;
    std::map<std::string, bool> m_refused;
    std::map<std::string, Json> m_instances;
    std::vector<Notice> m_notices;
    std::map<std::string, long> m_counts;
    unsigned m_nextId { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 256 });
    CloudApi api;
    api.addRoutes(server);
    return serve(server, signal);
}
