// Decides which usage report is due and with which counts per team. The counts decided for a time window never change afterwards. A pure
// state machine without I/O; the time is passed in.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include "modules/limits/usage_ledger.h"
#include <compare>
#include <optional>

namespace Onyxnotch {

struct UsageReport {
    std::uint64_t window { 0 }; // Index of the time window: window n covers n * windowMilliseconds up to (n + 1) * windowMilliseconds.
    TeamCounts counts {};

    auto operator<=>(const UsageReport&) const = default;
};

// The form stored in the duty lease, from which the next holder sends the same report again. Malformed text returns InvalidArgument.
std::string usageReportToJson(const UsageReport&);
Result<UsageReport> usageReportFromJson(const std::string&);

struct UsageReportsOptions {
    std::uint64_t windowMilliseconds { 5000 };
    // Wait after a window's end until the counts of all nodes have arrived. Each node sends them to the holder at least once a second.
    std::uint64_t settleMilliseconds { 1500 };
    // Wait after acquiring the duties. A new holder has not received the counts yet: the nodes detect the new holder by the state that it
    // publishes and then send all their counts three times, once a second. With a hundred nodes this takes 4500 ms.
    std::uint64_t gatherMilliseconds { 4500 };
    std::uint64_t dueMilliseconds { 10000 }; // A report is late this long after its window's end.
    // The counts are decided this long before the report is late, even if counts of some nodes have not been received.
    std::uint64_t dueMarginMilliseconds { 1500 };

    auto operator<=>(const UsageReportsOptions&) const = default;
};

class UsageReports {
public:
    explicit UsageReports(const UsageReportsOptions& options = {})
        : m_options(options)
    {
    }

    auto operator<=>(const UsageReports&) const = default;

    // Overrides settleMilliseconds, for a fleet in which the counts take longer to arrive.
    void setSettleTime(Milliseconds settle) { m_options.settleMilliseconds = static_cast<std::uint64_t>(settle.count()); }
    // Resumes from the report stored in the lease by this holder or an earlier one. The report is sent again, because it is unknown whether
    // it arrived. `fleetTimeMilliseconds` is the time agreed between the nodes, in milliseconds since 1970.
    void restore(const std::optional<UsageReport>&, std::uint64_t fleetTimeMilliseconds);
    // Returns the next report to decide. Empty if none is due, or while a decided report has not been sent.
    std::optional<UsageReport> nextDue(const WindowCounts&, std::uint64_t fleetTimeMilliseconds) const;
    // To be called once the report is stored in the lease.
    void markDecided(const UsageReport&);
    const std::optional<UsageReport>& pendingReport() const { return m_pendingReport; }
    void markSent();
    // Discards a report that is too late or can't be delivered, and continues with the next window.
    void abandon() { markSent(); }

private:
    UsageReportsOptions m_options;
    std::optional<UsageReport> m_pendingReport {};
    std::optional<std::uint64_t> m_lastDecidedWindow {}; // The last window whose counts were decided.
    std::uint64_t m_gatherEndsAt { 0 }; // Agreed time, in milliseconds since 1970, by which all counts should have been received.
};

} // namespace Onyxnotch
