// Stand-in for the platform's metadata store: objects by kind and name, with revisions, conditional writes and watches.
#pragma once

#include "review/common/http.h"
#include <condition_variable>
#include <nlohmann/json.hpp>

namespace Review {

using Json = nlohmann::json;

class Store {
public:
    explicit Store(Record& record)
        : m_record(record)
        , m_server([this](Connection& connection) { serve(connection); })
    {
    }

    ~Store()
    {
        {
            std::lock_guard lock(m_mutex);
            m_isStopped = true;
            m_changed.notify_all();
        }
        m_server.stop();
    }

    std::string address() const { return m_server.address(); }

    // Writes an object as the operator, a server or another writer does. `spec` is the JSON text that the writer sent; the store hands it
    // out as it was written.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        std::lock_guard lock(m_mutex);
        write(kind, name, spec);
        m_record.line("store took " + kind + "/" + name + " " + spec);
    }

    void remove(const std::string& kind, const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        auto& object = m_kinds[kind][name];
        object.revision = ++m_revision;
        object.isDeleted = true;
        m_changed.notify_all();
        m_record.line("store removed " + kind + "/" + name);
    }

private:
    struct Object {
        std::uint64_t revision { 0 };
        std::uint64_t createdRevision { 0 };
        std::string spec { "null" };
        std::string status { "null" };
        bool isDeleted { false };
    };

    struct Reply {
        int status { 200 };
        std::string body { "{}" };
    };

    void write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        auto& object = m_kinds[kind][name];
        object.revision = ++m_revision;
        if (object.isDeleted || object.createdRevision == 0)
            object.createdRevision = object.revision;
        object.isDeleted = false;
        object.spec = spec;
        m_changed.notify_all();
    }

    static std::string encode(const std::string& name, const Object& object)
    {
        Json metadata { { "name", name }, { "revision", object.revision }, { "createdRev", object.createdRevision }, { "finalizers", Json::array() }, { "deletionPending", false } };
        return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + object.spec + R"(,"status":)" + object.status + "}";
    }

    static std::string valueOf(const std::string& query, const std::string& name)
    {
        auto at = query.find(name + "=");
        if (at == std::string::npos)
            return {};
        auto begin = at + name.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }

    void serve(Connection& connection)
    {
        while (true) {
            auto request = connection.read(Milliseconds(60000));
            if (!request.isWhole)
                return;
            auto reply = answer(request);
            auto head = "HTTP/1.1 " + std::to_string(reply.status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(reply.body.size()) + "\r\n\r\n";
            if (!connection.write(head + reply.body))
                return;
        }
    }

    Reply answer(const Message& request)
    {
        auto target = request.target();
        auto question = target.find('?');
        auto query = question == std::string::npos ? std::string() : target.substr(question + 1);
        auto path = target.substr(0, question);
        constexpr std::string_view prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0)
            return { .status = 404 };
        path.erase(0, prefix.size());
        auto slash = path.find('/');
        auto kind = path.substr(0, slash);
        auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && name.empty())
            return valueOf(query, "watch").empty() ? list(kind) : watch(lock, kind, query);
        if (request.method() == "GET")
            return get(kind, name);
        auto body = Json::parse(request.body, nullptr, false);
        if (body.is_discarded() || !body.is_object())
            return { .status = 400 };
        if (request.method() == "POST")
            return create(kind, body);
        if (request.method() == "PUT")
            return replace(kind, name, body);
        return { .status = 405 };
    }

    Reply list(const std::string& kind)
    {
        std::string entries;
        for (const auto& [name, object] : m_kinds[kind]) {
            if (!object.isDeleted)
                entries += (entries.empty() ? "" : ",") + encode(name, object);
        }
        return { .body = R"({"entries":[)" + entries + R"(],"hasMore":false,"modRev":)" + std::to_string(m_revision) + "}" };
    }

    Reply watch(std::unique_lock<std::mutex>& lock, const std::string& kind, const std::string& query)
    {
        auto after = std::stoull(valueOf(query, "watch"));
        auto wait = Milliseconds(std::stol(valueOf(query, "waitMs")));
        std::string events;
        auto collect = [&] {
            for (const auto& [name, object] : m_kinds[kind]) {
                if (object.revision > after)
                    events += (events.empty() ? "" : ",") + (R"({"object":)" + encode(name, object) + R"(,"deleted":)" + (object.isDeleted ? "true" : "false") + "}");
            }
            return m_isStopped || !events.empty();
        };
        m_changed.wait_for(lock, wait, collect);
        return { .body = R"({"events":[)" + events + R"(],"modRev":)" + std::to_string(m_revision) + "}" };
    }

    Reply get(const std::string& kind, const std::string& name)
    {
        auto it = m_kinds[kind].find(name);
        if (it == m_kinds[kind].end() || it->second.isDeleted)
            return { .status = 404 };
        return { .body = encode(name, it->second) };
    }

    Reply create(const std::string& kind, const Json& body)
    {
        auto name = body["metadata"]["name"].get<std::string>();
        auto& object = m_kinds[kind][name];
        if (object.revision != 0 && !object.isDeleted)
            return { .status = 409, .body = encode(name, object) };
        write(kind, name, body["spec"].dump());
        return { .body = encode(name, object) };
    }

    Reply replace(const std::string& kind, const std::string& path, const Json& body)
    {
        auto slash = path.find('/');
        auto name = path.substr(0, slash);
        auto it = m_kinds[kind].find(name);
        if (it == m_kinds[kind].end() || it->second.isDeleted)
            return { .status = 404 };
        const auto& metadata = body["metadata"];
        if (metadata.contains("revision") && metadata["revision"] != it->second.revision)
            return { .status = 409, .body = encode(name, it->second) };
        if (slash == std::string::npos) {
            write(kind, name, body["spec"].dump());
        } else {
            it->second.status = body["status"].dump();
            it->second.revision = ++m_revision;
            m_changed.notify_all();
        }
        return { .body = encode(name, it->second) };
    }

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_kinds {};
    std::uint64_t m_revision { 1 };
    bool m_isStopped { false };
    Server m_server; // The last member: it serves as soon as it exists.
};

} // namespace Review
