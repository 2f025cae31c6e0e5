// State machine of a lease that is stored as an object in the platform's object service. Decides when to write what; does no I/O
// (LeaseManager does). Not thread-safe. Times are passed in and come from this process's monotonic clock only, so the nodes' clocks need
// not be synchronized.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

// The value of a lease object in the object service.
struct LeaseRecord {
    std::string holder {}; // Name of the holding process; empty if the lease has been released.
    // Fencing token: rises by one with each acquisition. Orders carry it, so that receivers can refuse orders of earlier holders.
    std::uint64_t fence { 0 };
    std::uint64_t renewals { 0 }; // Number of renewals since the acquisition.
    std::uint64_t life { 0 }; // Incarnation (process start) of the holder; 0 if the holder doesn't state one.
    std::string note {}; // Decisions of holders that later holders must keep to; copied when the lease changes hands.

    auto operator<=>(const LeaseRecord&) const = default;
};

std::string leaseToJson(const LeaseRecord&);
Result<LeaseRecord> leaseFromJson(const std::string&);

struct LeaseOptions {
    Milliseconds duration { 10000 }; // After this time without a renewal another node may acquire the lease.
    Milliseconds renewEvery { 3000 }; // Interval between two renewals by the holder.
    // Largest assumed difference between clock rates, as a fraction. A holder stops this fraction of `duration` early, and another node
    // waits this fraction longer before it acquires an expired lease.
    double clockRateBound { 0.05 };
    std::uint64_t life { 0 }; // Incarnation of this process: a different number at each start.

    auto operator<=>(const LeaseOptions&) const = default;
};

enum class LeaseWriteKind {
    Create,
    Update,
};

// A conditional write that is to be sent to the object service.
struct LeaseWrite {
    LeaseWriteKind kind { LeaseWriteKind::Update };
    // Version of the object that this write replaces; the write fails if the object has another version. Unused for Create.
    std::uint64_t version { 0 };
    LeaseRecord record {};

    auto operator<=>(const LeaseWrite&) const = default;
};

class LeaseStateMachine {
public:
    // `self` is the name that this process writes as the holder.
    LeaseStateMachine(std::string self, const LeaseOptions&);

    auto operator<=>(const LeaseStateMachine&) const = default;

    // Reports that the lease was read. `record` is empty if the object doesn't exist; `readSentAt` is when the read was sent.
    void observe(const std::optional<LeaseRecord>& record, std::uint64_t version, SteadyTime readSentAt, SteadyTime now);
    // Returns the write that is due now: an acquisition or a renewal. Empty if none is due, or before the first observe().
    std::optional<LeaseWrite> next(SteadyTime now) const;
    // Returns a renewal that stores `note`, regardless of when the next renewal is due. Empty if the lease isn't held.
    std::optional<LeaseWrite> nextRenewalWithNote(const std::string& note, SteadyTime now) const;
    // Reports that a write succeeded. The lease duration is counted from `sentAt`, when the write was sent.
    void written(const LeaseWrite&, std::uint64_t newVersion, SteadyTime sentAt);
    // Resigns: this process never acts under its current fence again, even if the stored lease still names it as the holder, and can only
    // acquire the lease again with a higher fence. The caller announces this to other nodes; see onHolderResigned().
    void giveUp();
    // Reports that the holder announced that it no longer acts under `fence`, so that the lease can be acquired before it expires.
    // Applies only if the last read record was written by the same holder and incarnation, with at most this fence. If the holder renews
    // the lease after that read, the conditional write of the acquisition fails.
    void onHolderResigned(const std::string& holder, std::uint64_t life, std::uint64_t fence);
    // Reports that a write failed or that its answer was lost: the lease must be read again before the next write.
    void forget();

    // Whether this process holds the lease and its last renewal hasn't expired.
    bool holds(SteadyTime now) const;
    // Remaining time for which this process may act as the holder; zero if the lease isn't held.
    Milliseconds left(SteadyTime now) const;
    std::uint64_t fence() const { return m_fence; }
    std::string note() const { return m_record ? m_record->note : std::string(); }
    // When this process acquired the lease.
    SteadyTime acquiredAt() const { return m_acquiredAt; }

private:
    std::string m_self {};
    LeaseOptions m_options;
    bool m_observed { false };
    std::optional<LeaseRecord> m_record {};
    std::uint64_t m_version { 0 };
    SteadyTime m_unchangedSince {}; // When the current version was first read.
    SteadyTime m_renewedAt {}; // When the last successful write of this process was sent.
    SteadyTime m_acquiredAt {};
    std::uint64_t m_fence { 0 };
    bool m_held { false };
    std::string m_resignedHolder {}; // The holder that last announced that it resigned, with its incarnation and fence.
    std::uint64_t m_resignedIncarnation { 0 };
    std::uint64_t m_resignedFence { 0 };
    std::uint64_t m_ownResignedFence { 0 }; // Highest fence that this process resigned from.
};

} // namespace Onyxnotch
