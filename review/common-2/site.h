// What the cases share: the configuration of a small site, clients that send requests, and the record of a run.
#pragma once

#include "machine.h"
#include "platform.h"
#include "server.h"
#include <atomic>

namespace Review {

// Whether the run has its disruption (the default), or is the same without it (TROUBLE=0).
inline bool hasTrouble()
{
    const char* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

// The times of a disruption that comes more than once: from `firstAt` on, `length` in each `period`.
class DisruptionTimes {
public:
    static constexpr Milliseconds firstAt { 2000 };
    static constexpr Milliseconds length { 5000 };
    static constexpr Milliseconds period { 10000 };

    // How much longer the disruption lasts that is in force now; 0 if none is, and always with TROUBLE=0.
    Milliseconds left() const
    {
        auto time = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt) - firstAt;
        if (!hasTrouble() || time.count() < 0 || time % period >= length)
            return Milliseconds(0);
        return length - time % period;
    }
    bool isInForce() const { return left().count() > 0; }

private:
    Clock::time_point m_startedAt { Clock::now() };
};

// A folder of the run, which is removed at its end.
class Folder {
public:
    Folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!::mkdtemp(pattern.data()))
            abandon("no temporary folder");
        m_path = pattern;
    }
    ~Folder() { remove(); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    const std::filesystem::path& path() const { return m_path; }
    void remove() const { std::filesystem::remove_all(m_path); }

private:
    std::filesystem::path m_path {};
};

// Ends the run: the machines are ended, and threads of the stand-ins end with this process, without destructors.
[[noreturn]] inline void finish(const Folder& folder, const std::vector<Machine*>& machines, bool isBroken)
{
    for (auto* it : machines)
        it->kill();
    folder.remove();
    std::_Exit(isBroken ? 1 : 0);
}

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
        if (!m_file)
            abandon("cannot write " + path);
    }

    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        m_file << millisecondsSince(m_startedAt) << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_startedAt { Clock::now() };
};

// "ran at" and the servers that ran the request.
inline std::string runText(const RunPlaces& places, const std::string& id)
{
    std::string text;
    auto [begin, end] = places.equal_range(id);
    for (auto it = begin; it != end; ++it)
        text += " " + it->second;
    return text.empty() ? "ran nowhere" : "ran at" + text;
}

constexpr auto clientHost = "site.example";
constexpr auto clientKey = "key-of-a";

inline nlohmann::json routeTo(const std::string& service, const std::string& name, const std::string& kind, int attempts)
{
    return { { "name", name }, { "host", clientHost }, { "pathPrefix", "/" + name + "/" }, { "routeKind", kind }, { "timeoutMs", 1500 }, { "goalMs", 300 }, { "priority", 1 },
        { "service", service }, { "maxAttempts", attempts }, { "public", false }, { "resumable", false } };
}

inline nlohmann::json configuration(const nlohmann::json& routes, const nlohmann::json& services)
{
    return { { "version", 7 }, { "routes", routes }, { "services", services },
        { "limits", { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", { { { "name", "a" }, { "apiKeys", { clientKey } }, { "priority", 1 }, { "ratePerS", 0 }, { "burst", 0 } } } } };
}

inline nlohmann::json serverEntry(const Server& server, const std::string& service, const std::string& zone, int slots)
{
    return { { "service", service }, { "address", server.address().text() }, { "zone", zone }, { "version", "v1" }, { "slots", slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 1 } };
}

// One client, which sends one request after the other on a kept connection, and does not retry.
class Client {
public:
    Client(Address machine, std::string name, Milliseconds deadline = Milliseconds(1500))
        : m_machine(std::move(machine))
        , m_name(std::move(name))
        , m_deadline(deadline)
    {
    }

    struct Outcome {
        std::string id {};
        int status { 0 }; // 0: the connection ended without a whole answer.
        std::string body {};
    };

    Outcome send(const std::string& method, const std::string& path, const std::string& body, Milliseconds patience = Milliseconds(3000))
    {
        Outcome outcome { .id = m_name + "-" + std::to_string(++m_sent) };
        if (!m_connection)
            m_connection = Connection::open(m_machine);
        auto head = method + " " + path + " HTTP/1.1\r\nHost: " + clientHost + "\r\nAttempt-Id: " + outcome.id + "\r\nDeadline-Ms: " + std::to_string(m_deadline.count()) + "\r\nCredential: " + clientKey + "\r\n";
        if (!body.empty())
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (!m_connection || !m_connection->send(head + "\r\n" + body)) {
            m_connection.reset();
            return outcome;
        }
        auto answer = m_connection->read(true, patience);
        if (answer && answer->isWhole) {
            outcome.status = answer->status();
            outcome.body = answer->body;
        }
        if (!answer || !answer->isWhole || strcasecmp(answer->value("connection").c_str(), "close") == 0)
            m_connection.reset();
        return outcome;
    }

private:
    Address m_machine;
    std::string m_name;
    Milliseconds m_deadline;
    std::unique_ptr<Connection> m_connection {};
    unsigned m_sent { 0 };
};

} // namespace Review
