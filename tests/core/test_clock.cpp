// Tests that timers, deadlines, leases and backoffs take a suspension of the instance into account. Kernel timers and
// std::chrono::steady_clock stop during a suspension. A suspension is simulated by advancing InstanceClock, which is all that a process
// can observe of it.
#include "core/net/async_connection.h"
#include "modules/balance/endpoint_health.h"
#include "modules/placement/lease.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

constexpr Milliseconds suspensionTime { 5000 };
// Maximum delay after the resume for a timer that expired during the suspension; far below the 5 s that a stopped clock would still wait.
constexpr Milliseconds maximumDelay { 1500 };

// Time of CLOCK_MONOTONIC, which advanceForTest() does not affect.
Milliseconds monotonicTime()
{
    timespec time {};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return std::chrono::duration_cast<Milliseconds>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Clock)

BOOST_AUTO_TEST_CASE(the_clock_counts_a_suspension_and_never_goes_back)
{
    auto before = steadyNow();
    auto suspendedBefore = InstanceClock::suspended();
    InstanceClock::advanceForTest(suspensionTime);
    BOOST_TEST((steadyNow() - before >= suspensionTime));
    auto increase = InstanceClock::suspended() - suspendedBefore;
    BOOST_TEST((increase >= suspensionTime - Milliseconds(100) && increase <= suspensionTime + Milliseconds(100)));
    for (int n = 0; n < 1000; ++n) {
        auto first = steadyNow();
        BOOST_REQUIRE((steadyNow() >= first));
    }
}

BOOST_AUTO_TEST_CASE(a_timer_that_expired_during_a_suspension_fires_soon_after)
{
    asio::io_context context;
    SteadyTimer timer(context);
    timer.expires_after(suspensionTime);
    auto began = monotonicTime();
    Milliseconds firedAfter {};
    timer.async_wait([&](const asio::error_code&) { firedAfter = monotonicTime() - began; });
    asio::post(context, [] { InstanceClock::advanceForTest(suspensionTime); });
    context.run();
    BOOST_TEST(firedAfter.count() < maximumDelay.count());
}

BOOST_AUTO_TEST_CASE(a_read_whose_deadline_passed_during_a_suspension_times_out)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::error_code result;
    auto began = monotonicTime();
    Milliseconds endedAfter {};
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> {
            auto connection = std::make_shared<AsyncConnection>(context);
            Address address { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() };
            co_await connection->connect(address, steadyNow() + Milliseconds(1000));
            asio::post(context, [] { InstanceClock::advanceForTest(suspensionTime); });
            result = co_await connection->read(steadyNow() + suspensionTime);
            endedAfter = monotonicTime() - began;
        },
        asio::detached);
    context.run();
    BOOST_TEST((result == asio::error::timed_out));
    BOOST_TEST(endedAfter.count() < maximumDelay.count());
}

BOOST_AUTO_TEST_CASE(a_lease_that_expired_during_a_suspension_is_not_held)
{
    LeaseStateMachine lease("a", { .duration = Milliseconds(3000) });
    auto now = steadyNow();
    lease.observe(std::nullopt, 0, now, now);
    auto leaseUpdate = lease.next(now);
    BOOST_REQUIRE(leaseUpdate.has_value());
    lease.written(*leaseUpdate, 1, now);
    BOOST_TEST(lease.holds(steadyNow()));
    InstanceClock::advanceForTest(suspensionTime);
    BOOST_TEST(!lease.holds(steadyNow()));
}

// Endpoint health, limits and everything else that takes the current time as a parameter uses InstanceClock: backoffs end and token buckets
// fill during a suspension.
BOOST_AUTO_TEST_CASE(an_endpoint_backoff_ends_during_a_suspension)
{
    EndpointHealth health;
    health.onUnreachable(steadyNow());
    health.onUnreachable(steadyNow());
    BOOST_TEST(!health.isUsable(steadyNow()));
    InstanceClock::advanceForTest(suspensionTime);
    BOOST_TEST(health.isUsable(steadyNow()));
}

BOOST_AUTO_TEST_SUITE_END()
