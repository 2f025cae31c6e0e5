// The requests that this node runs, or ran lately enough to be asked for again. Thread safe.
#pragma once

#include "modules/request/active_request.h"
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace Onyxnotch {

class RequestTable {
public:
    // Returns false where there is one with that id already.
    bool add(const std::shared_ptr<ActiveRequest>&);
    std::shared_ptr<ActiveRequest> find(const std::string& id) const;
    void remove(const std::string& id);
    std::vector<std::shared_ptr<ActiveRequest>> all() const;
    // Those without a final outcome that have not moved away.
    std::size_t runningCount() const { return m_running; }
    void noteStarted() { ++m_running; }
    void noteEnded() { --m_running; }
    // Drops requests that ended more than `retention` ago.
    void expire(SteadyTime now, Milliseconds retention);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<ActiveRequest>> m_requests {};
    std::atomic<std::size_t> m_running { 0 };
};

} // namespace Onyxnotch
