#include "core/net/retry_after.h"
#include "modules/forward/answer_notice.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const WireNames names { .receipt = "X-Receipt", .leaving = "X-Leaves", .limit = "X-Limit", .endpointFamily = "X-" };

AnswerNotice noticeOf(int status, std::vector<HttpField> fields) { return readNotice({ .status = status, .fields = std::move(fields) }, names); }

AnswerNotice restOf(const std::string& value) { return noticeOf(503, { { "Retry-After", value } }); }

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerNotices)

BOOST_AUTO_TEST_CASE(an_answer_of_any_status_may_say_that_its_endpoint_leaves)
{
    for (int status : { 103, 200, 404, 500, 503 })
        BOOST_TEST(noticeOf(status, { { "x-leaves", "1" } }).leaves);
    BOOST_TEST((noticeOf(200, { { "X-Leaves", "0" } }) == AnswerNotice {}));
    BOOST_TEST((noticeOf(200, {}) == AnswerNotice {}));
    BOOST_TEST(!noticeOf(200, { { "X-Leaves", "true" } }).isUnderstood);
    BOOST_TEST(noticeOf(200, { { "X-Leaves", "0" }, { "X-Leaves", "1" } }).leaves);
}

BOOST_AUTO_TEST_CASE(a_rest_is_asked_for_by_who_turns_a_request_away)
{
    BOOST_TEST((restOf("3").rest == Milliseconds(3000)));
    BOOST_TEST((restOf("0.25").rest == Milliseconds(250)));
    BOOST_TEST((restOf("0.0001").rest == Milliseconds(1)));
    BOOST_TEST((restOf("0").rest == Milliseconds(0)));
    BOOST_TEST((noticeOf(429, { { "retry-after", "2" } }).rest == Milliseconds(2000)));
    for (int status : { 200, 404, 500, 502 })
        BOOST_TEST((noticeOf(status, { { "Retry-After", "3" } }) == AnswerNotice {}));
}

BOOST_AUTO_TEST_CASE(what_is_odd_has_a_rule)
{
    BOOST_TEST((restOf("99999999999999999999").rest == longestRetryAfter));
    for (const auto* value : { "", "-1", "-0.5", "nan", "inf", "1e3", "0x10", "3 s", "3,5", "+3", "Thu, 03 Dec 2026 10:00:00 GMT", "0.000000000000000000000000000000000001" }) {
        BOOST_TEST(!restOf(value).rest.has_value());
        BOOST_TEST(!restOf(value).isUnderstood);
    }
    auto several = noticeOf(503, { { "Retry-After", "1" }, { "Retry-After", "soon" }, { "Retry-After", "4" }, { "Retry-After", "2" } });
    BOOST_TEST((several.rest == Milliseconds(4000)));
    BOOST_TEST(!several.isUnderstood);
}

BOOST_AUTO_TEST_CASE(an_answer_of_any_status_may_name_a_limit)
{
    for (int status : { 103, 200, 404, 500, 503 })
        BOOST_TEST(noticeOf(status, { { "x-limit", "1.5" } }).limitPerSecond.value_or(-1) == 1.5);
    BOOST_TEST(noticeOf(200, { { "X-Limit", "0" } }).limitPerSecond.value_or(-1) == 0);
    BOOST_TEST(noticeOf(200, { { "X-Limit", "3" }, { "X-Limit", "2" }, { "X-Limit", "many" } }).limitPerSecond.value_or(-1) == 2);
    for (const auto* value : { "", "-1", "nan", "inf", "1e3", "0x10", "3 a second", "+3" }) {
        auto notice = noticeOf(200, { { "X-Limit", value } });
        BOOST_TEST(!notice.limitPerSecond.has_value());
        BOOST_TEST(notice.namesLimit);
        BOOST_TEST(!notice.isUnderstood);
    }
}

BOOST_AUTO_TEST_CASE(a_field_of_the_family_that_means_nothing_here_is_seen)
{
    BOOST_TEST(noticeOf(200, { { "X-Mood", "low" }, { "X-Sleep", "1" } }).unknownField == "X-Mood");
    BOOST_TEST((noticeOf(200, { { "X-Receipt", "r" }, { "Y-Mood", "low" }, { "X-", "1" } }) == AnswerNotice {}));
    BOOST_TEST(noticeOf(200, { { "X-" + std::string(1000, 'a'), "1" } }).unknownField.size() < 100);
}

BOOST_AUTO_TEST_SUITE_END()
