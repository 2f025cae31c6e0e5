#include "core/net/retry_after.h"
#include "modules/forward/endpoint_notice.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const WireNames names { .receipt = "X-Receipt", .leaving = "X-Leaves", .limit = "X-Limit", .endpointFieldPrefix = "X-" };

EndpointNotice noticeFrom(int status, std::vector<HttpField> fields) { return parseNotice({ .status = status, .fields = std::move(fields) }, names); }

EndpointNotice backoffFrom(const std::string& value) { return noticeFrom(503, { { "Retry-After", value } }); }

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerNotices)

BOOST_AUTO_TEST_CASE(a_response_of_any_status_may_report_draining)
{
    for (int status : { 103, 200, 404, 500, 503 })
        BOOST_TEST(noticeFrom(status, { { "x-leaves", "1" } }).isDraining);
    BOOST_TEST((noticeFrom(200, { { "X-Leaves", "0" } }) == EndpointNotice {}));
    BOOST_TEST((noticeFrom(200, {}) == EndpointNotice {}));
    BOOST_TEST(!noticeFrom(200, { { "X-Leaves", "true" } }).isWellFormed);
    BOOST_TEST(noticeFrom(200, { { "X-Leaves", "0" }, { "X-Leaves", "1" } }).isDraining);
}

BOOST_AUTO_TEST_CASE(a_backoff_is_read_only_from_429_and_503)
{
    BOOST_TEST((backoffFrom("3").backoff == Milliseconds(3000)));
    BOOST_TEST((backoffFrom("0.25").backoff == Milliseconds(250)));
    BOOST_TEST((backoffFrom("0.0001").backoff == Milliseconds(1)));
    BOOST_TEST((backoffFrom("0").backoff == Milliseconds(0)));
    BOOST_TEST((noticeFrom(429, { { "retry-after", "2" } }).backoff == Milliseconds(2000)));
    for (int status : { 200, 404, 500, 502 })
        BOOST_TEST((noticeFrom(status, { { "Retry-After", "3" } }) == EndpointNotice {}));
}

BOOST_AUTO_TEST_CASE(out_of_range_malformed_and_repeated_retry_after_values)
{
    BOOST_TEST((backoffFrom("99999999999999999999").backoff == maximumParsedRetryAfter));
    for (const auto* value : { "", "-1", "-0.5", "nan", "inf", "1e3", "0x10", "3 s", "3,5", "+3", "Thu, 03 Dec 2026 10:00:00 GMT", "0.000000000000000000000000000000000001" }) {
        BOOST_TEST(!backoffFrom(value).backoff.has_value());
        BOOST_TEST(!backoffFrom(value).isWellFormed);
    }
    auto repeated = noticeFrom(503, { { "Retry-After", "1" }, { "Retry-After", "soon" }, { "Retry-After", "4" }, { "Retry-After", "2" } });
    BOOST_TEST((repeated.backoff == Milliseconds(4000)));
    BOOST_TEST(!repeated.isWellFormed);
}

BOOST_AUTO_TEST_CASE(a_response_of_any_status_may_advertise_a_limit)
{
    for (int status : { 103, 200, 404, 500, 503 })
        BOOST_TEST(noticeFrom(status, { { "x-limit", "1.5" } }).limitPerSecond.value_or(-1) == 1.5);
    BOOST_TEST(noticeFrom(200, { { "X-Limit", "0" } }).limitPerSecond.value_or(-1) == 0);
    BOOST_TEST(noticeFrom(200, { { "X-Limit", "3" }, { "X-Limit", "2" }, { "X-Limit", "many" } }).limitPerSecond.value_or(-1) == 2);
    for (const auto* value : { "", "-1", "nan", "inf", "1e3", "0x10", "3 a second", "+3" }) {
        auto notice = noticeFrom(200, { { "X-Limit", value } });
        BOOST_TEST(!notice.limitPerSecond.has_value());
        BOOST_TEST(notice.hasLimitField);
        BOOST_TEST(!notice.isWellFormed);
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_field_with_the_endpoint_prefix_is_reported)
{
    BOOST_TEST(noticeFrom(200, { { "X-Mood", "low" }, { "X-Sleep", "1" } }).unknownField == "X-Mood");
    BOOST_TEST((noticeFrom(200, { { "X-Receipt", "r" }, { "Y-Mood", "low" }, { "X-", "1" } }) == EndpointNotice {}));
    BOOST_TEST(noticeFrom(200, { { "X-" + std::string(1000, 'a'), "1" } }).unknownField.size() < 100);
}

BOOST_AUTO_TEST_SUITE_END()
