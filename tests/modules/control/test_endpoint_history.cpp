#include "modules/control/endpoint_history.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

nlohmann::json entry(int slots) { return { { "slots", slots } }; }

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointHistoryTests)

BOOST_AUTO_TEST_CASE(a_page_contains_the_changes_since_a_revision)
{
    EndpointHistory history;
    history.take({ { "a", entry(1) }, { "b", entry(1) }, { "c", entry(1) } }, 10);
    history.take({ { "a", entry(1) }, { "b", entry(2) }, { "d", entry(1) } }, 20);
    auto page = history.pageSince(10);
    BOOST_TEST(!page["whole"].get<bool>());
    BOOST_TEST(page["endpoints"].dump() == R"({"b":{"slots":2},"d":{"slots":1}})");
    BOOST_TEST(page["gone"].dump() == R"(["c"])");
    BOOST_TEST(history.pageSince(20)["endpoints"].empty());
}

BOOST_AUTO_TEST_CASE(a_page_contains_all_entries_if_the_changes_are_not_known)
{
    EndpointHistory history;
    history.take({ { "a", entry(1) } }, 10);
    BOOST_TEST(history.pageSince(0)["whole"].get<bool>());
    BOOST_TEST(history.pageSince(9)["whole"].get<bool>());
    BOOST_TEST(!history.pageSince(10)["whole"].get<bool>());
}

// Guards against a complete list for every node when nine tenths of the endpoints are removed within seconds.
BOOST_AUTO_TEST_CASE(a_page_names_all_removals_when_most_endpoints_are_removed)
{
    auto values = nlohmann::json::object();
    for (int n = 0; n < 3000; ++n)
        values["i" + std::to_string(n)] = entry(n);
    EndpointHistory history;
    history.take(values, 10);
    for (int n = 0; n < 2784; ++n)
        values.erase("i" + std::to_string(n));
    history.take(values, 20);
    auto page = history.pageSince(10);
    BOOST_TEST(!page["whole"].get<bool>());
    BOOST_TEST(page["gone"].size() == 2784U);
    BOOST_TEST(page["endpoints"].empty());
}

// The node `mixedSources` fetches pages alternately from `store` and from `thirdRevisions`, which misses intermediate revisions. All must
// end with the same entries.
BOOST_AUTO_TEST_CASE(nodes_that_fetch_from_each_other_end_with_the_same_entries)
{
    EndpointHistory store;
    EndpointHistory thirdRevisions;
    EndpointHistory mixedSources;
    auto values = nlohmann::json::object();
    unsigned conflicts = 0;
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        values["i" + std::to_string(revision % 17)] = entry(static_cast<int>(revision));
        values.erase("i" + std::to_string(revision * 7 % 17));
        store.take(values, revision);
        if (revision % 3 == 0)
            BOOST_TEST(thirdRevisions.apply(store.pageSince(thirdRevisions.revision())).value());
        if (revision % 7 == 0)
            conflicts += mixedSources.apply((revision % 2 == 0 ? store : thirdRevisions).pageSince(mixedSources.revisionToRequest())) ? 0 : 1;
    }
    thirdRevisions.apply(store.pageSince(thirdRevisions.revisionToRequest())).value();
    BOOST_TEST(!thirdRevisions.apply(store.pageSince(thirdRevisions.revisionToRequest())).value());
    BOOST_TEST(conflicts > 0U);
    // `thirdRevisions` may have missed a change that `mixedSources` has seen; then the first page is refused and `mixedSources` requests
    // all entries.
    if (!mixedSources.apply(thirdRevisions.pageSince(mixedSources.revisionToRequest())))
        BOOST_TEST(mixedSources.apply(thirdRevisions.pageSince(mixedSources.revisionToRequest())).value());
    BOOST_TEST((thirdRevisions.values() == store.values()));
    BOOST_TEST((mixedSources.values() == store.values()));
}

BOOST_AUTO_TEST_CASE(an_entry_whose_addition_and_removal_the_other_node_missed_causes_a_conflict)
{
    EndpointHistory complete;
    EndpointHistory skipping;
    EndpointHistory requester;
    complete.take({ { "a", entry(1) } }, 10);
    skipping.take({ { "a", entry(1) } }, 10);
    complete.take({ { "a", entry(1) }, { "b", entry(1) } }, 20);
    BOOST_TEST(requester.apply(complete.pageSince(0)).value());
    skipping.take({ { "a", entry(1) } }, 30);
    auto applied = requester.apply(skipping.pageSince(requester.revisionToRequest()));
    BOOST_REQUIRE(!applied);
    BOOST_TEST((applied.error().code == ErrorCode::Conflict));
    BOOST_TEST(requester.apply(skipping.pageSince(requester.revisionToRequest())).value());
    BOOST_TEST((requester.values() == skipping.values()));
}

BOOST_AUTO_TEST_CASE(a_malformed_page_is_refused)
{
    EndpointHistory history;
    for (const auto* text : { "[]", "{}", R"({"revision":-1,"whole":true,"endpoints":{},"gone":[]})", R"({"revision":3,"whole":true,"endpoints":[],"gone":[]})" })
        BOOST_TEST(!history.apply(nlohmann::json::parse(text)));
    BOOST_TEST(history.isEmpty());
}

// Guards against a fault where nodes assumed how old the changes on a page were.
BOOST_AUTO_TEST_CASE(the_time_of_a_change_is_passed_on_from_node_to_node)
{
    const SteadyTime start { std::chrono::hours(1) };
    auto take = [&](EndpointHistory& history, const std::map<std::string, nlohmann::json>& values, std::uint64_t revision, int milliseconds) {
        history.take(nlohmann::json(values), revision, start + Milliseconds(milliseconds));
    };
    EndpointHistory watcher;
    EndpointHistory relay;
    EndpointHistory member;
    take(watcher, { { "a", entry(1) }, { "b", entry(1) } }, 10, 0);
    BOOST_TEST(relay.apply(watcher.pageSince(0)).value());
    BOOST_TEST(member.apply(relay.pageSince(0)).value());
    take(watcher, { { "a", entry(2) } }, 20, 1000);
    // Each node's clock is at another time: the relay requests the page 300 ms after the change, and the member its own 500 ms later.
    PeerClock watcherClock { .requestedAt = start + std::chrono::hours(5), .peerMilliseconds = steadyMilliseconds(start + Milliseconds(1300)) };
    BOOST_TEST(relay.apply(watcher.pageSince(relay.revisionToRequest()), watcherClock).value());
    PeerClock relayClock { .requestedAt = start, .peerMilliseconds = steadyMilliseconds(start + std::chrono::hours(5) + Milliseconds(500)) };
    BOOST_TEST(member.apply(relay.pageSince(member.revisionToRequest()), relayClock).value());
    BOOST_TEST((member.removalReadAt("b") == start - Milliseconds(800)));
    BOOST_TEST((member.entries().at("a").readAt == start - Milliseconds(800)));
}

BOOST_AUTO_TEST_SUITE_END()
