// Writes record.txt: what was sent, answered and run, one line each, with the milliseconds since the start. Thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <mutex>
#include <string>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path, std::ios::trunc)
    {
    }

    bool isOpen() const { return m_file.is_open(); }
    std::int64_t now() const { return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count(); }

    void line(const std::string& text)
    {
        std::lock_guard lock(m_mutex);
        m_file << now() << " ms  " << text << std::endl;
    }

private:
    Clock::time_point m_start { Clock::now() };
    std::mutex m_mutex;
    std::ofstream m_file;
};

// The exit codes of a case.
enum class Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

inline int finish(Record& record, Verdict verdict, const std::string& reason)
{
    const char* name = verdict == Verdict::Held ? "HELD" : (verdict == Verdict::Broken ? "BROKEN" : "COULD NOT RUN");
    record.line(std::string(name) + ": " + reason);
    std::cout << name << ": " << reason << std::endl;
    return static_cast<int>(verdict);
}

} // namespace Review
