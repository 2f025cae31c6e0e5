#include "modules/traffic/traffic_view.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(TrafficConfigurationTests)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    TrafficConfiguration configuration({ .version = 1,
        .routes = { { .name = "short", .host = "H.example", .pathPrefix = "/a/" }, { .name = "long", .host = "h.example", .pathPrefix = "/a/b/" },
            { .name = "other", .host = "o.example", .pathPrefix = "/a/b/c/" } } });
    BOOST_TEST(configuration.findRoute("h.example", "/a/b/c/d")->name == "long");
    BOOST_TEST(configuration.findRoute("h.EXAMPLE:80", "/a/x")->name == "short");
    BOOST_TEST(!configuration.findRoute("h.example", "/a"));
    BOOST_TEST(!configuration.findRoute("h.example", "/ab/"));
    BOOST_TEST(!configuration.findRoute("none.example", "/a/"));
}

BOOST_AUTO_TEST_CASE(a_team_is_found_by_each_of_its_keys)
{
    TrafficConfiguration configuration({ .version = 1, .teams = { { .name = "t", .keys = { "k1", "k2" } } } });
    BOOST_TEST(configuration.findTeam("k2")->name == "t");
    BOOST_TEST(!configuration.findTeam("k3"));
    BOOST_TEST(configuration.needsKeys());
    BOOST_TEST(!TrafficConfiguration({}).needsKeys());
}

BOOST_AUTO_TEST_CASE(a_split_follows_its_weights)
{
    TrafficRoute route { .targets = { { .service = "a", .weight = 90 }, { .service = "b", .weight = 10 } } };
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < (1U << 20U); n += 1024)
        ++counts[chooseTarget(route, n)];
    BOOST_TEST(counts["a"] == 922);
    BOOST_TEST(counts["b"] == 102);
}

BOOST_AUTO_TEST_CASE(an_older_version_does_not_replace_a_newer_one)
{
    TrafficView view;
    auto version = [](std::uint64_t number) { return std::make_shared<const TrafficConfiguration>(TrafficDeclaration { .version = number }); };
    BOOST_TEST(view.offer(version(4)));
    BOOST_TEST(!view.offer(version(4)));
    BOOST_TEST(!view.offer(version(3)));
    BOOST_TEST(view.offer(version(9)));
    BOOST_TEST(view.configuration()->version() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
