// Extracts from the logs of all nodes everything that concerns one request, and formats it as a timeline with the probable cause of its
// outcome. Pure functions on text. See docs/OPERATIONS.md for an example.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Onyxnotch {

// A parsed line of a process's log.
struct LogLine {
    std::uint64_t milliseconds { 0 }; // Milliseconds since 1970, by the clock of the node that wrote the line.
    std::string instance {};
    std::string event {};
    nlohmann::json fields {}; // All fields of the line's JSON object, including the ones above.

    bool operator==(const LogLine&) const = default;
};

struct ParsedLog {
    std::vector<LogLine> lines {};
    std::size_t skipped { 0 }; // Number of lines that are not JSON objects with a time and an event.
};

// Parses the text of a log file and adds its lines to `log`. Text before the first brace of a line is ignored, e.g. the time stamp of a log
// collector.
void parseLog(const std::string& text, ParsedLog& log);

struct RequestTimelineOptions {
    std::uint64_t contextMilliseconds { 10000 }; // Time before and after the request within which changes of its endpoints are included.
};

// Returns the timeline of a request: the state of its node when it arrived, its attempts, its outcome, changes of the endpoints it was sent
// to, and the cause in one sentence. Returns an empty string if no line has the request's id.
std::string requestTimeline(const ParsedLog&, const std::string& requestId, const RequestTimelineOptions& options = {});

} // namespace Onyxnotch
