// The one timer of a process. Parts subscribe to it instead of owning threads that sleep.
#pragma once

#include "core/clock.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

// Runs subscribed callbacks on a small thread pool. A callback never runs twice at once:
// its next period starts when it returns.
class TimerService {
public:
    // Cancels its callback when destroyed, and waits for one that is running.
    // It must not be destroyed by that callback itself.
    class Subscription {
    public:
        Subscription() = default;
        ~Subscription();
        Subscription(Subscription&&) noexcept;
        Subscription& operator=(Subscription&&) noexcept;
        void cancel();

    private:
        friend class TimerService;
        struct State;
        explicit Subscription(std::shared_ptr<State>);
        std::shared_ptr<State> m_state {};
    };

    explicit TimerService(unsigned threadCount = 4);
    ~TimerService();
    TimerService(const TimerService&) = delete;
    TimerService& operator=(const TimerService&) = delete;

    // Runs `callback` every `period`, first after one period.
    [[nodiscard]] Subscription every(Milliseconds period, std::function<void()> callback);
    // Runs `callback` once, on the pool, as soon as a thread is free.
    void post(std::function<void()> callback);
    // Stops the pool; callbacks that run are waited for.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
