#include "modules/placement/lease.h"
#include "tests/property.h"

using namespace Onyxnotch;

namespace {

// The stored lease, as the object service keeps it.
struct Store {
    std::optional<LeaseRecord> record;
    std::uint64_t version { 0 };

    // Carries a write out where its condition holds.
    bool write(const LeaseWrite& wanted)
    {
        bool holds = wanted.kind == LeaseWriteKind::Create ? !record : record && version == wanted.version;
        if (!holds)
            return false;
        record = wanted.record;
        ++version;
        return true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Leases)

// Three holders with clocks of different rates; reads, writes, lost answers and pauses in any order.
BOOST_AUTO_TEST_CASE(two_never_hold_it_at_once)
{
    Tests::checkProperty("exclusive", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        LeaseOptions options { .duration = Milliseconds(1000), .renewEvery = Milliseconds(300), .clockRateBound = 0.05 };
        static constexpr std::array<double, 3> rates { 0.98, 1.0, 1.02 };
        Store store;
        std::vector<LeaseMachine> machines;
        for (const auto* name : { "a", "b", "c" })
            machines.emplace_back(name, options);
        double now = 0;
        auto clockOf = [&](std::size_t n) { return SteadyTime() + std::chrono::microseconds(static_cast<std::int64_t>(now * 1000 * rates[n])); };
        for (const auto& [action, which] : events) {
            auto n = which % 3U;
            auto& machine = machines[n];
            auto sent = clockOf(n);
            switch (action % 4) {
            case 0:
                machine.observe(store.record, store.version, sent, clockOf(n));
                break;
            case 1:
            case 2: {
                auto wanted = machine.next(sent);
                if (!wanted)
                    break;
                // The write takes a while, and its answer may be lost.
                now += which % 64;
                bool done = store.write(*wanted);
                if (done && which % 5 != 0)
                    machine.written(*wanted, store.version, sent);
                else
                    machine.forget();
                break;
            }
            default:
                now += action;
            }
            unsigned holders = 0;
            for (std::size_t i = 0; i < machines.size(); ++i)
                holders += machines[i].holds(clockOf(i)) ? 1 : 0;
            RC_ASSERT(holders <= 1);
        }
    });
}

// Found by the bench: a holder that the store turned away lost its lease, and nobody had the duties for eight seconds of a shortage.
BOOST_AUTO_TEST_CASE(a_lease_that_its_holder_gave_up_is_taken_at_once)
{
    auto now = SteadyTime();
    LeaseMachine machine("b", { .duration = Milliseconds(1000) });
    LeaseRecord record { .holder = "a", .fence = 3, .life = 5 };
    machine.observe(record, 7, now, now);
    BOOST_TEST(!machine.next(now).has_value());
    machine.holderGaveUp("a", 5, 2);
    BOOST_TEST(!machine.next(now).has_value());
    machine.holderGaveUp("c", 5, 3);
    BOOST_TEST(!machine.next(now).has_value());
    // An earlier life said so; a later one has renewed the lease since.
    machine.holderGaveUp("a", 4, 3);
    BOOST_TEST(!machine.next(now).has_value());
    machine.holderGaveUp("a", 5, 3);
    auto wanted = machine.next(now);
    BOOST_REQUIRE(wanted.has_value());
    BOOST_TEST(wanted->record.fence == 4U);
    BOOST_TEST(wanted->version == 7U);
}

// Found by reading: others may take a fence that was given up, so its holder must not go on under it.
BOOST_AUTO_TEST_CASE(who_gave_up_takes_the_lease_under_a_higher_fence)
{
    auto now = SteadyTime();
    LeaseMachine machine("a", { .duration = Milliseconds(1000) });
    machine.observe(std::nullopt, 0, now, now);
    auto taken = machine.next(now);
    BOOST_REQUIRE(taken.has_value());
    machine.written(*taken, 1, now);
    machine.giveUp();
    BOOST_TEST(!machine.holds(now));
    auto again = machine.next(now);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->record.fence == taken->record.fence + 1);
    BOOST_TEST(again->version == 1U);
}

BOOST_AUTO_TEST_CASE(a_paused_holder_finds_that_its_lease_has_lapsed)
{
    LeaseMachine machine("a", { .duration = Milliseconds(1000) });
    auto now = SteadyTime();
    machine.observe(std::nullopt, 0, now, now);
    auto wanted = machine.next(now);
    BOOST_REQUIRE(wanted);
    machine.written(*wanted, 1, now);
    BOOST_CHECK(machine.holds(now + Milliseconds(900)));
    BOOST_CHECK(!machine.holds(now + Milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_new_holder_has_a_higher_fence)
{
    LeaseMachine machine("b", { .duration = Milliseconds(1000), .clockRateBound = 0 });
    auto now = SteadyTime();
    LeaseRecord other { .holder = "a", .fence = 4, .renewals = 9 };
    machine.observe(other, 17, now, now);
    BOOST_CHECK(!machine.next(now + Milliseconds(999)));
    auto wanted = machine.next(now + Milliseconds(1000));
    BOOST_REQUIRE(wanted);
    BOOST_CHECK_EQUAL(wanted->record.fence, 5);
    BOOST_CHECK_EQUAL(wanted->version, 17);
    // A renewal that was seen starts the wait anew.
    machine.observe(LeaseRecord { .holder = "a", .fence = 4, .renewals = 10 }, 18, now + Milliseconds(900), now + Milliseconds(900));
    BOOST_CHECK(!machine.next(now + Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_released_lease_is_taken_at_once)
{
    LeaseMachine machine("b", {});
    machine.observe(LeaseRecord { .holder = "", .fence = 4, .renewals = 0 }, 3, SteadyTime(), SteadyTime());
    BOOST_REQUIRE(machine.next(SteadyTime()));
}

BOOST_AUTO_TEST_SUITE_END()
