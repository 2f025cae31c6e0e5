#include "core/timer_service.h"

#include "core/steady_timer.h"
#include <asio.hpp>
#include <mutex>
#include <thread>
#include <vector>

namespace Onyxnotch {

struct TimerService::Subscription::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, Milliseconds interval, std::function<void()> function)
        : timer(context)
        , period(interval)
        , callback(std::move(function))
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait([self = shared_from_this()](const asio::error_code& ec) { self->fire(ec); });
    }

    void fire(const asio::error_code& ec)
    {
        std::lock_guard lock(mutex);
        if (ec || cancelled)
            return;
        callback();
        arm();
    }

    void cancel()
    {
        std::lock_guard lock(mutex);
        cancelled = true;
        timer.cancel();
    }

    SteadyTimer timer;
    Milliseconds period;
    std::function<void()> callback;
    std::mutex mutex;
    bool cancelled { false };
};

struct TimerService::Implementation {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard { context.get_executor() };
    std::vector<std::thread> threads;
};

TimerService::Subscription::Subscription(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

TimerService::Subscription::~Subscription() { cancel(); }

TimerService::Subscription::Subscription(Subscription&&) noexcept = default;

TimerService::Subscription& TimerService::Subscription::operator=(Subscription&& other) noexcept
{
    if (this == &other)
        return *this;
    cancel();
    m_state = std::move(other.m_state);
    return *this;
}

void TimerService::Subscription::cancel()
{
    if (!m_state)
        return;
    m_state->cancel();
    m_state.reset();
}

TimerService::TimerService(unsigned threadCount)
    : m_implementation(std::make_unique<Implementation>())
{
    for (unsigned n = 0; n < threadCount; ++n)
        m_implementation->threads.emplace_back([this] { m_implementation->context.run(); });
}

TimerService::~TimerService() { stop(); }

TimerService::Subscription TimerService::every(Milliseconds period, std::function<void()> callback)
{
    auto state = std::make_shared<Subscription::State>(m_implementation->context, period, std::move(callback));
    state->arm();
    return Subscription(std::move(state));
}

void TimerService::post(std::function<void()> callback)
{
    asio::post(m_implementation->context, std::move(callback));
}

void TimerService::stop()
{
    m_implementation->guard.reset();
    m_implementation->context.stop();
    for (auto& thread : m_implementation->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace Onyxnotch
