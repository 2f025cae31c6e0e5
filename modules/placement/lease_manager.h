// Acquires, renews and releases one lease: sends the reads and writes that LeaseStateMachine decides on to the object service.
#pragma once

#include "modules/placement/lease.h"
#include "servers/platform/object_client.h"
#include <mutex>

namespace Onyxnotch {

// Thread-safe.
class LeaseManager {
public:
    LeaseManager(const ObjectClient&, const std::string& name, std::string self, const LeaseOptions&);

    // Sends the read or write that is due: at most one call to the object service, which blocks. If `mayAcquire` is false, a held lease
    // is renewed but not acquired anew. Returns whether the lease is held.
    bool step(bool mayAcquire);
    // Gives up the lease in the object service, so that another node can acquire it without waiting for its expiry.
    void release();

    bool holds() const;
    Milliseconds left() const;
    std::uint64_t fence() const;
    SteadyTime acquiredAt() const;

private:
    void read();
    void write(const LeaseWrite&);

    const ObjectClient& m_objects;
    std::string m_key {};
    LeaseOptions m_options;
    mutable std::mutex m_mutex;
    LeaseStateMachine m_machine;
    bool m_isObserved { false };
    SteadyTime m_nextReadAt {};
};

} // namespace Onyxnotch
