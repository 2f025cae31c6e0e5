// Carries out what a lease machine decides.
#pragma once

#include "modules/placement/lease.h"
#include "servers/platform/object_client.h"
#include <mutex>

namespace Onyxnotch {

// Thread safe.
class LeaseKeeper {
public:
    LeaseKeeper(const ObjectClient&, const std::string& name, std::string self, const LeaseOptions&);

    // Reads or writes as due: at most one call to the object service. `mayTake` is false for a node that should only keep what it
    // has. Returns whether the lease is held.
    bool step(bool mayTake);
    // Lets the next holder take it at once.
    void release();

    bool holds() const;
    Milliseconds left() const;
    std::uint64_t fence() const;
    SteadyTime takenAt() const;

private:
    void read();
    void write(const LeaseWrite&);

    const ObjectClient& m_objects;
    std::string m_key {};
    LeaseOptions m_options;
    mutable std::mutex m_mutex;
    LeaseMachine m_machine;
    bool m_known { false };
    SteadyTime m_nextRead {};
};

} // namespace Onyxnotch
