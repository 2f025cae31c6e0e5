#include "modules/traffic/draining_list.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(MarkedLists)

// Guards against late replacements: the component that orders them read only the store's entries, which stayed "ready" while the store was
// unreachable.
BOOST_AUTO_TEST_CASE(an_endpoint_that_reports_draining_is_marked)
{
    auto list = std::make_shared<EndpointList>();
    list->endpoints["a"] = { .id = "a", .born = 1 };
    list->endpoints["b"] = { .id = "b", .born = 1, .leaving = true };
    auto marked = withDrainingEndpoints(list, { { .id = "a", .born = 1 } });
    BOOST_TEST(marked->endpoints.at("a").leaving);
    BOOST_TEST(!list->endpoints.at("a").leaving);
    // Another incarnation, an endpoint already marked as draining, and an endpoint that is not listed.
    BOOST_TEST((withDrainingEndpoints(list, { { .id = "a", .born = 2 }, { .id = "b", .born = 1 }, { .id = "c", .born = 1 } }) == list));
    BOOST_TEST(!withDrainingEndpoints(nullptr, { { .id = "a", .born = 1 } }));
}

BOOST_AUTO_TEST_SUITE_END()
