// Lets one coroutine sleep until it is notified, so that it need not poll for what rarely changes.
#pragma once

#include "core/steady_timer.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

// Used on the thread of its io_context only, by one waiting coroutine.
class Wakeup {
public:
    explicit Wakeup(asio::io_context& context)
        : m_timer(context)
    {
    }

    // Completes at the next notify(), or after `longest`. Completes at once if notify() was called since the last wait.
    asio::awaitable<void> wait(Milliseconds longest)
    {
        if (!m_isNotified) {
            m_timer.expires_after(longest);
            asio::error_code ec;
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
        m_isNotified = false;
    }

    void notify()
    {
        m_isNotified = true;
        m_timer.cancel();
    }

private:
    SteadyTimer m_timer;
    bool m_isNotified { false };
};

} // namespace Onyxnotch
