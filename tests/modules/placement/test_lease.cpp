#include "modules/placement/lease.h"
#include "tests/property.h"

using namespace Onyxnotch;

namespace {

// Simulates the object service for the one object that stores the lease.
struct ObjectService {
    std::optional<LeaseRecord> record;
    std::uint64_t version { 0 };

    // Executes the write if its condition on the object's version is met; returns whether it did.
    bool write(const LeaseWrite& leaseWrite)
    {
        bool isConditionMet = leaseWrite.kind == LeaseWriteKind::Create ? !record : record && version == leaseWrite.version;
        if (!isConditionMet)
            return false;
        record = leaseWrite.record;
        ++version;
        return true;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Leases)

// Property test: three nodes with clocks of different rates read and write the lease; answers get lost and nodes pause, in random order.
BOOST_AUTO_TEST_CASE(at_most_one_node_holds_the_lease)
{
    Tests::checkProperty("exclusive", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        LeaseOptions options { .duration = Milliseconds(1000), .renewEvery = Milliseconds(300), .clockRateBound = 0.05 };
        static constexpr std::array<double, 3> rates { 0.98, 1.0, 1.02 };
        ObjectService service;
        std::vector<LeaseStateMachine> machines;
        for (const auto* name : { "a", "b", "c" })
            machines.emplace_back(name, options);
        double now = 0;
        auto clockOf = [&](std::size_t n) { return SteadyTime() + std::chrono::microseconds(static_cast<std::int64_t>(now * 1000 * rates[n])); };
        for (const auto& [action, argument] : events) {
            auto n = argument % 3U;
            auto& machine = machines[n];
            auto sentAt = clockOf(n);
            switch (action % 4) {
            case 0:
                machine.observe(service.record, service.version, sentAt, clockOf(n));
                break;
            case 1:
            case 2: {
                auto leaseWrite = machine.next(sentAt);
                if (!leaseWrite)
                    break;
                // The write takes up to 63 ms, and its answer may be lost.
                now += argument % 64;
                bool isWritten = service.write(*leaseWrite);
                if (isWritten && argument % 5 != 0)
                    machine.written(*leaseWrite, service.version, sentAt);
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

// Guards against waiting for a lease to expire after its holder has announced that it resigned. Without this, after the store refused
// the holder's renewals, no node had the lease for eight seconds during a shortage of endpoints.
BOOST_AUTO_TEST_CASE(a_lease_whose_holder_resigned_can_be_acquired_at_once)
{
    auto now = SteadyTime();
    LeaseStateMachine machine("b", { .duration = Milliseconds(1000) });
    LeaseRecord record { .holder = "a", .fence = 3, .life = 5 };
    machine.observe(record, 7, now, now);
    BOOST_TEST(!machine.next(now).has_value());
    machine.onHolderResigned("a", 5, 2);
    BOOST_TEST(!machine.next(now).has_value());
    machine.onHolderResigned("c", 5, 3);
    BOOST_TEST(!machine.next(now).has_value());
    // An earlier incarnation of the holder resigned; a later one has acquired the lease since.
    machine.onHolderResigned("a", 4, 3);
    BOOST_TEST(!machine.next(now).has_value());
    machine.onHolderResigned("a", 5, 3);
    auto leaseWrite = machine.next(now);
    BOOST_REQUIRE(leaseWrite.has_value());
    BOOST_TEST(leaseWrite->record.fence == 4U);
    BOOST_TEST(leaseWrite->version == 7U);
}

// Once a holder has announced that it resigned, another node may acquire the lease; the former holder must not act under the old fence.
BOOST_AUTO_TEST_CASE(a_holder_that_resigned_acquires_the_lease_with_a_higher_fence)
{
    auto now = SteadyTime();
    LeaseStateMachine machine("a", { .duration = Milliseconds(1000) });
    machine.observe(std::nullopt, 0, now, now);
    auto acquisition = machine.next(now);
    BOOST_REQUIRE(acquisition.has_value());
    machine.written(*acquisition, 1, now);
    machine.giveUp();
    BOOST_TEST(!machine.holds(now));
    auto reacquisition = machine.next(now);
    BOOST_REQUIRE(reacquisition.has_value());
    BOOST_TEST(reacquisition->record.fence == acquisition->record.fence + 1);
    BOOST_TEST(reacquisition->version == 1U);
}

BOOST_AUTO_TEST_CASE(a_lease_without_renewal_expires_for_its_holder)
{
    LeaseStateMachine machine("a", { .duration = Milliseconds(1000) });
    auto now = SteadyTime();
    machine.observe(std::nullopt, 0, now, now);
    auto leaseWrite = machine.next(now);
    BOOST_REQUIRE(leaseWrite);
    machine.written(*leaseWrite, 1, now);
    BOOST_CHECK(machine.holds(now + Milliseconds(900)));
    BOOST_CHECK(!machine.holds(now + Milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(a_new_holder_has_a_higher_fence)
{
    LeaseStateMachine machine("b", { .duration = Milliseconds(1000), .clockRateBound = 0 });
    auto now = SteadyTime();
    LeaseRecord other { .holder = "a", .fence = 4, .renewals = 9 };
    machine.observe(other, 17, now, now);
    BOOST_CHECK(!machine.next(now + Milliseconds(999)));
    auto leaseWrite = machine.next(now + Milliseconds(1000));
    BOOST_REQUIRE(leaseWrite);
    BOOST_CHECK_EQUAL(leaseWrite->record.fence, 5);
    BOOST_CHECK_EQUAL(leaseWrite->version, 17);
    // An observed renewal restarts the wait for the expiry.
    machine.observe(LeaseRecord { .holder = "a", .fence = 4, .renewals = 10 }, 18, now + Milliseconds(900), now + Milliseconds(900));
    BOOST_CHECK(!machine.next(now + Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(a_released_lease_can_be_acquired_at_once)
{
    LeaseStateMachine machine("b", {});
    machine.observe(LeaseRecord { .holder = "", .fence = 4, .renewals = 0 }, 3, SteadyTime(), SteadyTime());
    BOOST_REQUIRE(machine.next(SteadyTime()));
}

BOOST_AUTO_TEST_SUITE_END()
