#include "modules/forward/response_memory.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

constexpr std::size_t limit = 1000; // In bytes.

// A response that records whether it was ended.
struct Response {
    Response(ResponseMemory& memory, const std::shared_ptr<EndpointState>& endpoint)
        : reservation(memory, endpoint, [this] { ++ends; })
    {
    }

    int ends { 0 };
    ResponseMemory::Reservation reservation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseMemories)

BOOST_AUTO_TEST_CASE(responses_within_the_limit_are_kept)
{
    ResponseMemory memory(limit);
    auto endpoint = std::make_shared<EndpointState>();
    Response first(memory, endpoint);
    {
        Response second(memory, endpoint);
        first.reservation.resize(600);
        second.reservation.resize(400);
        BOOST_TEST(memory.used() == limit);
        BOOST_TEST(endpoint->responseBytes == limit);
        BOOST_TEST(first.ends + second.ends == 0);
    }
    BOOST_TEST(memory.used() == 600U);
    first.reservation.resize(0);
    BOOST_TEST(memory.used() == 0U);
    BOOST_TEST(endpoint->responseBytes == 0U);
}

// Guards against the response of a sound endpoint being ended for those of another one, although it is the largest.
BOOST_AUTO_TEST_CASE(the_endpoint_with_the_most_memory_loses_its_largest_response)
{
    ResponseMemory memory(limit);
    auto sound = std::make_shared<EndpointState>();
    auto faulty = std::make_shared<EndpointState>();
    Response large(memory, sound);
    Response small(memory, faulty);
    Response medium(memory, faulty);
    large.reservation.resize(400);
    small.reservation.resize(250);
    medium.reservation.resize(350);
    Response newcomer(memory, sound);
    newcomer.reservation.resize(10);
    BOOST_TEST(medium.ends == 1);
    BOOST_TEST(large.ends + small.ends + newcomer.ends == 0);
    BOOST_TEST(memory.used() == 660U);
    BOOST_TEST(faulty->responseBytes == 250U);
}

BOOST_AUTO_TEST_CASE(a_response_that_was_ended_counts_no_more_and_is_not_ended_again)
{
    ResponseMemory memory(limit);
    Response response(memory, std::make_shared<EndpointState>());
    response.reservation.resize(limit + 1);
    BOOST_TEST(response.reservation.isEnded());
    response.reservation.resize(limit + 2);
    BOOST_TEST(response.ends == 1);
    BOOST_TEST(memory.used() == 0U);
}

BOOST_AUTO_TEST_CASE(a_lower_limit_takes_effect_when_a_response_grows)
{
    ResponseMemory memory(limit);
    auto endpoint = std::make_shared<EndpointState>();
    Response first(memory, endpoint);
    Response second(memory, endpoint);
    first.reservation.resize(600);
    second.reservation.resize(300);
    memory.setLimit(limit / 2);
    second.reservation.resize(200);
    BOOST_TEST(first.ends + second.ends == 0);
    second.reservation.resize(201);
    BOOST_TEST(first.ends == 1);
    BOOST_TEST(second.ends == 0);
}

BOOST_AUTO_TEST_SUITE_END()
