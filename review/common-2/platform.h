// Stand-in of the platform: the metadata store (objects with revisions, conditional writes, lists and watches) and the platform's API, which
// records its calls. Each machine has an address of its own here, so that calls are told apart by machine and not by the name they carry.
#pragma once

#include "connection.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace Review {

using Json = nlohmann::json;

struct DutyCall {
    std::string machine {};
    std::string path {};
    std::string holder {};
    std::uint64_t fence { 0 };
    Json body {};
    long at { 0 }; // In milliseconds since the platform's start.

    std::string subject() const { return path == "/usage" ? path : path + " " + body.value("service", "") + " " + body.value("zone", ""); }
};

class Platform {
public:
    // Opens an address for one machine.
    Address openFor(const std::string& machine)
    {
        Address address;
        int listener = listenOn(address);
        std::thread([this, listener, machine] { accept(listener, machine); }).detach();
        return address;
    }

    void put(const std::string& kind, const std::string& name, const Json& spec)
    {
        std::lock_guard lock(m_mutex);
        store(kind, name, spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        auto& object = m_objects[kind][name];
        object.isDeleted = true;
        object.revision = ++m_revision;
        m_changed.notify_all();
    }

    // Cuts the watches of one kind that wait now: their connections end without an answer.
    void cutWaitingWatches(const std::string& kind)
    {
        std::lock_guard lock(m_mutex);
        ++m_cuts[kind];
        m_changed.notify_all();
    }

    std::vector<DutyCall> dutyCalls() const
    {
        std::lock_guard lock(m_mutex);
        return m_dutyCalls;
    }

private:
    struct Object {
        std::uint64_t revision { 0 };
        std::uint64_t createdAt { 0 };
        Json spec {};
        Json status {};
        bool isDeleted { false };
    };

    static constexpr Milliseconds idleLimit { 120000 };
    static constexpr Milliseconds answerTime { 4 };
    static constexpr int cutWatch = 0; // In place of a status: the connection ends without an answer.

    void accept(int listener, const std::string& machine)
    {
        while (true) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd, machine] { serve(fd, machine); }).detach();
        }
    }

    void serve(int fd, const std::string& machine)
    {
        Connection connection(fd);
        while (auto request = connection.read(false, idleLimit)) {
            auto [status, body] = answer(*request, machine);
            if (status == cutWatch)
                return;
            auto text = body.dump();
            auto head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n";
            if (!connection.send(head + text))
                return;
        }
    }

    std::pair<int, Json> answer(const Message& request, const std::string& machine)
    {
        auto target = request.target();
        auto path = target.substr(0, target.find('?'));
        auto query = target.size() > path.size() ? target.substr(path.size() + 1) : "";
        constexpr std::string_view prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0)
            return recordDutyCall(request, path, machine);
        auto kind = path.substr(prefix.size());
        std::string name;
        if (auto slash = kind.find('/'); slash != std::string::npos) {
            name = kind.substr(slash + 1);
            kind.erase(slash);
        }
        auto body = request.body.empty() ? Json() : Json::parse(request.body);
        if (request.method() == "GET")
            return name.empty() ? (parameter(query, "watch").empty() ? list(kind) : watch(kind, query)) : get(kind, name);
        if (request.method() == "POST")
            return create(kind, body);
        bool isStatus = name.ends_with("/status");
        return replace(kind, isStatus ? name.substr(0, name.find('/')) : name, body, isStatus);
    }

    static std::string parameter(const std::string& query, const std::string& name)
    {
        auto at = ("&" + query).find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        auto begin = at + name.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }

    static Json encode(const std::string& name, const Object& object)
    {
        return { { "metadata", { { "name", name }, { "revision", object.revision }, { "createdRev", object.createdAt }, { "finalizers", Json::array() }, { "deletionPending", false } } },
            { "spec", object.spec }, { "status", object.status } };
    }

    Object* find(const std::string& kind, const std::string& name)
    {
        auto& objects = m_objects[kind];
        auto it = objects.find(name);
        return it == objects.end() || it->second.isDeleted ? nullptr : &it->second;
    }

    Object& store(const std::string& kind, const std::string& name, const Json& spec)
    {
        auto& object = m_objects[kind][name];
        if (object.revision > 0 && !object.isDeleted && object.spec == spec)
            return object;
        if (object.isDeleted || object.revision == 0)
            object = { .createdAt = m_revision + 1 };
        object.spec = spec;
        object.revision = ++m_revision;
        m_changed.notify_all();
        return object;
    }

    std::pair<int, Json> list(const std::string& kind)
    {
        std::lock_guard lock(m_mutex);
        auto entries = Json::array();
        for (const auto& [name, object] : m_objects[kind]) {
            if (!object.isDeleted)
                entries.push_back(encode(name, object));
        }
        return { 200, { { "entries", entries }, { "hasMore", false }, { "modRev", m_revision } } };
    }

    std::pair<int, Json> watch(const std::string& kind, const std::string& query)
    {
        auto after = std::stoull(parameter(query, "watch"));
        auto until = Clock::now() + Milliseconds(std::stol("0" + parameter(query, "waitMs")));
        std::unique_lock lock(m_mutex);
        auto cuts = m_cuts[kind];
        auto hasChanged = [&] { return std::any_of(m_objects[kind].begin(), m_objects[kind].end(), [&](const auto& it) { return it.second.revision > after; }); };
        m_changed.wait_until(lock, until, [&] { return m_cuts[kind] != cuts || hasChanged(); });
        if (m_cuts[kind] != cuts && !hasChanged())
            return { cutWatch, {} };
        // The changes of the next milliseconds are in the same answer.
        lock.unlock();
        std::this_thread::sleep_for(answerTime);
        lock.lock();
        auto events = Json::array();
        for (const auto& [name, object] : m_objects[kind]) {
            if (object.revision > after)
                events.push_back({ { "object", encode(name, object) }, { "deleted", object.isDeleted } });
        }
        return { 200, { { "events", events }, { "modRev", m_revision } } };
    }

    std::pair<int, Json> get(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        auto* object = find(kind, name);
        if (!object)
            return { 404, Json::object() };
        return { 200, encode(name, *object) };
    }

    std::pair<int, Json> create(const std::string& kind, const Json& body)
    {
        auto name = body["metadata"]["name"].get<std::string>();
        std::lock_guard lock(m_mutex);
        if (auto* object = find(kind, name))
            return { 409, encode(name, *object) };
        return { 200, encode(name, store(kind, name, body["spec"])) };
    }

    std::pair<int, Json> replace(const std::string& kind, const std::string& name, const Json& body, bool isStatus)
    {
        std::lock_guard lock(m_mutex);
        auto* object = find(kind, name);
        if (!object)
            return { 404, Json::object() };
        const auto& metadata = body["metadata"];
        if (metadata.contains("revision") && metadata["revision"] != object->revision)
            return { 409, encode(name, *object) };
        if (!isStatus)
            return { 200, encode(name, store(kind, name, body["spec"])) };
        object->status = body["status"];
        object->revision = ++m_revision;
        m_changed.notify_all();
        return { 200, encode(name, *object) };
    }

    std::pair<int, Json> recordDutyCall(const Message& request, const std::string& path, const std::string& machine)
    {
        std::lock_guard lock(m_mutex);
        m_dutyCalls.push_back({ .machine = machine, .path = path, .holder = request.value("duty-holder"), .fence = std::stoull("0" + request.value("fencing-token")), .body = Json::parse(request.body), .at = millisecondsSince(m_startedAt) });
        return { 200, Json::object() };
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed {};
    std::uint64_t m_revision { 1 };
    std::map<std::string, std::map<std::string, Object>> m_objects {};
    std::vector<DutyCall> m_dutyCalls {};
    Clock::time_point m_startedAt { Clock::now() };
    std::map<std::string, unsigned> m_cuts {}; // By kind, how often its waiting watches were cut.
};

} // namespace Review
