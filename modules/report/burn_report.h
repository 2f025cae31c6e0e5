// Computes from the logs of all nodes how fast each route and team uses up its error budget (the burn rate), and formats the result as text
// or as an HTML page. Pure functions.
#pragma once

#include "modules/report/request_timeline.h"
#include <map>
#include <optional>

namespace Onyxnotch {

struct BurnOptions {
    double target { 0.95 }; // Fraction of requests that should be good; the users' requirement on the time to the first token.
    // Lengths of the two time windows, which both end with the newest log line. A high burn rate in both windows is an ongoing incident; a
    // high burn rate only in the slow window is an incident that has ended.
    std::uint64_t fastMilliseconds { 300000 };
    std::uint64_t slowMilliseconds { 3600000 };
    std::uint64_t plotMilliseconds { 10000 }; // Time that one point of the plots covers.
};

// Request counts of one route and team in a time window.
struct BurnCounts {
    // All requests but those refused by the team's limit, cancelled by the client, or without a known route or key.
    unsigned long counted { 0 };
    unsigned long bad { 0 }; // Of these, requests that failed, were refused or were late.

    bool operator==(const BurnCounts&) const = default;
};

struct BurnRow {
    std::string route {};
    std::string team {};
    BurnCounts fast {}; // In the fast window.
    BurnCounts slow {}; // In the slow window.
    double fastBurn { 0 }; // Burn rate in the fast window; at 1 the error budget is used up exactly.
    double slowBurn { 0 }; // The same in the slow window.
    std::string commonBadOutcome {}; // The most frequent outcome of the bad requests in the slow window.

    bool operator==(const BurnRow&) const = default;
};

struct BurnReport {
    std::vector<BurnRow> rows {}; // Ordered by `fastBurn`, highest first.
    std::map<std::string, std::vector<double>> plots {}; // Burn rate over time by route, one point for each BurnOptions::plotMilliseconds.
    unsigned long droppedLines { 0 }; // Log lines that nodes dropped to limit their output; the requests of these lines are not counted.

    bool operator==(const BurnReport&) const = default;
};

BurnReport burnReport(const ParsedLog&, const BurnOptions& options = {});
// The report as a plain-text table.
std::string burnReportText(const BurnReport&);
// The report as a self-contained HTML page with plots.
std::string burnReportPage(const BurnReport&, const BurnOptions& options = {});

} // namespace Onyxnotch
