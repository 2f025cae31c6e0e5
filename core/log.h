// Structured logs: one JSON object a line, written by Boost.Log to standard error, or buffered to standard output.
#pragma once

#include "core/clock.h"
#include <initializer_list>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace Onyxnotch {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Attributes that stand in every line of a process.
struct LogOptions {
    std::string component {}; // "gateway", "controller", "cli".
    std::string instance {};
    std::string zone {};
    LogLevel minimumLevel { LogLevel::Info };
    // Lines wait in a bounded buffer for flushLog() and go to standard output. No thread ever waits for a reader that is slow: lines
    // beyond the buffer are dropped, counted, and the count is told in the log.
    bool buffered { false };
};

// One named value of a line. Numbers stay numbers.
struct LogField {
    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, const char* text);
    LogField(std::string_view fieldName, const std::string& text);
    LogField(std::string_view fieldName, long long number);
    LogField(std::string_view fieldName, unsigned long long number);
    LogField(std::string_view fieldName, int number);
    LogField(std::string_view fieldName, unsigned number);
    LogField(std::string_view fieldName, long number);
    LogField(std::string_view fieldName, unsigned long number);
    LogField(std::string_view fieldName, double number);

    std::string name {};
    std::string encodedValue {}; // JSON text.
};

// Must run before the first line; lines before it are dropped.
void startLog(const LogOptions&);

// `event` is a stable name in snake_case; docs/operators/log_events.md lists each one.
// Request ids go in the field "request_id".
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Writes what a buffered log holds, as far as standard output takes it without waiting. Call it some times a second, and at the end.
void flushLog();

// How many lines of a kind may be written in a second; the others are counted. Not thread safe.
class LogRateLimiter {
public:
    explicit LogRateLimiter(double linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
        , m_lines(linesPerSecond)
    {
    }

    // False where the line should be left out.
    bool take(SteadyTime now);
    // Lines that were left out since the last call.
    unsigned long takeSuppressedCount();

private:
    double m_linesPerSecond;
    double m_lines;
    SteadyTime m_updatedAt {};
    unsigned long m_leftOut { 0 };
};

// Takes effect at once, on all threads.
void setMinimumLogLevel(LogLevel);

// Sets from the text "debug", "info", "warning" or "error"; anything else is Info.
LogLevel parseLogLevel(std::string_view);

} // namespace Onyxnotch
