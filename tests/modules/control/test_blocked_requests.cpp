// Blocked requests in the store: kept once, dropped where they are, kept after an outage, and read at the start.
#include "modules/control/blocked_requests.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace Onyxnotch;

namespace {

// Objects by name with revisions; refuses its first calls as it is told.
class KeptObjects : public ObjectStore {
public:
    std::map<std::string, StoreObject> objects {};
    unsigned refusals { 0 }; // Calls that are still to be refused.
    unsigned writes { 0 };

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string&) override
    {
        if (refuses())
            co_return Error { ErrorCode::Unavailable, "away" };
        StorePage page { .objects = { .revision = 1 } };
        for (const auto& [name, object] : objects)
            page.objects.objects.push_back(object);
        co_return page;
    }

    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t, Milliseconds) override { co_return StoreObjects {}; }

    asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string& name) override
    {
        if (refuses())
            co_return Error { ErrorCode::Unavailable, "away" };
        auto it = objects.find(name);
        co_return it == objects.end() ? std::optional<StoreObject>() : std::optional(it->second);
    }

    asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string& name, const nlohmann::json& value) override { co_return put(name, 0, value); }
    asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& value) override { co_return put(name, revision, value); }
    asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }

private:
    bool refuses() { return refusals > 0 && refusals-- > 0; }

    Result<std::uint64_t> put(const std::string& name, std::uint64_t revision, const nlohmann::json& value)
    {
        auto& object = objects[name];
        if (object.revision != revision)
            return Error { ErrorCode::Conflict, "another revision" };
        ++writes;
        object = { .name = name, .revision = revision + 1, .value = value };
        return object.revision;
    }
};

constexpr RequestDigest request { .team = 3, .content = 77 };
// 256 objects further on: the same place.
constexpr RequestDigest neighbour { .team = 4, .content = 77 + 256 };

const BlockedRequestsOptions quick { .shortestPause = Milliseconds(1), .longestPause = Milliseconds(2) };

// Runs a node's part for a while; returns what it read at its start.
std::vector<KeptRequest> runFor(KeptObjects& store, Milliseconds time, const std::function<void(BlockedRequests&)>& work)
{
    asio::io_context context;
    std::vector<KeptRequest> read;
    BlockedRequests blocked(
        context, store, [&](std::vector<KeptRequest> kept) { read = std::move(kept); }, quick);
    asio::co_spawn(context, blocked.run(), asio::detached);
    work(blocked);
    context.run_for(time);
    return read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BlockedRequestsInStore)

BOOST_AUTO_TEST_CASE(what_one_node_keeps_another_one_reads_at_its_start)
{
    KeptObjects store;
    KeptRequest kept { .request = request, .round = 1, .blockedAt = 5000 };
    runFor(store, Milliseconds(100), [&](auto& it) { it.keep(kept); });
    auto read = runFor(store, Milliseconds(100), [](auto&) {});
    BOOST_REQUIRE(read.size() == 1U);
    BOOST_TEST((read[0] == kept));
}

BOOST_AUTO_TEST_CASE(several_nodes_write_it_once_and_a_later_round_again)
{
    KeptObjects store;
    for (int n = 0; n < 3; ++n)
        runFor(store, Milliseconds(60), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    BOOST_TEST(store.writes == 1U);
    runFor(store, Milliseconds(60), [&](auto& it) { it.keep({ .request = request, .round = 1, .blockedAt = 9000 }); });
    BOOST_TEST(store.writes == 2U);
}

BOOST_AUTO_TEST_CASE(what_was_dropped_is_gone_and_another_one_in_its_place_stays)
{
    KeptObjects store;
    runFor(store, Milliseconds(100), [&](auto& it) {
        it.keep({ .request = request, .blockedAt = 5000 });
        it.drop(request);
    });
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).empty());
    runFor(store, Milliseconds(100), [&](auto& it) {
        it.keep({ .request = neighbour, .blockedAt = 5000 });
        it.drop(request);
    });
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(it_is_kept_once_the_store_is_back)
{
    KeptObjects store;
    store.refusals = 6;
    runFor(store, Milliseconds(500), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    BOOST_TEST(store.writes == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_cannot_be_read_costs_no_other)
{
    KeptObjects store;
    runFor(store, Milliseconds(100), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    store.objects["slot-1"] = { .name = "slot-1", .revision = 1, .value = { { "team", "no number" } } };
    store.objects["slot-2"] = { .name = "slot-2", .revision = 1, .value = 5 };
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
