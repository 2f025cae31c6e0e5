// Fake platform for tests of onyxnotch-entry: an object store with revisions and watches, and the cloud API, which records its calls.
#pragma once

#include "core/clock.h"
#include "core/net/http_server.h"
#include "core/net/http_status.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace Onyxnotch::Fakes {

// A recorded call to the cloud API.
struct CloudCall {
    std::string path {};
    std::string holder {};
    std::uint64_t fence { 0 };
    nlohmann::json body {};
};

class FakePlatform {
public:
    using Json = nlohmann::json;

    // `threads` limits the connections that are served at the same time.
    explicit FakePlatform(unsigned threads = 64)
        : m_server({ .threads = threads })
    {
        m_server.route("GET", "/objects/([^/]+)", [this](const HttpRequest& it) { return handleStoreCall([&] { return it.queryValue("watch").empty() ? list(it) : watch(it); }); });
        m_server.route("GET", "/objects/([^/]+)/([^/]+)", [this](const HttpRequest& it) { return handleStoreCall([&] { return get(it); }); });
        m_server.route("POST", "/objects/([^/]+)", [this](const HttpRequest& it) { return handleStoreCall([&] { return create(it); }); });
        m_server.route("PUT", "/objects/([^/]+)/([^/]+)", [this](const HttpRequest& it) { return handleStoreCall([&] { return replace(it); }); });
        m_server.route("PUT", "/objects/([^/]+)/([^/]+)/status", [this](const HttpRequest& it) { return handleStoreCall([&] { return recordStatus(it); }); });
        m_server.route("POST", "/(usage|scale)", [this](const HttpRequest& it) { return recordCloudCall(it); });
        (void)m_server.start();
    }

    ~FakePlatform()
    {
        setDown(true);
        m_server.stop();
    }

    Address address() const { return m_server.address(); }

    void put(const std::string& kind, const std::string& name, const Json& spec)
    {
        std::lock_guard lock(m_mutex);
        writeObject(kind, name, spec);
    }

    // As put(), with a spec that may not be valid JSON, as another writer of the store may leave one.
    void putText(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(m_mutex);
        writeObject(kind, name, "text of " + name);
        m_specTexts["\"text of " + name + "\""] = spec;
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        auto& object = m_kinds[kind][name];
        object.revision = ++m_revision;
        object.deleted = true;
        m_changed.notify_all();
    }

    // The recorded status of an object; null if there is none.
    Json status(const std::string& kind, const std::string& name) const
    {
        std::lock_guard lock(m_mutex);
        auto objects = m_kinds.find(kind);
        if (objects == m_kinds.end() || !objects->second.contains(name))
            return {};
        return objects->second.at(name).status;
    }

    // Simulates an outage: all calls to the store are refused, and pending watches end.
    void setDown(bool down)
    {
        std::lock_guard lock(m_mutex);
        m_down = down;
        m_changed.notify_all();
    }

    // While held, calls to the store block without a response.
    void setHeld(bool held)
    {
        std::lock_guard lock(m_mutex);
        m_held = held;
        m_changed.notify_all();
    }

    // Times of all calls to the store, including refused ones.
    std::vector<SteadyTime> storeCalls() const
    {
        std::lock_guard lock(m_mutex);
        return m_storeCalls;
    }

    std::vector<CloudCall> cloudCalls(const std::string& path) const
    {
        std::lock_guard lock(m_mutex);
        std::vector<CloudCall> calls;
        std::copy_if(m_cloudCalls.begin(), m_cloudCalls.end(), std::back_inserter(calls), [&](const auto& it) { return it.path == path; });
        return calls;
    }

private:
    struct Object {
        std::uint64_t revision { 0 };
        Json spec {};
        Json status {};
        bool deleted { false };
    };

    HttpResponse reply(int status, const Json& body) const
    {
        auto text = body.dump();
        for (const auto& [placeholder, spec] : m_specTexts) {
            if (auto at = text.find(placeholder); at != std::string::npos)
                text.replace(at, placeholder.size(), spec);
        }
        return { .status = status, .body = text };
    }

    HttpResponse handleStoreCall(const std::function<HttpResponse()>& handler)
    {
        std::unique_lock lock(m_mutex);
        m_storeCalls.push_back(steadyNow());
        m_changed.wait(lock, [this] { return !m_held || m_down; });
        if (m_down)
            return reply(HttpStatus::serviceUnavailable, Json::object());
        lock.unlock();
        return handler();
    }

    static Json encode(const std::string& name, const Object& object)
    {
        return { { "metadata", { { "name", name }, { "revision", object.revision }, { "finalizers", Json::array() }, { "deletionPending", false } } }, { "spec", object.spec }, { "status", object.status } };
    }

    void writeObject(const std::string& kind, const std::string& name, const Json& spec)
    {
        auto& object = m_kinds[kind][name];
        object = { .revision = ++m_revision, .spec = spec, .status = object.deleted ? Json() : object.status };
        m_changed.notify_all();
    }

    HttpResponse list(const HttpRequest& request)
    {
        std::lock_guard lock(m_mutex);
        Json entries = Json::array();
        for (const auto& [name, object] : m_kinds[request.captures[0]]) {
            if (!object.deleted)
                entries.push_back(encode(name, object));
        }
        return reply(HttpStatus::ok, { { "entries", entries }, { "hasMore", false }, { "modRev", m_revision } });
    }

    HttpResponse watch(const HttpRequest& request)
    {
        auto afterRevision = std::stoull(request.queryValue("watch"));
        auto deadline = steadyNow() + Milliseconds(std::stol(request.queryValue("waitMs")));
        std::unique_lock lock(m_mutex);
        Json events = Json::array();
        auto collect = [&] {
            for (const auto& [name, object] : m_kinds[request.captures[0]]) {
                if (object.revision > afterRevision)
                    events.push_back({ { "object", encode(name, object) }, { "deleted", object.deleted } });
            }
            return m_down || !events.empty();
        };
        m_changed.wait_until(lock, deadline, collect);
        if (m_down)
            return reply(HttpStatus::serviceUnavailable, Json::object());
        return reply(HttpStatus::ok, { { "events", events }, { "modRev", m_revision } });
    }

    HttpResponse get(const HttpRequest& request)
    {
        std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[request.captures[0]];
        auto it = objects.find(request.captures[1]);
        if (it == objects.end() || it->second.deleted)
            return reply(HttpStatus::notFound, Json::object());
        return reply(HttpStatus::ok, encode(it->first, it->second));
    }

    HttpResponse create(const HttpRequest& request)
    {
        auto body = Json::parse(request.body);
        auto name = body["metadata"]["name"].get<std::string>();
        std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[request.captures[0]];
        if (objects.contains(name) && !objects[name].deleted)
            return reply(HttpStatus::conflict, encode(name, objects[name]));
        writeObject(request.captures[0], name, body["spec"]);
        return reply(HttpStatus::ok, encode(name, objects[name]));
    }

    HttpResponse replace(const HttpRequest& request)
    {
        auto body = Json::parse(request.body);
        std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[request.captures[0]];
        const auto& name = request.captures[1];
        if (!objects.contains(name))
            return reply(HttpStatus::notFound, Json::object());
        if (body["metadata"].contains("revision") && body["metadata"]["revision"] != objects[name].revision)
            return reply(HttpStatus::conflict, encode(name, objects[name]));
        writeObject(request.captures[0], name, body["spec"]);
        return reply(HttpStatus::ok, encode(name, objects[name]));
    }

    HttpResponse recordStatus(const HttpRequest& request)
    {
        auto body = Json::parse(request.body);
        std::lock_guard lock(m_mutex);
        auto& objects = m_kinds[request.captures[0]];
        auto it = objects.find(request.captures[1]);
        if (it == objects.end() || it->second.deleted)
            return reply(HttpStatus::notFound, Json::object());
        if (body["metadata"].contains("revision") && body["metadata"]["revision"] != it->second.revision)
            return reply(HttpStatus::conflict, encode(it->first, it->second));
        it->second.status = body["status"];
        it->second.revision = ++m_revision;
        m_changed.notify_all();
        return reply(HttpStatus::ok, encode(it->first, it->second));
    }

    HttpResponse recordCloudCall(const HttpRequest& request)
    {
        std::lock_guard lock(m_mutex);
        m_cloudCalls.push_back({
            .path = request.path,
            .holder = request.header("duty-holder"),
            .fence = std::stoull("0" + request.header("fencing-token")),
            .body = Json::parse(request.body),
        });
        return reply(HttpStatus::ok, Json::object());
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed {};
    std::uint64_t m_revision { 1 };
    std::map<std::string, std::map<std::string, Object>> m_kinds {};
    std::map<std::string, std::string> m_specTexts {}; // Specs set by putText(), by the placeholder that stands for them.
    std::vector<CloudCall> m_cloudCalls {};
    std::vector<SteadyTime> m_storeCalls {};
    bool m_down { false };
    bool m_held { false };
    HttpServer m_server;
};

} // namespace Onyxnotch::Fakes
