// A machine of the system: one entry process, started with the command of the deploy file, and its settings.
#pragma once

#include "connection.h"
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

namespace Review {

struct MachineOptions {
    std::string name {};
    std::string zone { "z1" };
    std::string host {}; // Loopback address of the machine.
    std::uint16_t gossipPort { 0 };
    Address platform {};
    std::vector<Address> seeds {};
};

class Machine {
public:
    Machine(const std::filesystem::path& folder, const MachineOptions& options)
        : m_callers { .host = options.host, .port = freePort(options.host) }
        , m_readiness { .host = options.host, .port = freePort(options.host) }
        , m_control { .host = options.host, .port = freePort(options.host) }
    {
        // The values of a small installation.
        nlohmann::json settings {
            { "instance", options.name },
            { "zone", options.zone },
            { "limits", { { "processorCores", 0.25 }, { "memoryMegabytes", 260 }, { "descriptors", 4100 } } },
            { "retries", { { "reserve", 58 }, { "windowSeconds", 10 }, { "perRequest", 0.2 } } },
            { "teamLimits", { { "overshoot", 0.1 }, { "slackTokens", 190000 }, { "windowSeconds", 8 } } },
            { "graceSeconds", 8 },
            { "leaseMs", 3000 },
            { "usageDueSeconds", 10 },
            { "usageWindowSeconds", 5 },
            { "cloud", options.platform.text() },
            { "duties", { "metering", "autoscale" } },
            { "seeds", nlohmann::json::array() },
            { "gossipPort", options.gossipPort },
            { "store", options.platform.text() },
            { "listen", { { "callers", m_callers.text() }, { "readiness", m_readiness.text() }, { "control", m_control.text() } } },
        };
        for (const auto& it : options.seeds)
            settings["seeds"].push_back(it.text());
        auto path = (folder / (options.host + ".json")).string();
        std::ofstream(path) << settings.dump(2);
        start(path, (folder / (options.host + ".log")).string());
    }

    ~Machine() { kill(); }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    const Address& callers() const { return m_callers; }
    const Address& control() const { return m_control; }
    void signal(int number) const { ::kill(m_pid, number); }
    bool isRunning() { return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0; }

    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }

    long peakMemoryKilobytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("VmHWM:", 0) == 0)
                return std::atol(line.c_str() + 6);
        }
        return 0;
    }

    // Asks the machine whether it is ready, as the platform does.
    bool isReady() const
    {
        auto connection = Connection::open(m_readiness);
        if (!connection || !connection->send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
            return false;
        auto answer = connection->read(true, Milliseconds(1000));
        return answer && answer->status() == 200;
    }

    void waitReady() const
    {
        auto until = Clock::now() + Milliseconds(15000);
        while (!isReady()) {
            if (Clock::now() > until)
                abandon("a machine is not ready");
            std::this_thread::sleep_for(Milliseconds(50));
        }
    }

private:
    void start(const std::string& settings, const std::string& log)
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("ONYXNOTCH_NODE_FILE", settings.c_str(), 1);
        int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execl("target/main/onyxnotch-entry", "target/main/onyxnotch-entry", "--settings-from", "ONYXNOTCH_NODE_FILE", nullptr);
        ::_exit(127);
    }

    Address m_callers;
    Address m_readiness;
    Address m_control;
    pid_t m_pid { -1 };
};

} // namespace Review
