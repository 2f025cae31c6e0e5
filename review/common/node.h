// Starts entry nodes as the deploy file does, with the settings of a small deployment.
#pragma once

#include "review/common/http.h"
#include <csignal>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Review {

using Json = nlohmann::json;

struct NodeOptions {
    std::string name { "edge-kushiro-hall-1" };
    std::string store {};
    std::string cloud {}; // Empty: no duties.
};

// One process of onyxnotch-entry, killed by the destructor.
class Node {
public:
    // `folder` holds the settings file and the log of the process.
    Node(const std::string& folder, const std::string& label, const NodeOptions& options)
        : m_settingsPath(folder + "/" + label + ".json")
        , m_logPath(folder + "/" + label + ".log")
    {
        std::ofstream(m_settingsPath) << settings(options).dump(2);
        ::unlink(m_logPath.c_str()); // The log of an earlier process names other ports.
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = ::open(m_logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("ONYXNOTCH_NODE_FILE", m_settingsPath.c_str(), 1);
        ::execl("target/main/onyxnotch-entry", "onyxnotch-entry", "--settings-from", "ONYXNOTCH_NODE_FILE", nullptr);
        ::_exit(127);
    }

    ~Node() { kill(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Waits until the node has said where it listens and reports that it is ready.
    bool waitReady(Milliseconds limit)
    {
        auto deadline = Clock::now() + limit;
        while (Clock::now() < deadline) {
            if (m_port == 0)
                readAddresses();
            if (m_port != 0 && isReady())
                return true;
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return false;
    }

    bool isReady() const
    {
        auto connection = Connection::open("127.0.0.1", m_readinessPort);
        return connection && connection->write("GET /readyz HTTP/1.1\r\nHost: node\r\n\r\n") && connection->read(Milliseconds(500)).status() == 200;
    }

    bool isRunning()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_exitStatus, WNOHANG) == m_pid)
            m_pid = 0;
        return m_pid > 0;
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, &m_exitStatus, 0);
        m_pid = -1;
    }

    // Port for callers.
    std::uint16_t port() const { return m_port; }

private:
    // The settings that the template of the deploy file gives for the smallest published site; port 0 takes a free port.
    static Json settings(const NodeOptions& options)
    {
        Json document {
            { "instance", options.name }, { "zone", "kushiro-hall" }, { "gossipPort", 0 }, { "seeds", Json::array() }, { "store", options.store },
            { "limits", { { "processorCores", 0.25 }, { "memoryMegabytes", 260 }, { "descriptors", 4100 } } },
            { "retries", { { "reserve", 58 }, { "windowSeconds", 10 }, { "perRequest", 0.2 } } },
            { "teamLimits", { { "overshoot", 0.1 }, { "slackTokens", 190000 }, { "windowSeconds", 8 } } },
            { "graceSeconds", 8 }, { "leaseMs", 3000 }, { "usageDueSeconds", 10 }, { "usageWindowSeconds", 5 }, { "duties", Json::array() },
            { "listen", { { "callers", "127.0.0.1:0" }, { "readiness", "127.0.0.1:0" }, { "control", "127.0.0.1:0" } } }
        };
        if (!options.cloud.empty()) {
            document["cloud"] = options.cloud;
            document["duties"] = { "metering", "autoscale" };
        }
        return document;
    }

    void readAddresses()
    {
        std::ifstream log(m_logPath);
        std::string line;
        while (std::getline(log, line)) {
            auto event = Json::parse(line, nullptr, false);
            if (!event.is_object() || event.value("event", "") != "listening")
                continue;
            auto portOf = [&](const char* member) {
                auto address = event.value(member, std::string());
                return static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
            };
            m_readinessPort = portOf("readiness");
            m_port = portOf("callers");
        }
    }

    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid { 0 };
    int m_exitStatus { 0 };
    std::uint16_t m_port { 0 };
    std::uint16_t m_readinessPort { 0 };
};

} // namespace Review
