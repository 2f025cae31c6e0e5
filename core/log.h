// Structured logging: one JSON object per line, written to standard error by Boost.Log, or buffered and written to standard output.
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

// Logging options of the process. Component, instance and zone are included in every line.
struct LogOptions {
    std::string component {}; // "gateway", "controller", "cli".
    std::string instance {};
    std::string zone {};
    LogLevel minimumLevel { LogLevel::Info };
    // Lines are collected in a bounded buffer that flushLog() writes to standard output. Logging never blocks on a slow reader: lines that
    // do not fit into the buffer are dropped, and their number is logged as an event "log_lines_dropped".
    bool buffered { false };
};

// A named value in a log line. Numbers are written as JSON numbers, everything else as strings.
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

// Initializes logging. Events logged before this call are dropped.
void startLog(const LogOptions&);

// Logs an event. `event` is a stable name in snake_case; docs/operators/log_events.md lists all of them. Request ids go into the field
// "request_id".
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Writes buffered lines to standard output as far as possible without blocking. Does nothing if the log is not buffered. Must be called
// several times per second, and before the process exits.
void flushLog();

// Rate limiter for one kind of log line; counts the lines that were suppressed. Not thread-safe.
class LogRateLimiter {
public:
    explicit LogRateLimiter(double linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
        , m_availableLines(linesPerSecond)
    {
    }

    // Consumes budget for one line. Returns false if the line should be suppressed.
    bool take(SteadyTime now);
    // Returns the number of lines suppressed since the last call, and resets it.
    unsigned long takeSuppressedCount();

private:
    double m_linesPerSecond;
    double m_availableLines;
    SteadyTime m_updatedAt {};
    unsigned long m_suppressed { 0 };
};

// Takes effect immediately on all threads.
void setMinimumLogLevel(LogLevel);

// Parses "debug", "info", "warning" or "error"; any other text yields Info.
LogLevel parseLogLevel(std::string_view);

} // namespace Onyxnotch
