#include "modules/control/store_follower.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

// A store that answers watches at once, as its script says, and remembers how long it was asked to wait.
class ScriptedStore : public ObjectStore {
public:
    explicit ScriptedStore(std::vector<bool> answers)
        : m_answers(std::move(answers))
    {
    }

    std::vector<Milliseconds> waits {};
    std::function<void()> atEnd {};

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string&) override { co_return StorePage { .objects = { .revision = 1 } }; }

    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) override
    {
        waits.push_back(wait);
        bool answers = waits.size() <= m_answers.size() && m_answers[waits.size() - 1];
        if (waits.size() >= m_answers.size())
            atEnd();
        if (!answers)
            co_return Error { ErrorCode::Ambiguous, "no answer" };
        co_return StoreObjects { .revision = revision };
    }

    asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string&) override { co_return std::optional<StoreObject>(); }
    asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string&, const nlohmann::json&) override { co_return std::uint64_t(1); }
    asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }
    asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }

private:
    std::vector<bool> m_answers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(StoreFollowers)

// Found by the bench: a watch that began while the store said nothing waited its whole ten seconds, long after the store's return.
BOOST_AUTO_TEST_CASE(watches_are_short_after_a_failure_and_grow_again)
{
    asio::io_context context;
    ScriptedStore store({ true, true, true, false, true, true });
    store.atEnd = [&] { context.stop(); };
    StoreFollower follower(
        context, store, StoreKind::Configuration, [](const auto&, bool) {}, { .watchWait = Milliseconds(1500), .firstWait = Milliseconds(500), .firstPause = Milliseconds(1), .longestPause = Milliseconds(1) });
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run();
    std::vector<Milliseconds> expected { Milliseconds(500), Milliseconds(1000), Milliseconds(1500), Milliseconds(1500), Milliseconds(500), Milliseconds(1000) };
    // The follower goes on until it first has to wait.
    BOOST_REQUIRE_GE(store.waits.size(), expected.size());
    store.waits.resize(expected.size());
    BOOST_TEST((store.waits == expected));
}

// Found by the bench: watches that had begun before a silent outage of the store were mute for 11.5 s, and endpoints that left meanwhile got
// requests more than three seconds after their leaving had been acknowledged.
BOOST_AUTO_TEST_CASE(a_mute_watch_ends_before_nodes_are_held_to_have_heard)
{
    constexpr Milliseconds heldToHaveHeard { 3000 };
    BOOST_TEST((StoreFollowerOptions {}.watchWait < heldToHaveHeard));
}

BOOST_AUTO_TEST_SUITE_END()
