// Structured logs: one JSON object a line on standard error, written by Boost.Log.
#pragma once

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

    std::string name {};
    std::string encodedValue {}; // JSON text.
};

// Must run before the first line; lines before it are dropped.
void startLog(const LogOptions&);

// `event` is a stable name in snake_case; docs/operators/log_events.md lists each one.
// Request ids go in the field "request_id".
void logEvent(LogLevel, std::string_view event, std::initializer_list<LogField> fields = {});

// Sets from the text "debug", "info", "warning" or "error"; anything else is Info.
LogLevel parseLogLevel(std::string_view);

} // namespace Onyxnotch
