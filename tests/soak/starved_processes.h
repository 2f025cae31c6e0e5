// Lets processes run for a short part of each period only, each at a phase of its own, as a scarce processor does.
#pragma once

#include "core/clock.h"
#include <atomic>
#include <csignal>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Onyxnotch::Tests {

struct StarvationOptions {
    Milliseconds period { 500 };
    Milliseconds runTime { 50 }; // In each period.
};

class StarvedProcesses {
public:
    StarvedProcesses(std::vector<pid_t> processes, const StarvationOptions& options)
        : m_processes(std::move(processes))
        , m_options(options)
        , m_thread([this] { run(); })
    {
    }

    // Lets all processes run again.
    ~StarvedProcesses()
    {
        m_isStopped = true;
        m_thread.join();
        for (auto it : m_processes)
            ::kill(it, SIGCONT);
    }

    StarvedProcesses(const StarvedProcesses&) = delete;
    StarvedProcesses& operator=(const StarvedProcesses&) = delete;

private:
    bool isRunning(std::size_t process, SteadyTime now) const
    {
        auto phase = m_options.period * static_cast<int>(process) / static_cast<int>(m_processes.size());
        return (toMilliseconds(now.time_since_epoch()) + phase) % m_options.period < m_options.runTime;
    }

    void run()
    {
        constexpr Milliseconds step { 5 };
        std::vector<bool> wereRunning(m_processes.size(), true);
        while (!m_isStopped) {
            for (std::size_t n = 0; n < m_processes.size(); ++n) {
                bool runs = isRunning(n, steadyNow());
                if (runs != wereRunning[n])
                    ::kill(m_processes[n], runs ? SIGCONT : SIGSTOP);
                wereRunning[n] = runs;
            }
            std::this_thread::sleep_for(step);
        }
    }

    std::vector<pid_t> m_processes;
    StarvationOptions m_options;
    std::atomic<bool> m_isStopped { false };
    std::thread m_thread;
};

} // namespace Onyxnotch::Tests
