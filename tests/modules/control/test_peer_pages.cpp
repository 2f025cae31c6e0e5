#include "modules/control/peer_pages.h"

#include "core/deflate.h"
#include "core/net/async_http_server.h"
#include "core/net/http_status.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

constexpr std::size_t maxBytes = 1U << 20U;

nlohmann::json read(const HttpResponse& response) { return nlohmann::json::parse(decompressText(response.body, maxBytes).value()); }

} // namespace

BOOST_AUTO_TEST_SUITE(PeerPages)

BOOST_AUTO_TEST_CASE(pages_are_of_the_latest_revision)
{
    EndpointHistory history;
    PeerPageServer pages;
    BOOST_TEST(pages.answer("/endpoints?since=0", history).status == HttpStatus::notFound);
    BOOST_TEST(pages.answer("/configuration", history).status == HttpStatus::notFound);
    history.take({ { "a", 1 }, { "b", 1 } }, 10);
    BOOST_TEST(read(pages.answer("/endpoints?since=0", history))["endpoints"].size() == 2U);
    BOOST_TEST(read(pages.answer("/endpoints?since=10", history))["endpoints"].empty());
    history.take({ { "a", 1 }, { "b", 2 } }, 11);
    BOOST_TEST(read(pages.answer("/endpoints?since=10", history))["endpoints"].dump() == R"({"b":2})");
    BOOST_TEST(read(pages.answer("/endpoints?since=nonsense", history))["whole"].get<bool>());
    pages.setConfiguration(R"({"version":3})");
    BOOST_TEST(read(pages.answer("/configuration", history))["version"] == 3);
    BOOST_TEST(pages.answer("/other", history).status == HttpStatus::notFound);
}

BOOST_AUTO_TEST_CASE(a_page_states_until_when_endpoints_are_held)
{
    EndpointHistory history;
    PeerPageServer pages;
    history.take({ { "a", 1 } }, 10);
    auto now = steadyNow();
    EndpointPage page { .document = read(pages.answer("/endpoints?since=0", history, { { "b", now + Milliseconds(700) }, { "c", now + std::chrono::hours(1) } })) };
    BOOST_TEST(page.heldUntil().empty());
    page.clock = PeerClock { .requestedAt = SteadyTime(std::chrono::hours(1)), .peerMilliseconds = steadyMilliseconds(now) };
    auto held = page.heldUntil();
    BOOST_TEST((held.at("b") == SteadyTime(std::chrono::hours(1)) + Milliseconds(700)));
    // A time far in the future is not believed.
    BOOST_TEST((held.at("c") == SteadyTime(std::chrono::hours(1)) + Milliseconds(5000)));
    page.document["held_until"] = { { "b", 1e300 }, { "c", "soon" }, { "d", std::numeric_limits<std::uint64_t>::max() }, { "e", -1 } };
    BOOST_TEST((page.heldUntil() == std::map<std::string, SteadyTime> { { "e", SteadyTime(std::chrono::hours(1)) } }));
}

// Each node of a zone keeps a connection to the relay node. Guards against a limit of 64 connections: the 65th and later ones were closed
// immediately, so that 128 of these 500 requests succeeded, and a node of a zone of 75 received a configuration over three seconds late.
BOOST_AUTO_TEST_CASE(all_nodes_of_a_zone_are_served_concurrently)
{
    constexpr unsigned nodes = 250;
    asio::io_context context(1);
    EndpointHistory history;
    PeerPageServer pages;
    pages.setConfiguration(R"({"version":3})");
    AsyncHttpServer server(context, { .host = "127.0.0.1", .port = 0 }, [&](const HttpHead& head) { return pages.answer(head.target, history); });
    BOOST_REQUIRE(server.start().has_value());
    std::vector<std::unique_ptr<PeerPageClient>> clients;
    unsigned served = 0;
    unsigned finished = 0;
    auto fetchTwice = [&](PeerPageClient& client) -> asio::awaitable<void> {
        for (int times = 0; times < 2; ++times) {
            auto document = co_await client.configuration(server.address());
            served += document.is_object() ? 1 : 0;
        }
        if (++finished == nodes)
            context.stop();
    };
    for (unsigned n = 0; n < nodes; ++n) {
        clients.push_back(std::make_unique<PeerPageClient>(context));
        asio::co_spawn(context, fetchTwice(*clients.back()), asio::detached);
    }
    context.run_for(std::chrono::seconds(20));
    BOOST_TEST(served == 2 * nodes);
}

BOOST_AUTO_TEST_SUITE_END()
