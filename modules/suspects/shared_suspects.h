// A book of suspects that several threads use.
#pragma once

#include "modules/suspects/suspect_book.h"
#include <mutex>

namespace Onyxnotch {

class SharedSuspects {
public:
    explicit SharedSuspects(SuspectOptions options)
        : m_book(std::move(options))
    {
    }

    // Runs `work` with the book; nobody else uses it meanwhile.
    template <typename Work>
    auto use(Work work)
    {
        std::lock_guard lock(m_mutex);
        return work(m_book);
    }

private:
    std::mutex m_mutex {};
    SuspectBook m_book;
};

} // namespace Onyxnotch
