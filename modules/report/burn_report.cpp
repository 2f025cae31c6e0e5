#include "modules/report/burn_report.h"

#include <algorithm>
#include <cstdio>

namespace Onyxnotch {

namespace {

    // The properties of a request that matter for the error budget.
    struct RatedRequest {
        std::uint64_t milliseconds { 0 };
        std::string route {};
        std::string team {};
        std::string outcome {}; // As logged, but "late" for a complete answer after its objective.
        bool bad { false };
    };

    // Requests that the service did not have to answer, or that the client cancelled. They are not counted.
    bool isExempt(const std::string& outcome)
    {
        return outcome == "team_limit" || outcome == "caller_left" || outcome == "no_route" || outcome == "unknown_key";
    }

    std::optional<RatedRequest> rateRequest(const LogLine& line)
    {
        if (line.event != "request")
            return std::nullopt;
        const auto& fields = line.fields;
        RatedRequest rated { .milliseconds = line.milliseconds, .route = fields.value("route", ""), .team = fields.value("team", ""), .outcome = fields.value("outcome", "") };
        if (isExempt(rated.outcome))
            return std::nullopt;
        bool isComplete = rated.outcome == "answered" || rated.outcome == "streamed";
        auto duration = rated.outcome == "streamed" ? fields.value("first_event_ms", 0L) : fields.value("ms", 0L);
        auto objective = fields.value("objective_ms", 0L);
        bool isLate = isComplete && objective > 0 && duration > objective;
        if (isLate)
            rated.outcome = "late";
        rated.bad = !isComplete || isLate;
        return rated;
    }

    double burnRate(const BurnCounts& counts, const BurnOptions& options)
    {
        if (counts.counted == 0)
            return 0;
        return static_cast<double>(counts.bad) / static_cast<double>(counts.counted) / (1 - options.target);
    }

    std::string formatNumber(double value)
    {
        char buf[32];
        std::snprintf(buf, sizeof(buf), "%.2f", value);
        return buf;
    }

    std::string padded(std::string text, std::size_t width)
    {
        text.resize(std::max(width, text.size()), ' ');
        return text;
    }

    std::string escapeHtml(const std::string& text)
    {
        std::string safe;
        for (char it : text) {
            if (it == '<')
                safe += "&lt;";
            else if (it == '&')
                safe += "&amp;";
            else
                safe += it;
        }
        return safe;
    }

    std::vector<RatedRequest> rateRequests(const ParsedLog& log)
    {
        std::vector<RatedRequest> requests;
        for (const auto& it : log.lines) {
            if (auto rated = rateRequest(it))
                requests.push_back(std::move(*rated));
        }
        return requests;
    }

    void addPlots(const std::vector<RatedRequest>& requests, std::uint64_t from, std::uint64_t until, const BurnOptions& options, BurnReport& report)
    {
        auto points = static_cast<std::size_t>((until - from) / options.plotMilliseconds + 1);
        std::map<std::string, std::vector<BurnCounts>> counts;
        for (const auto& it : requests) {
            if (it.milliseconds < from)
                continue;
            auto& route = counts[it.route];
            route.resize(points);
            auto& point = route[static_cast<std::size_t>((it.milliseconds - from) / options.plotMilliseconds)];
            ++point.counted;
            point.bad += it.bad ? 1 : 0;
        }
        for (const auto& [route, routeCounts] : counts) {
            for (const auto& it : routeCounts)
                report.plots[route].push_back(burnRate(it, options));
        }
    }

    // An SVG plot of the burn rate over the slow window; the dashed line marks a burn rate of 1.
    std::string plotSvg(const std::vector<double>& points)
    {
        constexpr double width = 640;
        constexpr double height = 80;
        double most = 2;
        for (double it : points)
            most = std::max(most, it);
        auto y = [&](double value) { return formatNumber(height - value / most * height); };
        std::string line;
        for (std::size_t n = 0; n < points.size(); ++n)
            line += formatNumber(width * static_cast<double>(n) / static_cast<double>(std::max<std::size_t>(1, points.size() - 1))) + "," + y(points[n]) + " ";
        return "<svg width=\"640\" height=\"80\" viewBox=\"0 0 640 80\"><rect width=\"640\" height=\"80\" fill=\"#f4f4f4\"/><line x1=\"0\" x2=\"640\" y1=\"" + y(1) + "\" y2=\"" + y(1)
            + "\" stroke=\"#888\" stroke-dasharray=\"4\"/><polyline fill=\"none\" stroke=\"#b03020\" stroke-width=\"2\" points=\"" + line + "\"/></svg><small>scale to " + formatNumber(most) + "</small>";
    }

    constexpr auto pageHead = R"(<!doctype html><html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ddd;text-align:left}td.n{text-align:right}.hot{color:#b03020;font-weight:bold}</style>
<h1>Service-level burn</h1>
)";

} // namespace

BurnReport burnReport(const ParsedLog& log, const BurnOptions& options)
{
    BurnReport report;
    std::uint64_t until = 0;
    std::uint64_t first = UINT64_MAX;
    for (const auto& it : log.lines) {
        until = std::max(until, it.milliseconds);
        first = std::min(first, it.milliseconds);
        if (it.event == "request_lines_left_out" || it.event == "log_lines_dropped")
            report.droppedLines += it.fields.value("count", 0UL);
    }
    if (log.lines.empty())
        return report;
    auto slowFrom = until - std::min(until, options.slowMilliseconds);
    auto fastFrom = until - std::min(until, options.fastMilliseconds);
    auto requests = rateRequests(log);
    std::map<std::pair<std::string, std::string>, BurnRow> rows;
    std::map<std::pair<std::string, std::string>, std::map<std::string, unsigned long>> badOutcomes;
    for (const auto& it : requests) {
        if (it.milliseconds < slowFrom)
            continue;
        std::pair key(it.route, it.team);
        auto& row = rows[key];
        ++row.slow.counted;
        row.slow.bad += it.bad ? 1 : 0;
        bool isInFastWindow = it.milliseconds >= fastFrom;
        row.fast.counted += isInFastWindow ? 1 : 0;
        row.fast.bad += isInFastWindow && it.bad ? 1 : 0;
        if (it.bad)
            ++badOutcomes[key][it.outcome];
    }
    for (auto& [key, row] : rows) {
        row.route = key.first;
        row.team = key.second;
        row.fastBurn = burnRate(row.fast, options);
        row.slowBurn = burnRate(row.slow, options);
        const auto& outcomes = badOutcomes[key];
        auto most = std::max_element(outcomes.begin(), outcomes.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        if (most != outcomes.end())
            row.commonBadOutcome = most->first;
        report.rows.push_back(row);
    }
    std::stable_sort(report.rows.begin(), report.rows.end(), [](const auto& left, const auto& right) { return left.fastBurn > right.fastBurn; });
    addPlots(requests, std::max(slowFrom, first), until, options, report);
    return report;
}

std::string burnReportText(const BurnReport& report)
{
    std::string text = padded("route", 20) + padded("team", 16) + padded("asked", 8) + padded("bad", 8) + padded("burn, fast", 12) + padded("burn, slow", 12) + "mostly\n";
    for (const auto& it : report.rows)
        text += padded(it.route, 20) + padded(it.team, 16) + padded(std::to_string(it.slow.counted), 8) + padded(std::to_string(it.slow.bad), 8) + padded(formatNumber(it.fastBurn), 12) + padded(formatNumber(it.slowBurn), 12) + it.commonBadOutcome + "\n";
    if (report.droppedLines > 0)
        text += std::to_string(report.droppedLines) + " lines were left out by the nodes: the counts are of the lines that were written.\n";
    return text;
}

std::string burnReportPage(const BurnReport& report, const BurnOptions& options)
{
    std::string page = pageHead;
    page += "<p>Target: " + formatNumber(options.target * 100) + "% of the requests good (whole, in time, not refused). A burn of 1 uses the budget up exactly; fast window "
        + std::to_string(options.fastMilliseconds / 1000) + " s, slow window " + std::to_string(options.slowMilliseconds / 1000) + " s.</p>\n<table><tr><th>Route<th>Team<th>Asked<th>Bad<th>Burn, fast<th>Burn, slow<th>Mostly</tr>\n";
    for (const auto& it : report.rows) {
        auto cell = [](double burn) { return std::string("<td class=\"n") + (burn > 1 ? " hot" : "") + "\">" + formatNumber(burn); };
        page += "<tr><td>" + escapeHtml(it.route) + "<td>" + escapeHtml(it.team) + "<td class=\"n\">" + std::to_string(it.slow.counted) + "<td class=\"n\">" + std::to_string(it.slow.bad) + cell(it.fastBurn) + cell(it.slowBurn) + "<td>" + escapeHtml(it.commonBadOutcome) + "</tr>\n";
    }
    page += "</table>\n";
    for (const auto& [route, points] : report.plots)
        page += "<h2>" + escapeHtml(route) + "</h2>" + plotSvg(points) + "\n";
    if (report.droppedLines > 0)
        page += "<p>" + std::to_string(report.droppedLines) + " lines were left out by the nodes: the counts are of the lines that were written.</p>\n";
    return page + "</html>\n";
}

} // namespace Onyxnotch
