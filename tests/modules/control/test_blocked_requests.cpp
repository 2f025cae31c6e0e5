// Tests that blocked requests are stored once, removed again, stored after an outage of the store, and read at the start.
#include "modules/control/blocked_requests.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace Onyxnotch;

namespace {

// An in-memory store that holds objects by name, with revisions. Fails the first `failuresLeft` calls of listPage() and read().
class MemoryStore : public ObjectStore {
public:
    std::map<std::string, StoreObject> objects {};
    unsigned failuresLeft { 0 }; // Number of next calls that fail.
    unsigned writes { 0 };

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string&, ReadFreshness) override
    {
        if (shouldFail())
            co_return Error { ErrorCode::Unavailable, "away" };
        StorePage page { .objects = { .revision = 1 } };
        for (const auto& [name, object] : objects)
            page.objects.objects.push_back(object);
        co_return page;
    }

    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t, Milliseconds) override { co_return StoreObjects {}; }

    asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string& name) override
    {
        if (shouldFail())
            co_return Error { ErrorCode::Unavailable, "away" };
        auto it = objects.find(name);
        co_return it == objects.end() ? std::optional<StoreObject>() : std::optional(it->second);
    }

    asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string& name, const nlohmann::json& value) override { co_return put(name, 0, value); }
    asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& value) override { co_return put(name, revision, value); }
    asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string&, std::uint64_t, const nlohmann::json&) override { co_return std::uint64_t(1); }

private:
    bool shouldFail() { return failuresLeft > 0 && failuresLeft-- > 0; }

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
// Its content hash differs by 256, the number of store objects, so that it is assigned to the same object.
constexpr RequestDigest requestInSameSlot { .team = 4, .content = 77 + 256 };

const BlockedRequestsOptions shortDelays { .initialRetryDelay = Milliseconds(1), .maxRetryDelay = Milliseconds(2) };

// Runs a new BlockedRequests for `time` and returns the requests that it read from the store at its start.
std::vector<StoredBlockedRequest> runFor(MemoryStore& store, Milliseconds time, const std::function<void(BlockedRequests&)>& action)
{
    asio::io_context context;
    std::vector<StoredBlockedRequest> read;
    BlockedRequests blocked(
        context, store, [&](std::vector<StoredBlockedRequest> found) { read = std::move(found); }, shortDelays);
    asio::co_spawn(context, blocked.run(), asio::detached);
    action(blocked);
    context.run_for(time);
    return read;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BlockedRequestsInStore)

BOOST_AUTO_TEST_CASE(a_request_stored_by_one_node_is_read_by_another_at_its_start)
{
    MemoryStore store;
    StoredBlockedRequest blockedRequest { .request = request, .round = 1, .blockedAt = 5000 };
    runFor(store, Milliseconds(100), [&](auto& it) { it.keep(blockedRequest); });
    auto read = runFor(store, Milliseconds(100), [](auto&) {});
    BOOST_REQUIRE(read.size() == 1U);
    BOOST_TEST((read[0] == blockedRequest));
}

BOOST_AUTO_TEST_CASE(a_request_from_several_nodes_is_written_once_and_again_for_a_later_round)
{
    MemoryStore store;
    for (int n = 0; n < 3; ++n)
        runFor(store, Milliseconds(60), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    BOOST_TEST(store.writes == 1U);
    runFor(store, Milliseconds(60), [&](auto& it) { it.keep({ .request = request, .round = 1, .blockedAt = 9000 }); });
    BOOST_TEST(store.writes == 2U);
}

BOOST_AUTO_TEST_CASE(removal_deletes_a_request_but_not_another_one_in_the_same_slot)
{
    MemoryStore store;
    runFor(store, Milliseconds(100), [&](auto& it) {
        it.keep({ .request = request, .blockedAt = 5000 });
        it.drop(request);
    });
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).empty());
    runFor(store, Milliseconds(100), [&](auto& it) {
        it.keep({ .request = requestInSameSlot, .blockedAt = 5000 });
        it.drop(request);
    });
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_is_stored_when_the_store_is_available_again)
{
    MemoryStore store;
    store.failuresLeft = 6;
    runFor(store, Milliseconds(500), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    BOOST_TEST(store.writes == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_objects_do_not_prevent_reading_others)
{
    MemoryStore store;
    runFor(store, Milliseconds(100), [&](auto& it) { it.keep({ .request = request, .blockedAt = 5000 }); });
    store.objects["slot-1"] = { .name = "slot-1", .revision = 1, .value = { { "team", "no number" } } };
    store.objects["slot-2"] = { .name = "slot-2", .revision = 1, .value = 5 };
    BOOST_TEST(runFor(store, Milliseconds(60), [](auto&) {}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
