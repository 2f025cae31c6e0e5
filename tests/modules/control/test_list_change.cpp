#include "modules/control/list_change.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(ListChangeTests)

BOOST_AUTO_TEST_CASE(reports_new_leaving_and_removed_endpoints)
{
    EndpointList before;
    for (const auto* id : { "stays", "leaves", "goes" })
        before.endpoints[id] = { .id = id };
    auto after = before;
    after.endpoints.erase("goes");
    after.endpoints["leaves"].leaving = true;
    after.endpoints["new"] = { .id = "new" };
    auto change = endpointListChange(&before, after);
    BOOST_REQUIRE(change.updated.size() == 2U);
    BOOST_TEST(change.updated[0].id == "leaves");
    BOOST_TEST(change.updated[1].id == "new");
    BOOST_REQUIRE(change.removed.size() == 1U);
    BOOST_TEST(change.removed[0].id == "goes");
    BOOST_TEST((endpointListChange(&after, after) == EndpointListChange {}));
    BOOST_TEST(endpointListChange(nullptr, before).updated.size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
