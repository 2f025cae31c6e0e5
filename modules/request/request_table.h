// Requests that this node runs, or that ended so recently that clients may still read their answers. Thread safe.
#pragma once

#include "modules/request/active_request.h"
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Onyxnotch {

class RequestTable {
public:
    // Returns false and adds nothing if there is a request with the same id.
    bool add(const std::shared_ptr<ActiveRequest>&);
    std::shared_ptr<ActiveRequest> find(const std::string& id) const;
    void remove(const std::string& id);
    std::vector<std::shared_ptr<ActiveRequest>> all() const;
    // Number of requests that are being executed here, as counted by incrementRunningCount() and decrementRunningCount().
    std::size_t runningCount() const { return m_runningCount; }
    void incrementRunningCount() { ++m_runningCount; }
    void decrementRunningCount() { --m_runningCount; }
    // Removes requests that ended more than `retention` before `now`.
    void expire(SteadyTime now, Milliseconds retention);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<ActiveRequest>> m_requests {};
    std::atomic<std::size_t> m_runningCount { 0 };
};

} // namespace Onyxnotch
