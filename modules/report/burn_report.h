// How fast each route and team uses up its error budget, from the logs of all nodes: pure values in, values and text out.
#pragma once

#include "modules/report/request_account.h"
#include <map>
#include <optional>

namespace Onyxnotch {

struct BurnOptions {
    double target { 0.95 }; // Part of the requests that should be good: what the users ask of first tokens.
    // Both windows end with the newest line. A fast burn in both is an incident, one in the slow window alone is over.
    std::uint64_t fastMilliseconds { 300000 };
    std::uint64_t slowMilliseconds { 3600000 };
    std::uint64_t plotMilliseconds { 10000 }; // Of one point of the plots.
};

// Requests of one route and team.
struct BurnCounts {
    unsigned long asked { 0 }; // That count: not refused by the team's limit, nor given up by the caller, nor without a route or key.
    unsigned long bad { 0 }; // Failed, refused or late.

    bool operator==(const BurnCounts&) const = default;
};

struct BurnRow {
    std::string route {};
    std::string team {};
    BurnCounts fast {};
    BurnCounts slow {};
    double fastBurn { 0 }; // 1 uses the budget up exactly.
    double slowBurn { 0 };
    std::string mostly {}; // What most bad requests of the slow window ended with.

    bool operator==(const BurnRow&) const = default;
};

struct BurnReport {
    std::vector<BurnRow> rows {}; // The fastest burn first.
    std::map<std::string, std::vector<double>> plots {}; // Burn by route, a point each plotMilliseconds.
    unsigned long leftOut { 0 }; // Lines that nodes did not write; the counts are of those that they did.

    bool operator==(const BurnReport&) const = default;
};

BurnReport burnReport(const ParsedLog&, const BurnOptions& options = {});
std::string burnReportText(const BurnReport&);
// One HTML page that needs nothing else.
std::string burnReportPage(const BurnReport&, const BurnOptions& options = {});

} // namespace Onyxnotch
