#include "modules/routing/endpoint_subset.h"
#include <boost/test/unit_test.hpp>
#include <set>

using namespace Onyxnotch;

namespace {

std::vector<Endpoint> endpointsOf(unsigned count, const std::string& model)
{
    std::vector<Endpoint> endpoints;
    for (unsigned n = 0; n < count; ++n)
        endpoints.push_back({ .id = model + "-" + std::to_string(n), .model = model });
    return endpoints;
}

std::set<std::string> idsOf(const std::vector<Endpoint>& endpoints)
{
    std::set<std::string> ids;
    for (const auto& it : endpoints)
        ids.insert(it.id);
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointSubsets)

BOOST_AUTO_TEST_CASE(a_subset_is_bounded_for_each_model_and_complete_for_few_endpoints)
{
    auto endpoints = endpointsOf(500, "a");
    auto fewEndpoints = endpointsOf(3, "b");
    endpoints.insert(endpoints.end(), fewEndpoints.begin(), fewEndpoints.end());
    endpoints.push_back({ .id = "still-loading" });
    BOOST_CHECK_EQUAL(chooseSubset(endpoints, "node", 64).size(), 64 + 3);
    BOOST_CHECK(chooseSubset(endpoints, "node", 64) == chooseSubset(endpoints, "node", 64));
    BOOST_CHECK(idsOf(chooseSubset(endpoints, "node", 64)) != idsOf(chooseSubset(endpoints, "other", 64)));
}

BOOST_AUTO_TEST_CASE(losing_an_endpoint_replaces_only_that_endpoint)
{
    auto endpoints = endpointsOf(500, "a");
    auto before = idsOf(chooseSubset(endpoints, "node", 64));
    auto lost = *before.begin();
    std::erase_if(endpoints, [&](const Endpoint& it) { return it.id == lost; });
    auto after = idsOf(chooseSubset(endpoints, "node", 64));
    before.erase(lost);
    BOOST_CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
    BOOST_CHECK_EQUAL(after.size(), 64);
}

BOOST_AUTO_TEST_CASE(many_nodes_cover_every_endpoint_about_evenly)
{
    auto endpoints = endpointsOf(260, "a");
    std::map<std::string, unsigned> gateways;
    for (unsigned n = 0; n < 100; ++n) {
        for (const auto& it : chooseSubset(endpoints, "node-" + std::to_string(n), 64))
            ++gateways[it.id];
    }
    BOOST_CHECK_EQUAL(gateways.size(), endpoints.size());
    for (const auto& [id, count] : gateways)
        BOOST_CHECK(count >= 8 && count <= 45);
}

BOOST_AUTO_TEST_SUITE_END()
