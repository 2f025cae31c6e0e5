// A lease kept as an object of the platform's service. The decisions are a pure state machine; the time is passed in, and only
// this process's own monotonic clock is ever looked at.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

// The stored value of a lease.
struct LeaseRecord {
    std::string holder {}; // Empty where it has been released.
    std::uint64_t fence { 0 }; // Rises by one with each new holder; orders carry it.
    std::uint64_t renewals { 0 };
    std::uint64_t life { 0 }; // Of the process that wrote it; 0 where the holder tells none.
    std::string note {}; // What holders have decided and later ones must keep to; passed on from holder to holder.

    auto operator<=>(const LeaseRecord&) const = default;
};

std::string leaseToJson(const LeaseRecord&);
Result<LeaseRecord> leaseFromJson(const std::string&);

struct LeaseOptions {
    Milliseconds duration { 10000 };
    Milliseconds renewEvery { 3000 };
    // Others' clocks may run this much faster than ours, as a part; a holder stops that much early and a taker waits that much longer.
    double clockRateBound { 0.05 };
    std::uint64_t life { 0 }; // Of this process: another one at each start.

    auto operator<=>(const LeaseOptions&) const = default;
};

enum class LeaseWriteKind {
    Create,
    Update,
};

// A conditional write that the machine wants.
struct LeaseWrite {
    LeaseWriteKind kind { LeaseWriteKind::Update };
    std::uint64_t version { 0 }; // Of the value that it replaces.
    LeaseRecord record {};

    auto operator<=>(const LeaseWrite&) const = default;
};

class LeaseMachine {
public:
    LeaseMachine(std::string self, const LeaseOptions&);

    auto operator<=>(const LeaseMachine&) const = default;

    // The lease was read: `record` is empty where the object does not exist.
    void observe(const std::optional<LeaseRecord>& record, std::uint64_t version, SteadyTime readSentAt, SteadyTime now);
    // What to write now, if anything. Needs an observation first.
    std::optional<LeaseWrite> next(SteadyTime now) const;
    // A renewal that is due at once, with another note. Empty where the lease is not held.
    std::optional<LeaseWrite> nextWithNote(const std::string& note, SteadyTime now) const;
    // The write was carried out. The lease counts from before it was sent.
    void written(const LeaseWrite&, std::uint64_t newVersion, SteadyTime sentAt);
    // This process does nothing more under its fence, and tells others so: it takes the lease anew, under a higher one, if at all.
    void giveUp();
    // A holder says itself that it holds the lease under this fence no more, and sends nothing under it: nobody need wait until it lapses.
    // Only as long as the lease is as that life of the holder wrote it; a renewal makes the write that takes it fail.
    void holderGaveUp(const std::string& holder, std::uint64_t life, std::uint64_t fence);
    // The write failed or its answer was lost: the lease must be read before the next write.
    void forget();

    bool holds(SteadyTime now) const;
    // Of the lease; zero where it is not held.
    Milliseconds left(SteadyTime now) const;
    std::uint64_t fence() const { return m_fence; }
    std::string note() const { return m_record ? m_record->note : std::string(); }
    // When the lease came to this process.
    SteadyTime takenAt() const { return m_takenAt; }

private:
    std::string m_self {};
    LeaseOptions m_options;
    bool m_observed { false };
    std::optional<LeaseRecord> m_record {};
    std::uint64_t m_version { 0 };
    SteadyTime m_unchangedSince {}; // When this version was first read.
    SteadyTime m_renewedAt {}; // When the last successful write of ours was sent.
    SteadyTime m_takenAt {};
    std::uint64_t m_fence { 0 };
    bool m_held { false };
    std::string m_formerHolder {}; // Has given the lease up,
    std::uint64_t m_formerLife { 0 }; // in this life,
    std::uint64_t m_formerFence { 0 }; // under this fence.
    std::uint64_t m_gaveUpFence { 0 }; // Of our own.
};

} // namespace Onyxnotch
