// Thread pool shared by a process for periodic and one-time callbacks, so that components need no sleeping threads of their own.
#pragma once

#include "core/clock.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

// Runs subscribed callbacks on a small thread pool. Runs of the same callback never overlap: the next period starts when the callback
// returns.
class TimerService {
public:
    // Handle of a periodic callback. Destroying it cancels the callback and waits for a run in progress, so it must not be destroyed by
    // the callback itself.
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

    // Runs `callback` every `period`; the first run is after one period.
    [[nodiscard]] Subscription every(Milliseconds period, std::function<void()> callback);
    // Runs `callback` once, as soon as a thread of the pool is free.
    void post(std::function<void()> callback);
    // Stops the pool and waits for the callbacks that are running.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
