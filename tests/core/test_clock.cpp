// What holds a time goes on rightly when the instance was suspended: the kernel's timers and the usual steady clock stand still meanwhile.
// A suspension is played by letting this process's clock leap ahead, which is all that it can see of one.
#include "core/net/async_connection.h"
#include "modules/balance/endpoint_health.h"
#include "modules/placement/lease.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

constexpr Milliseconds suspended { 5000 };
// Of what should have ended meanwhile; far below the time that is left by a clock that stood still.
constexpr Milliseconds late { 1500 };

// By a clock that does not leap.
Milliseconds usualTime()
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
    InstanceClock::leapAhead(suspended);
    BOOST_TEST((steadyNow() - before >= suspended));
    auto grown = InstanceClock::suspended() - suspendedBefore;
    BOOST_TEST((grown >= suspended - Milliseconds(100) && grown <= suspended + Milliseconds(100)));
    for (int n = 0; n < 1000; ++n) {
        auto first = steadyNow();
        BOOST_REQUIRE((steadyNow() >= first));
    }
}

BOOST_AUTO_TEST_CASE(a_timer_that_should_have_fired_fires_soon_after)
{
    asio::io_context context;
    SteadyTimer timer(context);
    timer.expires_after(suspended);
    auto began = usualTime();
    Milliseconds fired {};
    timer.async_wait([&](const asio::error_code&) { fired = usualTime() - began; });
    asio::post(context, [] { InstanceClock::leapAhead(suspended); });
    context.run();
    BOOST_TEST(fired.count() < late.count());
}

BOOST_AUTO_TEST_CASE(a_read_whose_deadline_passed_meanwhile_times_out)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::error_code result;
    auto began = usualTime();
    Milliseconds ended {};
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> {
            auto connection = std::make_shared<AsyncConnection>(context);
            Address address { .host = "127.0.0.1", .port = acceptor.local_endpoint().port() };
            co_await connection->connect(address, steadyNow() + Milliseconds(1000));
            asio::post(context, [] { InstanceClock::leapAhead(suspended); });
            result = co_await connection->read(steadyNow() + suspended);
            ended = usualTime() - began;
        },
        asio::detached);
    context.run();
    BOOST_TEST((result == asio::error::timed_out));
    BOOST_TEST(ended.count() < late.count());
}

BOOST_AUTO_TEST_CASE(a_lease_that_ran_out_meanwhile_is_not_held)
{
    LeaseStateMachine lease("a", { .duration = Milliseconds(3000) });
    auto now = steadyNow();
    lease.observe(std::nullopt, 0, now, now);
    auto wanted = lease.next(now);
    BOOST_REQUIRE(wanted.has_value());
    lease.written(*wanted, 1, now);
    BOOST_TEST(lease.holds(steadyNow()));
    InstanceClock::leapAhead(suspended);
    BOOST_TEST(!lease.holds(steadyNow()));
}

// Health, limits and all else that takes a time as a value goes by the same clock: rests end, and buckets fill.
BOOST_AUTO_TEST_CASE(a_rest_ends_while_the_instance_is_suspended)
{
    EndpointHealth health;
    health.onUnreachable(steadyNow());
    health.onUnreachable(steadyNow());
    BOOST_TEST(!health.isUsable(steadyNow()));
    InstanceClock::leapAhead(suspended);
    BOOST_TEST(health.isUsable(steadyNow()));
}

BOOST_AUTO_TEST_SUITE_END()
