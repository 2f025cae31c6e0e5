// What the logs of all nodes say of one request, joined into one account: pure text in, text out. docs/OPERATIONS.md walks through it.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Onyxnotch {

// One line of a process's log.
struct LogLine {
    std::uint64_t milliseconds { 0 }; // Time of day on its node.
    std::string instance {};
    std::string event {};
    nlohmann::json fields {}; // The whole line.

    bool operator==(const LogLine&) const = default;
};

struct ParsedLog {
    std::vector<LogLine> lines {};
    std::size_t skipped { 0 }; // Lines that are no JSON objects with a time and an event.
};

// Adds the lines of a log file's text. What stands before the first brace of a line, such as a collector's own time, is passed over.
void parseLog(const std::string& text, ParsedLog& log);

struct AccountOptions {
    std::uint64_t contextMilliseconds { 10000 }; // How far around the request its endpoints and its node are looked at.
};

// In the order of time: what was known when the request came, its tries, its end, what became of its endpoints, and the cause in a
// sentence. Empty where no line names the request.
std::string requestAccount(const ParsedLog&, const std::string& requestId, const AccountOptions& options = {});

} // namespace Onyxnotch
