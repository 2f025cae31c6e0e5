#include "modules/duty/usage_reports.h"

#include "core/json_decode.h"
#include <algorithm>

namespace Onyxnotch {

using Json = nlohmann::json;

std::string usageReportToJson(const UsageReport& report) { return Json { { "window", report.window }, { "counts", report.counts } }.dump(); }

Result<UsageReport> usageReportFromJson(const std::string& text)
{
    return decodeJson<UsageReport>(text, ErrorCode::InvalidArgument, "usage report", [](const Json& document) {
        return UsageReport { .window = document.at("window"), .counts = document.at("counts").get<TeamCounts>() };
    });
}

void UsageReports::restore(const std::optional<UsageReport>& report, std::uint64_t fleetTimeMilliseconds)
{
    m_gatherEndsAt = fleetTimeMilliseconds + m_options.gatherMilliseconds;
    m_pendingReport = report;
    m_lastDecidedWindow = report ? std::optional(report->window) : std::nullopt;
}

std::optional<UsageReport> UsageReports::nextDue(const WindowCounts& usage, std::uint64_t fleetTimeMilliseconds) const
{
    if (m_pendingReport)
        return std::nullopt;
    for (const auto& [window, counts] : usage) {
        if (m_lastDecidedWindow && window <= *m_lastDecidedWindow)
            continue;
        auto end = (window + 1) * m_options.windowMilliseconds;
        auto latest = end + m_options.dueMilliseconds - m_options.dueMarginMilliseconds;
        auto decidedAt = std::max(end + m_options.settleMilliseconds, std::min(m_gatherEndsAt, latest));
        return fleetTimeMilliseconds >= decidedAt ? std::optional(UsageReport { .window = window, .counts = counts }) : std::nullopt;
    }
    return std::nullopt;
}

void UsageReports::markDecided(const UsageReport& report)
{
    m_pendingReport = report;
    m_lastDecidedWindow = report.window;
}

void UsageReports::markSent() { m_pendingReport.reset(); }

} // namespace Onyxnotch
