#include "core/net/async_http_client.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(AsyncHttpClients)

// Found by the bench: a call that may last ten seconds spent them on a lost opening packet.
BOOST_AUTO_TEST_CASE(a_connection_that_does_not_come_up_ends_a_long_call_early)
{
    asio::io_context context;
    // A full queue of new connections drops opening packets, as a cut does.
    asio::ip::tcp::acceptor full(context);
    full.open(asio::ip::tcp::v4());
    full.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    full.listen(0);
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> waiting;
    for (int n = 0; n < 4; ++n) {
        waiting.push_back(std::make_unique<asio::ip::tcp::socket>(context));
        waiting.back()->async_connect(full.local_endpoint(), [](const asio::error_code&) {});
    }
    AsyncHttpClient client(context, { .host = "127.0.0.1", .port = full.local_endpoint().port() });
    AsyncHttpCall call { .target = "/", .timeout = Milliseconds(10000) };
    auto began = steadyNow();
    Milliseconds took { 0 };
    bool failed = false;
    auto run = [&]() -> asio::awaitable<void> {
        auto reply = co_await client.call(call);
        failed = !reply;
        took = toMilliseconds(steadyNow() - began);
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(failed);
    BOOST_TEST(took.count() < 3000);
}

BOOST_AUTO_TEST_SUITE_END()
