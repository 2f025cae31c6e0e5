// A child process started by a test, with its output lines. It is killed when the object is destroyed or the test process ends.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Onyxnotch::Tests {

class Process {
public:
    // Starts `program` from the build folder. Standard output and standard error are collected in one list of lines.
    Process(const std::string& program, const std::vector<std::string>& arguments);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    // Stops the process with SIGSTOP and waits until all its threads have stopped, since sending the signal returns before that. Returns
    // false if they have not stopped within the default limit of waitUntil().
    bool freeze() const;
    void thaw() const;
    // Waits until the process ends. Returns its exit code, or 128 + signal number; empty if it has not ended within `limit`.
    std::optional<int> wait(Milliseconds limit);
    // Kills the process with SIGKILL and waits until it has ended.
    void kill();

    // Waits for an output line that satisfies the predicate, including lines already written. Empty if there is none within `limit`.
    std::optional<std::string> waitLine(const std::function<bool(const std::string&)>&, Milliseconds limit);
    // Waits for a log line with this event name.
    std::optional<std::string> waitEvent(const std::string& event, Milliseconds limit);
    std::vector<std::string> lines() const;
    bool finishedReading() const;
    // Waits for the first log line with "listening" and returns the address in its field `member`. Aborts the test if there is none.
    Address listening(const std::string& member = "listening");

    const std::string& name() const { return m_name; }

private:
    void read(int descriptor);

    std::string m_name {};
    pid_t m_pid { -1 };
    std::optional<int> m_exitCode {};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines {};
    bool m_finishedReading { false };
    std::thread m_reader;
};

// The build folder, which contains the programs.
std::string buildFolder();

// Result of runProgram().
struct RunResult {
    int exitCode { -1 };
    std::string output {};
};
// Runs a program until it ends. The exit code is -1 if it does not end within `limit`.
RunResult runProgram(const std::string& program, const std::vector<std::string>& arguments, Milliseconds limit = Milliseconds(30000));

// Polls `condition` until it is true. Returns false if it is not within `limit`.
bool waitUntil(const std::function<bool()>& condition, Milliseconds limit = Milliseconds(20000));

} // namespace Onyxnotch::Tests
