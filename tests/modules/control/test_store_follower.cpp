#include "modules/control/store_follower.h"

#include "modules/control/counted_store.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

// A store whose watch calls return immediately, with success or failure as given by `results`, and which records the requested wait times.
class ScriptedStore : public ObjectStore {
public:
    explicit ScriptedStore(std::vector<bool> results)
        : m_results(std::move(results))
    {
    }

    std::vector<Milliseconds> waits {};
    ErrorCode failure { ErrorCode::Ambiguous }; // The error of watch calls that fail.
    std::function<void()> onWatch {};
    std::function<void()> onLastWatch {};

    std::vector<ReadFreshness> lists {};
    std::function<void()> onList {};

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string&, ReadFreshness freshness) override
    {
        lists.push_back(freshness);
        if (onList)
            onList();
        co_return StorePage { .objects = { .revision = 1, .objects = { { .name = "e" } } } };
    }

    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) override
    {
        waits.push_back(wait);
        if (onWatch)
            onWatch();
        bool succeeds = waits.size() <= m_results.size() && m_results[waits.size() - 1];
        if (waits.size() >= m_results.size())
            onLastWatch();
        if (!succeeds)
            co_return Error { failure, "no answer" };
        co_return StoreObjects { .revision = revision };
    }

    asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string&) override { co_return std::optional<StoreObject>(); }
    asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string&, const nlohmann::json&) override { co_return std::uint64_t(1); }
    asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }
    asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }

private:
    std::vector<bool> m_results;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreFollowers)

// Guards against a fault where a watch that began during an outage of the store lasted its full ten seconds, long after the store's return.
BOOST_AUTO_TEST_CASE(watches_are_short_after_a_failure_and_grow_again)
{
    asio::io_context context;
    ScriptedStore store({ true, true, true, false, true, true });
    store.onLastWatch = [&] { context.stop(); };
    StoreFollower follower(
        context, store, StoreKind::Configuration, [](const auto&, bool) {}, { .maxWatchWait = Milliseconds(1500), .initialWatchWait = Milliseconds(500), .initialRetryDelay = Milliseconds(1), .maxRetryDelay = Milliseconds(1) });
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run();
    std::vector<Milliseconds> expected { Milliseconds(500), Milliseconds(1000), Milliseconds(1500), Milliseconds(1500), Milliseconds(500), Milliseconds(1000) };
    // The follower may make further calls until it first has to wait.
    BOOST_REQUIRE_GE(store.waits.size(), expected.size());
    store.waits.resize(expected.size());
    BOOST_TEST((store.waits == expected));
}

// Guards against a fault where watches that began before an outage in which the store stopped responding got no response for 11.5 s, and
// endpoints that announced during it that they were shutting down received requests more than three seconds after the acknowledgement.
BOOST_AUTO_TEST_CASE(an_unanswered_watch_ends_before_nodes_are_assumed_to_have_received_a_change)
{
    constexpr Milliseconds propagationTime { 3000 };
    BOOST_TEST((StoreFollowerOptions {}.maxWatchWait < propagationTime));
}

namespace {

// Watches a store whose second watch is cut. Returns when the store had last failed after the third call, which responds as given.
SteadyTime lastFailureAfterACutWatch(bool respondsAfterCut)
{
    asio::io_context context;
    ScriptedStore store({ true, false, respondsAfterCut, true });
    store.failure = ErrorCode::Disconnected;
    StoreFollower follower(
        context, store, StoreKind::Endpoints, [](const auto&, bool) {}, { .initialRetryDelay = Milliseconds(1), .maxRetryDelay = Milliseconds(1) });
    std::vector<bool> unknown;
    std::vector<SteadyTime> failures;
    store.onWatch = [&] {
        unknown.push_back(follower.availabilityUnknown());
        failures.push_back(follower.lastFailure());
    };
    store.onLastWatch = [&] { context.stop(); };
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run();
    std::vector<bool> expected { false, false, true, false };
    BOOST_REQUIRE_GE(unknown.size(), expected.size());
    unknown.resize(expected.size());
    BOOST_TEST((unknown == expected));
    BOOST_TEST((store.waits[2] == Milliseconds(0)));
    return failures[expected.size() - 1];
}

} // namespace

// Guards against a fault where a watch that the store cut counted as an outage, during which endpoints stay listed without an entry.
BOOST_AUTO_TEST_CASE(a_cut_watch_is_a_failure_only_if_the_store_does_not_respond_to_the_next_call)
{
    BOOST_TEST((lastFailureAfterACutWatch(true) == SteadyTime {}));
    BOOST_TEST((lastFailureAfterACutWatch(false) != SteadyTime {}));
}

// Guards against a node that follows changes from a list whose revision and objects need not fit each other.
BOOST_AUTO_TEST_CASE(a_first_list_that_may_be_old_is_not_watched_from)
{
    asio::io_context context;
    ScriptedStore store({ true });
    store.onLastWatch = [&] { context.stop(); };
    unsigned received = 0;
    bool isConnectedAtFirstList = true;
    std::unique_ptr<StoreFollower> follower;
    auto receiver = [&](const auto& objects, bool) {
        if (received++ == 0)
            isConnectedAtFirstList = follower->connected();
        BOOST_TEST(objects.size() == 1U);
    };
    follower = std::make_unique<StoreFollower>(context, store, StoreKind::Endpoints, receiver, StoreFollowerOptions { .idlePollInterval = Milliseconds(1) });
    follower->acceptOldFirstList();
    asio::co_spawn(context, follower->run(), asio::detached);
    context.run();
    std::vector<ReadFreshness> expected { ReadFreshness::MayBeOld, ReadFreshness::Latest };
    BOOST_TEST((store.lists == expected));
    BOOST_TEST(received == 2U);
    BOOST_TEST(!isConnectedAtFirstList);
}

// Guards against a watch call of every node at a start, before it knows whether others watch.
BOOST_AUTO_TEST_CASE(a_watch_waits_until_it_is_decided_whether_this_node_watches)
{
    asio::io_context context;
    ScriptedStore store({ true });
    store.onLastWatch = [&] { context.stop(); };
    StoreFollower follower(
        context, store, StoreKind::Endpoints, [](const auto&, bool) {}, { .undecidedPollInterval = Milliseconds(1) });
    unsigned asked = 0;
    std::size_t watchesWhileUndecided = 0;
    follower.setFollowCondition([&]() -> std::optional<bool> {
        if (++asked >= 5)
            return true;
        watchesWhileUndecided = store.waits.size();
        return std::nullopt;
    });
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run();
    BOOST_TEST(watchesWhileUndecided == 0U);
    BOOST_TEST(asked >= 5U);
    BOOST_TEST(store.lists.size() == 1U);
}

// Guards against calls of all watchers of a fleet for each change that the first one passes on already.
BOOST_AUTO_TEST_CASE(a_replacement_watches_for_longer_and_becomes_quick_when_it_is_the_first)
{
    asio::io_context context;
    ScriptedStore store({ true, true, true, true, true });
    store.onLastWatch = [&] { context.stop(); };
    StoreFollower follower(
        context, store, StoreKind::Endpoints, [](const auto&, bool) {}, { .maxWatchWait = Milliseconds(1000), .initialWatchWait = Milliseconds(500), .replacementWatchWait = Milliseconds(4000) });
    follower.setIsReplacement([&] { return store.waits.size() < 4; });
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run();
    std::vector<Milliseconds> expected { Milliseconds(500), Milliseconds(1000), Milliseconds(2000), Milliseconds(4000), Milliseconds(1000) };
    BOOST_REQUIRE_GE(store.waits.size(), expected.size());
    store.waits.resize(expected.size());
    BOOST_TEST((store.waits == expected));
}

// Each call has a price; nothing told which ones a node makes.
BOOST_AUTO_TEST_CASE(calls_are_counted_by_kind_and_call)
{
    asio::io_context context;
    auto scripted = std::make_unique<ScriptedStore>(std::vector<bool> { true });
    scripted->onLastWatch = [] {};
    Metrics metrics;
    CountedStore store(std::move(scripted), metrics);
    auto use = [&]() -> asio::awaitable<void> {
        auto nodes = co_await store.listPage(StoreKind::Nodes, {}, ReadFreshness::Latest);
        auto endpoints = co_await store.listPage(StoreKind::Endpoints, {}, ReadFreshness::MayBeOld);
        auto endpointsAgain = co_await store.listPage(StoreKind::Endpoints, {}, ReadFreshness::MayBeOld);
        auto changes = co_await store.watch(StoreKind::Configuration, 1, Milliseconds(1));
        BOOST_TEST((nodes && endpoints && endpointsAgain && changes));
    };
    asio::co_spawn(context, use(), asio::detached);
    context.run();
    auto text = metrics.serialize();
    auto contains = [&](const std::string& part) { return text.find(part) != std::string::npos; };
    BOOST_TEST(contains(R"(onyxnotch_entry_store_calls_total{call="list",freshness="may_be_old",kind="endpoints"} 2)"));
    BOOST_TEST(contains(R"(onyxnotch_entry_store_calls_total{call="list",freshness="latest",kind="nodes"} 1)"));
    BOOST_TEST(contains(R"(onyxnotch_entry_store_calls_total{call="watch",freshness="latest",kind="configuration"} 1)"));
}

BOOST_AUTO_TEST_SUITE_END()
