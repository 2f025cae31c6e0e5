#include "modules/control/store_follower.h"

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
    std::function<void()> onLastWatch {};

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string&) override { co_return StorePage { .objects = { .revision = 1 } }; }

    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) override
    {
        waits.push_back(wait);
        bool succeeds = waits.size() <= m_results.size() && m_results[waits.size() - 1];
        if (waits.size() >= m_results.size())
            onLastWatch();
        if (!succeeds)
            co_return Error { ErrorCode::Ambiguous, "no answer" };
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

BOOST_AUTO_TEST_SUITE_END()
