#include "core/net/async_http_client.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(AsyncHttpClients)

// Guards against a call with a timeout of 10 s that spends all of it waiting for the connection after a lost SYN.
BOOST_AUTO_TEST_CASE(a_failed_connection_attempt_ends_a_long_call_early)
{
    asio::io_context context;
    // A listening socket whose accept queue is full drops SYNs, like a network partition.
    asio::ip::tcp::acceptor fullListener(context);
    fullListener.open(asio::ip::tcp::v4());
    fullListener.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    fullListener.listen(0);
    std::vector<std::unique_ptr<asio::ip::tcp::socket>> queuedConnections;
    for (int n = 0; n < 4; ++n) {
        queuedConnections.push_back(std::make_unique<asio::ip::tcp::socket>(context));
        queuedConnections.back()->async_connect(fullListener.local_endpoint(), [](const asio::error_code&) {});
    }
    AsyncHttpClient client(context, { .host = "127.0.0.1", .port = fullListener.local_endpoint().port() });
    AsyncHttpCall call { .target = "/", .timeout = Milliseconds(10000) };
    auto began = steadyNow();
    Milliseconds duration { 0 };
    bool failed = false;
    auto run = [&]() -> asio::awaitable<void> {
        auto reply = co_await client.call(call);
        failed = !reply;
        duration = toMilliseconds(steadyNow() - began);
        context.stop();
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(failed);
    BOOST_TEST(duration.count() < 3000);
}

BOOST_AUTO_TEST_SUITE_END()
