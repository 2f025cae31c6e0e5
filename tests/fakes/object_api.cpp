// Fake object API of the platform: object versions, conditional updates, watches and call rate limits, with injected outages, delays and
// lost responses.
#include "tests/fakes/fake_program.h"
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-object-api [--port PORT] [--writes RATE] [--reads RATE]

Options:
  --port PORT    Port [default: 0].
  --writes RATE  Writes a second [default: 100].
  --reads RATE   Reads a second [default: 2000].
)";

struct Object {
    std::uint64_t version { 0 };
    Json value;
    bool removed { false };
};

class ObjectApi {
public:
    ObjectApi(long writes, long reads)
        : m_writeRate(writes)
        , m_readRate(reads)
    {
    }

    void addRoutes(HttpServer& server)
    {
        server.route("GET", "/v1/objects/(.+)", [this](const HttpRequest& it) { return call("read", it, [&] { return get(it.captures[0]); }); });
        server.route("PUT", "/v1/objects/(.+)", [this](const HttpRequest& it) { return call("write", it, [&] { return put(it); }); });
        server.route("DELETE", "/v1/objects/(.+)", [this](const HttpRequest& it) { return call("write", it, [&] { return remove(it); }); });
        server.route("GET", "/v1/objects", [this](const HttpRequest& it) { return call("read", it, [&] { return list(it); }); });
        server.route("GET", "/v1/watch", [this](const HttpRequest& it) { return call("read", it, [&] { return watch(it); }); });
        server.route("POST", "/control", [this](const HttpRequest& it) { return control(jsonBody(it)); });
        server.route("GET", "/control", [this](const HttpRequest&) { return counts(); });
    }

private:
    // Counts the call, enforces the call rate, and runs `handler` with the configured fault.
    HttpResponse call(const std::string& kind, const HttpRequest& request, const std::function<HttpResponse()>& handler)
    {
        Json fault;
        {
            std::lock_guard lock(m_mutex);
            ++m_calls[kind];
            if (overRateLocked(kind))
                return reply(429, { { "error", "over the call rate" } });
            fault = m_fault;
        }
        auto mode = fault.value("mode", "up");
        if (mode == "down")
            return reply(503, { { "error", "outage" } });
        if (mode == "slow")
            std::this_thread::sleep_for(Milliseconds(fault.value("delay_ms", 1000)));
        auto response = handler();
        bool matches = request.path.find(fault.value("path", "")) != std::string::npos;
        if (mode == "lose_write_answers" && kind == "write" && matches && consumeLostResponse())
            return reply(500, { { "error", "the answer was lost" } });
        return response;
    }

    bool overRateLocked(const std::string& kind)
    {
        auto now = steadyNow();
        auto& recent = m_recent[kind];
        while (!recent.empty() && now - recent.front() > Milliseconds(1000))
            recent.pop_front();
        recent.push_back(now);
        return static_cast<long>(recent.size()) > (kind == "write" ? m_writeRate : m_readRate);
    }

    bool consumeLostResponse()
    {
        std::lock_guard lock(m_mutex);
        auto remaining = m_fault.value("count", 1);
        if (remaining <= 0)
            return false;
        m_fault["count"] = remaining - 1;
        return true;
    }

    static Json toJson(const std::string& key, const Object& object)
    {
        Json document { { "key", key }, { "version", object.version } };
        if (object.removed)
            document["removed"] = true;
        else
            document["value"] = object.value;
        return document;
    }

    HttpResponse get(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        auto it = m_objects.find(key);
        if (it == m_objects.end() || it->second.removed)
            return reply(404, { { "error", "no such key" } });
        return reply(200, toJson(key, it->second));
    }

    // Checks the If-None-Match or If-Match field of a request. `object` is nullptr if the object does not exist.
    static bool conditionHolds(const HttpRequest& request, const Object* object)
    {
        if (!request.header("if-none-match").empty())
            return !object;
        return object && request.header("if-match") == std::to_string(object->version);
    }

    HttpResponse put(const HttpRequest& request)
    {
        static constexpr std::size_t maximumValueBytes = 1U << 20U;
        auto value = Json::parse(request.body, nullptr, false);
        if (value.is_discarded() || request.body.size() > maximumValueBytes)
            return reply(400, { { "error", "not JSON, or over 1 MB" } });
        std::lock_guard lock(m_mutex);
        const auto& key = request.captures[0];
        auto it = m_objects.find(key);
        const auto* current = it == m_objects.end() || it->second.removed ? nullptr : &it->second;
        if (!conditionHolds(request, current))
            return reply(412, { { "error", "the condition does not hold" } });
        m_objects[key] = { .version = ++m_revision, .value = value };
        m_changed.notify_all();
        return reply(200, { { "version", m_revision } });
    }

    HttpResponse remove(const HttpRequest& request)
    {
        std::lock_guard lock(m_mutex);
        auto it = m_objects.find(request.captures[0]);
        const auto* current = it == m_objects.end() || it->second.removed ? nullptr : &it->second;
        if (!conditionHolds(request, current))
            return reply(412, { { "error", "the condition does not hold" } });
        it->second = { .version = ++m_revision, .value = {}, .removed = true };
        m_changed.notify_all();
        return reply(200, { { "version", m_revision } });
    }

    HttpResponse list(const HttpRequest& request)
    {
        static constexpr std::size_t pageSize = 500;
        std::lock_guard lock(m_mutex);
        auto prefix = request.queryValue("prefix");
        auto after = request.queryValue("after");
        Json objects = Json::array();
        for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (it->first > after && !it->second.removed && objects.size() < pageSize)
                objects.push_back(toJson(it->first, it->second));
        }
        return reply(200, { { "objects", objects }, { "revision", m_revision } });
    }

    Json eventsAfterLocked(const std::string& prefix, std::uint64_t revision) const
    {
        Json events = Json::array();
        for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.rfind(prefix, 0) == 0; ++it) {
            if (it->second.version > revision)
                events.push_back(toJson(it->first, it->second));
        }
        return events;
    }

    HttpResponse watch(const HttpRequest& request)
    {
        auto prefix = request.queryValue("prefix");
        auto revision = std::strtoull(request.queryValue("revision").c_str(), nullptr, 10);
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, Milliseconds(queryNumber(request, "wait_ms", 0)), [&] { return !eventsAfterLocked(prefix, revision).empty() || m_fault.value("mode", "up") == "down"; });
        if (m_fault.value("mode", "up") == "down")
            return reply(503, { { "error", "outage" } });
        return reply(200, { { "objects", eventsAfterLocked(prefix, revision) }, { "revision", m_revision } });
    }

    HttpResponse control(const Json& fault)
    {
        std::lock_guard lock(m_mutex);
        m_fault = fault;
        m_changed.notify_all();
        return reply(200, { { "mode", fault.value("mode", "up") } });
    }

    HttpResponse counts()
    {
        std::lock_guard lock(m_mutex);
        return reply(200, m_calls);
    }

    long m_writeRate;
    long m_readRate;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Object> m_objects;
    std::uint64_t m_revision { 0 };
    Json m_fault = Json::object();
    std::map<std::string, long> m_calls;
    std::map<std::string, std::deque<SteadyTime>> m_recent;
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 256 });
    ObjectApi api(std::stol(arguments.text("--writes")), std::stol(arguments.text("--reads")));
    api.addRoutes(server);
    return serve(server, signal);
}
