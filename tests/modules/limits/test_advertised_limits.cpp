// Tests which of the limits that an endpoint advertised is in force, independent of the order in which nodes receive them, and the retry
// delays of refused clients.
#include "modules/limits/advertised_limits.h"

#include "modules/limits/retry_delays.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace Onyxnotch;

namespace {

const EndpointIncarnation endpoint { .id = "i-1", .born = 5 };

AdvertisedLimit limit(double perSecond, std::uint64_t sentAt, std::uint64_t receivedAt) { return { .endpoint = endpoint, .perSecond = perSecond, .sentAt = sentAt, .receivedAt = receivedAt }; }

} // namespace

BOOST_AUTO_TEST_SUITE(LimitWordsOfEndpoints)

BOOST_AUTO_TEST_CASE(limit_holds_until_answer_to_later_request_has_none)
{
    AdvertisedLimits limits;
    BOOST_TEST(limits.update(limit(2, 100, 200)));
    BOOST_TEST((limits.perSecond(endpoint) == 2.0));
    // Answer to a request that was sent before the limit was received: the order is unknown, so the limit stays.
    BOOST_TEST(!limits.update(limit(unlimitedPerSecond, 150, 300)));
    BOOST_TEST((limits.perSecond(endpoint) == 2.0));
    BOOST_TEST(limits.update(limit(unlimitedPerSecond, 201, 310)));
    BOOST_TEST(!limits.perSecond(endpoint));
    // Late limit from before the limit was lifted.
    BOOST_TEST(!limits.update(limit(2, 120, 199)));
    BOOST_TEST(!limits.perSecond(endpoint));
    BOOST_TEST(limits.update(limit(3, 311, 320)));
    BOOST_TEST((limits.perSecond(endpoint) == 3.0));
}

BOOST_AUTO_TEST_CASE(lower_limit_holds_immediately_and_higher_one_only_if_certainly_later)
{
    AdvertisedLimits limits;
    limits.update(limit(10, 100, 200));
    BOOST_TEST(limits.update(limit(1, 150, 180)));
    BOOST_TEST(!limits.update(limit(10, 170, 210)));
    BOOST_TEST((limits.perSecond(endpoint) == 1.0));
    BOOST_TEST(limits.update(limit(10, 181, 220)));
    BOOST_TEST((limits.perSecond(endpoint) == 10.0));
    BOOST_TEST(!limits.update(limit(1, 50, 99)));
    BOOST_TEST((limits.perSecond(endpoint) == 10.0));
}

BOOST_AUTO_TEST_CASE(merge_is_commutative)
{
    for (const auto& left : { limit(1, 10, 20), limit(5, 15, 18), limit(unlimitedPerSecond, 21, 30), limit(5, 21, 25) }) {
        for (const auto& right : { limit(1, 12, 14), limit(5, 40, 50), limit(unlimitedPerSecond, 5, 60) })
            BOOST_TEST((mergeLimits(left, right) == mergeLimits(right, left)));
    }
}

BOOST_AUTO_TEST_CASE(limit_applies_to_one_incarnation_only)
{
    AdvertisedLimits limits;
    limits.update(limit(2, 100, 200));
    BOOST_TEST(!limits.perSecond({ .id = "i-1", .born = 6 }));
    BOOST_TEST(!limits.perSecond({ .id = "i-2", .born = 5 }));
}

BOOST_AUTO_TEST_CASE(invalid_limits_are_ignored)
{
    AdvertisedLimits limits;
    for (double perSecond : { -1.0, 2 * unlimitedPerSecond, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() })
        BOOST_TEST(!limits.update(limit(perSecond, 1, 2)));
    BOOST_TEST(!limits.update({ .perSecond = 1, .sentAt = 1, .receivedAt = 2 }));
    BOOST_TEST(limits.isEmpty());
}

BOOST_AUTO_TEST_CASE(entries_to_send_rotate)
{
    AdvertisedLimits limits;
    for (int n = 0; n < 10; ++n)
        limits.update({ .endpoint = { .id = std::to_string(n) }, .perSecond = 1, .sentAt = 1, .receivedAt = 2 });
    std::map<std::string, int> sent;
    for (int n = 0; n < 5; ++n) {
        auto batch = limits.nextToSend(4);
        BOOST_TEST(batch.size() == 4U);
        for (const auto& it : batch)
            ++sent[it.endpoint.id];
    }
    BOOST_TEST(sent.size() == 10U);
    for (const auto& [id, times] : sent)
        BOOST_TEST(times == 2);
}

BOOST_AUTO_TEST_CASE(only_expired_or_unused_entries_are_removed_after_a_minute)
{
    AdvertisedLimits limits;
    limits.update(limit(2, 100, 200));
    limits.update({ .endpoint = { .id = "i-2" }, .perSecond = 1, .sentAt = 100, .receivedAt = 200 });
    auto isUsed = [](const EndpointIncarnation& life) { return life == endpoint; };
    BOOST_TEST(limits.removeExpired(60000, isUsed).empty());
    BOOST_TEST(limits.removeExpired(60201, isUsed).size() == 1U);
    BOOST_TEST((limits.perSecond(endpoint) == 2.0));
    limits.update(limit(unlimitedPerSecond, 60300, 60400));
    BOOST_TEST(limits.removeExpired(120401, isUsed).size() == 1U);
    BOOST_TEST(limits.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TimesOfReturn)

BOOST_AUTO_TEST_CASE(clients_retry_one_after_the_other)
{
    RetryDelays times;
    SteadyTime now { std::chrono::seconds(100) };
    auto earliest = now + Milliseconds(500);
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(500)));
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(750)));
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(1000)));
    BOOST_TEST((times.next("other", earliest, 4, now) == Milliseconds(500)));
    BOOST_TEST((times.next("s", now + Milliseconds(3000), 4, now + Milliseconds(3000)) == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(retry_delay_never_exceeds_maximum)
{
    RetryDelays times;
    SteadyTime now { std::chrono::seconds(100) };
    Milliseconds longest {};
    for (int n = 0; n < 100; ++n)
        longest = std::max(longest, times.next("s", now, 0.001, now));
    BOOST_TEST((longest <= RetryDelaysOptions {}.maxDelay));
    BOOST_TEST((longest > Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
