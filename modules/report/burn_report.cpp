#include "modules/report/burn_report.h"

#include <algorithm>
#include <cstdio>

namespace Onyxnotch {

namespace {

    // One request as far as its budget is concerned.
    struct Judged {
        std::uint64_t milliseconds { 0 };
        std::string route {};
        std::string team {};
        std::string outcome {}; // "late" for a good answer that came too late.
        bool bad { false };
    };

    // What is not owed, or ended by the caller's own doing.
    bool countsForNothing(const std::string& outcome)
    {
        return outcome == "team_limit" || outcome == "caller_left" || outcome == "no_route" || outcome == "unknown_key";
    }

    std::optional<Judged> judge(const LogLine& line)
    {
        if (line.event != "request")
            return std::nullopt;
        const auto& fields = line.fields;
        Judged judged { .milliseconds = line.milliseconds, .route = fields.value("route", ""), .team = fields.value("team", ""), .outcome = fields.value("outcome", "") };
        if (countsForNothing(judged.outcome))
            return std::nullopt;
        bool whole = judged.outcome == "answered" || judged.outcome == "streamed";
        auto took = judged.outcome == "streamed" ? fields.value("first_event_ms", 0L) : fields.value("ms", 0L);
        auto objective = fields.value("objective_ms", 0L);
        bool late = whole && objective > 0 && took > objective;
        if (late)
            judged.outcome = "late";
        judged.bad = !whole || late;
        return judged;
    }

    double burnOf(const BurnCounts& counts, const BurnOptions& options)
    {
        if (counts.asked == 0)
            return 0;
        return static_cast<double>(counts.bad) / static_cast<double>(counts.asked) / (1 - options.target);
    }

    std::string rounded(double value)
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

    std::string escaped(const std::string& text)
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

    std::vector<Judged> judgeAll(const ParsedLog& log)
    {
        std::vector<Judged> all;
        for (const auto& it : log.lines) {
            if (auto judged = judge(it))
                all.push_back(std::move(*judged));
        }
        return all;
    }

    void addPlots(const std::vector<Judged>& all, std::uint64_t from, std::uint64_t until, const BurnOptions& options, BurnReport& report)
    {
        auto points = static_cast<std::size_t>((until - from) / options.plotMilliseconds + 1);
        std::map<std::string, std::vector<BurnCounts>> counts;
        for (const auto& it : all) {
            if (it.milliseconds < from)
                continue;
            auto& route = counts[it.route];
            route.resize(points);
            auto& point = route[static_cast<std::size_t>((it.milliseconds - from) / options.plotMilliseconds)];
            ++point.asked;
            point.bad += it.bad ? 1 : 0;
        }
        for (const auto& [route, its] : counts) {
            for (const auto& it : its)
                report.plots[route].push_back(burnOf(it, options));
        }
    }

    // A line over the width of the window; the dashed one is a burn of 1.
    std::string plot(const std::vector<double>& points)
    {
        constexpr double width = 640;
        constexpr double height = 80;
        double most = 2;
        for (double it : points)
            most = std::max(most, it);
        auto y = [&](double value) { return rounded(height - value / most * height); };
        std::string line;
        for (std::size_t n = 0; n < points.size(); ++n)
            line += rounded(width * static_cast<double>(n) / static_cast<double>(std::max<std::size_t>(1, points.size() - 1))) + "," + y(points[n]) + " ";
        return "<svg width=\"640\" height=\"80\" viewBox=\"0 0 640 80\"><rect width=\"640\" height=\"80\" fill=\"#f4f4f4\"/><line x1=\"0\" x2=\"640\" y1=\"" + y(1) + "\" y2=\"" + y(1)
            + "\" stroke=\"#888\" stroke-dasharray=\"4\"/><polyline fill=\"none\" stroke=\"#b03020\" stroke-width=\"2\" points=\"" + line + "\"/></svg><small>scale to " + rounded(most) + "</small>";
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
            report.leftOut += it.fields.value("count", 0UL);
    }
    if (log.lines.empty())
        return report;
    auto slowFrom = until - std::min(until, options.slowMilliseconds);
    auto fastFrom = until - std::min(until, options.fastMilliseconds);
    auto all = judgeAll(log);
    std::map<std::pair<std::string, std::string>, BurnRow> rows;
    std::map<std::pair<std::string, std::string>, std::map<std::string, unsigned long>> ends;
    for (const auto& it : all) {
        if (it.milliseconds < slowFrom)
            continue;
        std::pair key(it.route, it.team);
        auto& row = rows[key];
        ++row.slow.asked;
        row.slow.bad += it.bad ? 1 : 0;
        bool recent = it.milliseconds >= fastFrom;
        row.fast.asked += recent ? 1 : 0;
        row.fast.bad += recent && it.bad ? 1 : 0;
        if (it.bad)
            ++ends[key][it.outcome];
    }
    for (auto& [key, row] : rows) {
        row.route = key.first;
        row.team = key.second;
        row.fastBurn = burnOf(row.fast, options);
        row.slowBurn = burnOf(row.slow, options);
        const auto& outcomes = ends[key];
        auto most = std::max_element(outcomes.begin(), outcomes.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        if (most != outcomes.end())
            row.mostly = most->first;
        report.rows.push_back(row);
    }
    std::stable_sort(report.rows.begin(), report.rows.end(), [](const auto& left, const auto& right) { return left.fastBurn > right.fastBurn; });
    addPlots(all, std::max(slowFrom, first), until, options, report);
    return report;
}

std::string burnReportText(const BurnReport& report)
{
    std::string text = padded("route", 20) + padded("team", 16) + padded("asked", 8) + padded("bad", 8) + padded("burn, fast", 12) + padded("burn, slow", 12) + "mostly\n";
    for (const auto& it : report.rows)
        text += padded(it.route, 20) + padded(it.team, 16) + padded(std::to_string(it.slow.asked), 8) + padded(std::to_string(it.slow.bad), 8) + padded(rounded(it.fastBurn), 12) + padded(rounded(it.slowBurn), 12) + it.mostly + "\n";
    if (report.leftOut > 0)
        text += std::to_string(report.leftOut) + " lines were left out by the nodes: the counts are of the lines that were written.\n";
    return text;
}

std::string burnReportPage(const BurnReport& report, const BurnOptions& options)
{
    std::string page = pageHead;
    page += "<p>Target: " + rounded(options.target * 100) + "% of the requests good (whole, in time, not refused). A burn of 1 uses the budget up exactly; fast window "
        + std::to_string(options.fastMilliseconds / 1000) + " s, slow window " + std::to_string(options.slowMilliseconds / 1000) + " s.</p>\n<table><tr><th>Route<th>Team<th>Asked<th>Bad<th>Burn, fast<th>Burn, slow<th>Mostly</tr>\n";
    for (const auto& it : report.rows) {
        auto cell = [](double burn) { return std::string("<td class=\"n") + (burn > 1 ? " hot" : "") + "\">" + rounded(burn); };
        page += "<tr><td>" + escaped(it.route) + "<td>" + escaped(it.team) + "<td class=\"n\">" + std::to_string(it.slow.asked) + "<td class=\"n\">" + std::to_string(it.slow.bad) + cell(it.fastBurn) + cell(it.slowBurn) + "<td>" + escaped(it.mostly) + "</tr>\n";
    }
    page += "</table>\n";
    for (const auto& [route, points] : report.plots)
        page += "<h2>" + escaped(route) + "</h2>" + plot(points) + "\n";
    if (report.leftOut > 0)
        page += "<p>" + std::to_string(report.leftOut) + " lines were left out by the nodes: the counts are of the lines that were written.</p>\n";
    return page + "</html>\n";
}

} // namespace Onyxnotch
