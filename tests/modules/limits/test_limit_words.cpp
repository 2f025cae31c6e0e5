// Which of the words holds that nodes heard of an endpoint, in whatever order they come.
#include "modules/limits/limit_words.h"

#include "modules/limits/return_times.h"
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace Onyxnotch;

namespace {

const EndpointLife endpoint { .id = "i-1", .born = 5 };

LimitWord word(double perSecond, std::uint64_t sentAt, std::uint64_t heardAt) { return { .endpoint = endpoint, .perSecond = perSecond, .sentAt = sentAt, .heardAt = heardAt }; }

} // namespace

BOOST_AUTO_TEST_SUITE(LimitWordsOfEndpoints)

BOOST_AUTO_TEST_CASE(it_holds_until_an_answer_to_a_later_request_names_none)
{
    LimitWords words;
    BOOST_TEST(words.hear(word(2, 100, 200)));
    BOOST_TEST((words.perSecond(endpoint) == 2.0));
    // Sent before the endpoint was heard to name it.
    BOOST_TEST(!words.hear(word(unlimitedPerSecond, 150, 300)));
    BOOST_TEST((words.perSecond(endpoint) == 2.0));
    BOOST_TEST(words.hear(word(unlimitedPerSecond, 201, 310)));
    BOOST_TEST(!words.perSecond(endpoint));
    // Late words of the time before.
    BOOST_TEST(!words.hear(word(2, 120, 199)));
    BOOST_TEST(!words.perSecond(endpoint));
    BOOST_TEST(words.hear(word(3, 311, 320)));
    BOOST_TEST((words.perSecond(endpoint) == 3.0));
}

BOOST_AUTO_TEST_CASE(a_lower_one_holds_at_once_and_a_higher_one_when_it_is_certainly_later)
{
    LimitWords words;
    words.hear(word(10, 100, 200));
    BOOST_TEST(words.hear(word(1, 150, 180)));
    BOOST_TEST(!words.hear(word(10, 170, 210)));
    BOOST_TEST((words.perSecond(endpoint) == 1.0));
    BOOST_TEST(words.hear(word(10, 181, 220)));
    BOOST_TEST((words.perSecond(endpoint) == 10.0));
    BOOST_TEST(!words.hear(word(1, 50, 99)));
    BOOST_TEST((words.perSecond(endpoint) == 10.0));
}

BOOST_AUTO_TEST_CASE(joining_does_not_depend_on_the_order_of_two)
{
    for (const auto& left : { word(1, 10, 20), word(5, 15, 18), word(unlimitedPerSecond, 21, 30), word(5, 21, 25) }) {
        for (const auto& right : { word(1, 12, 14), word(5, 40, 50), word(unlimitedPerSecond, 5, 60) })
            BOOST_TEST((joinWords(left, right) == joinWords(right, left)));
    }
}

BOOST_AUTO_TEST_CASE(another_life_has_said_nothing)
{
    LimitWords words;
    words.hear(word(2, 100, 200));
    BOOST_TEST(!words.perSecond({ .id = "i-1", .born = 6 }));
    BOOST_TEST(!words.perSecond({ .id = "i-2", .born = 5 }));
}

BOOST_AUTO_TEST_CASE(numbers_that_none_can_mean_say_nothing)
{
    LimitWords words;
    for (double perSecond : { -1.0, 2 * unlimitedPerSecond, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() })
        BOOST_TEST(!words.hear(word(perSecond, 1, 2)));
    BOOST_TEST(!words.hear({ .perSecond = 1, .sentAt = 1, .heardAt = 2 }));
    BOOST_TEST(words.isEmpty());
}

BOOST_AUTO_TEST_CASE(of_many_each_is_told_in_its_turn)
{
    LimitWords words;
    for (int n = 0; n < 10; ++n)
        words.hear({ .endpoint = { .id = std::to_string(n) }, .perSecond = 1, .sentAt = 1, .heardAt = 2 });
    std::map<std::string, int> told;
    for (int n = 0; n < 5; ++n) {
        auto some = words.takeTold(4);
        BOOST_TEST(some.size() == 4U);
        for (const auto& it : some)
            ++told[it.endpoint.id];
    }
    BOOST_TEST(told.size() == 10U);
    for (const auto& [id, times] : told)
        BOOST_TEST(times == 2);
}

BOOST_AUTO_TEST_CASE(what_is_over_is_forgotten_after_a_minute_and_what_holds_is_not)
{
    LimitWords words;
    words.hear(word(2, 100, 200));
    words.hear({ .endpoint = { .id = "i-2" }, .perSecond = 1, .sentAt = 100, .heardAt = 200 });
    auto isUsed = [](const EndpointLife& life) { return life == endpoint; };
    BOOST_TEST(words.forgetOld(60000, isUsed).empty());
    BOOST_TEST(words.forgetOld(60201, isUsed).size() == 1U);
    BOOST_TEST((words.perSecond(endpoint) == 2.0));
    words.hear(word(unlimitedPerSecond, 60300, 60400));
    BOOST_TEST(words.forgetOld(120401, isUsed).size() == 1U);
    BOOST_TEST(words.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TimesOfReturn)

BOOST_AUTO_TEST_CASE(callers_come_back_one_after_the_other)
{
    ReturnTimes times;
    SteadyTime now { std::chrono::seconds(100) };
    auto earliest = now + Milliseconds(500);
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(500)));
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(750)));
    BOOST_TEST((times.next("s", earliest, 4, now) == Milliseconds(1000)));
    BOOST_TEST((times.next("other", earliest, 4, now) == Milliseconds(500)));
    BOOST_TEST((times.next("s", now + Milliseconds(3000), 4, now + Milliseconds(3000)) == Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(nobody_is_told_more_than_the_longest_time)
{
    ReturnTimes times;
    SteadyTime now { std::chrono::seconds(100) };
    Milliseconds longest {};
    for (int n = 0; n < 100; ++n)
        longest = std::max(longest, times.next("s", now, 0.001, now));
    BOOST_TEST((longest <= ReturnTimesOptions {}.longest));
    BOOST_TEST((longest > Milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
