#include "tests/harness/process.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Onyxnotch::Tests {

namespace {

    constexpr Milliseconds pollInterval { 5 };
    constexpr Milliseconds startLimit { 20000 };

    // The state letter in /proc/PID/task/TID/stat follows the program name, which is enclosed in parentheses.
    bool isStopped(const std::filesystem::path& task)
    {
        std::ifstream file(task / "stat");
        std::string line;
        std::getline(file, line);
        auto end = line.rfind(')');
        return end != std::string::npos && line.size() > end + 2 && line[end + 2] == 'T';
    }

    bool allThreadsStopped(pid_t pid)
    {
        std::error_code ec;
        std::filesystem::directory_iterator tasks("/proc/" + std::to_string(pid) + "/task", ec);
        if (ec)
            return false;
        return std::all_of(begin(tasks), end(tasks), [](const auto& it) { return isStopped(it.path()); });
    }

    int exitCodeOf(int status) { return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status); }

} // namespace

std::string buildFolder()
{
    const char* folder = std::getenv("ONYXNOTCH_BUILD");
    return folder ? folder : ONYXNOTCH_BUILD_FOLDER;
}

Process::Process(const std::string& program, const std::vector<std::string>& arguments)
    : m_name(program)
{
    auto path = buildFolder() + "/" + (program.rfind("onyxnotch-fake", 0) == 0 ? "tests/" : "main/") + program;
    int descriptors[2];
    if (pipe2(descriptors, O_CLOEXEC) != 0)
        std::abort();
    std::vector<char*> argv { const_cast<char*>(path.c_str()) };
    for (const auto& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    m_pid = fork();
    if (m_pid == 0) {
        // Child processes must not survive if the test process itself is killed.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, nullptr);
        dup2(descriptors[1], STDOUT_FILENO);
        dup2(descriptors[1], STDERR_FILENO);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
    close(descriptors[1]);
    m_reader = std::thread([this, descriptor = descriptors[0]] { read(descriptor); });
}

Process::~Process()
{
    kill();
    m_reader.join();
}

void Process::read(int descriptor)
{
    static const bool echoLines = std::getenv("ONYXNOTCH_SHOW_LOGS") != nullptr;
    std::string pending;
    char buf[8192];
    while (true) {
        auto size = ::read(descriptor, buf, sizeof(buf));
        if (size <= 0)
            break;
        pending.append(buf, static_cast<std::size_t>(size));
        std::lock_guard lock(m_mutex);
        for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
            m_lines.push_back(pending.substr(0, end));
            if (echoLines)
                std::cerr << m_name << ": " << m_lines.back() << std::endl;
            pending.erase(0, end + 1);
        }
        m_changed.notify_all();
    }
    close(descriptor);
    std::lock_guard lock(m_mutex);
    m_finishedReading = true;
}

void Process::signal(int number) const
{
    if (m_pid > 0 && !m_exitCode)
        ::kill(m_pid, number);
}

bool Process::freeze() const
{
    signal(SIGSTOP);
    return waitUntil([this] { return allThreadsStopped(m_pid); });
}

void Process::thaw() const { signal(SIGCONT); }

std::optional<int> Process::wait(Milliseconds limit)
{
    waitUntil([this] {
        int status = 0;
        if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_exitCode = exitCodeOf(status);
        return m_exitCode.has_value();
    },
        limit);
    return m_exitCode;
}

void Process::kill()
{
    signal(SIGKILL);
    wait(startLimit);
}

std::optional<std::string> Process::waitLine(const std::function<bool(const std::string&)>& predicate, Milliseconds limit)
{
    auto deadline = steadyNow() + limit;
    std::unique_lock lock(m_mutex);
    std::size_t next = 0;
    while (true) {
        for (; next < m_lines.size(); ++next) {
            if (predicate(m_lines[next]))
                return m_lines[next];
        }
        if (m_changed.wait_until(lock, deadline) == std::cv_status::timeout && next == m_lines.size())
            return std::nullopt;
    }
}

std::optional<std::string> Process::waitEvent(const std::string& event, Milliseconds limit)
{
    auto pattern = R"("event":")" + event + R"(")";
    return waitLine([&](const std::string& line) { return line.find(pattern) != std::string::npos; }, limit);
}

std::vector<std::string> Process::lines() const
{
    std::lock_guard lock(m_mutex);
    return m_lines;
}

bool Process::finishedReading() const
{
    std::lock_guard lock(m_mutex);
    return m_finishedReading;
}

Address Process::listening(const std::string& member)
{
    auto line = waitLine([&](const std::string& it) { return it.find("\"listening\"") != std::string::npos; }, startLimit);
    auto document = nlohmann::json::parse(line.value_or("{}"), nullptr, false);
    auto address = parseAddress(document.is_object() ? document.value(member, "") : "");
    if (!address) {
        std::cerr << m_name << " did not start" << std::endl;
        for (const auto& it : lines())
            std::cerr << it << std::endl;
        std::abort();
    }
    return address.value();
}

RunResult runProgram(const std::string& program, const std::vector<std::string>& arguments, Milliseconds limit)
{
    RunResult result;
    {
        Process process(program, arguments);
        result.exitCode = process.wait(limit).value_or(-1);
        // Wait until all output has been read.
        waitUntil([&] { return process.finishedReading(); });
        for (const auto& it : process.lines())
            result.output += it + "\n";
    }
    return result;
}

bool waitUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    auto deadline = steadyNow() + limit;
    while (!condition()) {
        if (steadyNow() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Onyxnotch::Tests
