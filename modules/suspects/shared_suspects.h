// A SuspectTracker protected by a mutex, for use by several threads.
#pragma once

#include "modules/suspects/suspect_tracker.h"
#include <mutex>

namespace Onyxnotch {

class SharedSuspects {
public:
    explicit SharedSuspects(SuspectOptions options)
        : m_book(std::move(options))
    {
    }

    // Calls `work` with the book while holding the lock, and returns its result.
    template <typename Work>
    auto use(Work work)
    {
        std::lock_guard lock(m_mutex);
        return work(m_book);
    }

private:
    std::mutex m_mutex {};
    SuspectTracker m_book;
};

} // namespace Onyxnotch
