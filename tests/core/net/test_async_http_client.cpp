#include "core/net/async_http_client.h"

#include "tests/fakes/scripted_endpoint.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

namespace {

struct CallResult {
    bool succeeded { false };
    ErrorCode error {};
    Milliseconds took { 0 };
};

// Calls a server that sends `bytes` and then `flood` without end.
CallResult callFlood(const std::string& bytes, const std::string& flood, Milliseconds timeout)
{
    ScriptedEndpoint server([&](const auto&) { return ScriptedResponse { .bytes = bytes, .ending = ScriptedResponse::Ending::Flood, .flood = flood, .floodTime = Milliseconds(5000) }; });
    asio::io_context context;
    AsyncHttpClient client(context, server.address());
    AsyncHttpCall call { .target = "/", .timeout = timeout, .maximumReplyBytes = 1U << 20U };
    CallResult result;
    auto start = steadyNow();
    auto run = [&]() -> asio::awaitable<void> {
        auto reply = co_await client.call(call);
        result = { .succeeded = reply.has_value(), .error = reply ? ErrorCode {} : reply.error().code, .took = toMilliseconds(steadyNow() - start) };
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
}

} // namespace

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

// Guards against a fault where the reply of a server that never stopped sending was kept without a limit until the call's timeout.
BOOST_AUTO_TEST_CASE(a_reply_without_end_is_refused_at_its_size_limit)
{
    constexpr Milliseconds timeout { 3000 };
    const std::string noise(65536, 'x');
    for (const auto* head : { "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ", "" }) {
        BOOST_TEST_CONTEXT(head)
        {
            auto result = callFlood(head, noise, timeout);
            BOOST_TEST(!result.succeeded);
            BOOST_TEST((result.error == ErrorCode::Ambiguous));
            BOOST_TEST(result.took.count() < timeout.count() / 2);
        }
    }
}

// Guards against an interim response being taken for the reply, and its reply for that of the next call.
BOOST_AUTO_TEST_CASE(interim_responses_are_skipped)
{
    ScriptedEndpoint server([](const auto& it) {
        auto name = it.head.target.substr(1);
        return ScriptedResponse { .bytes = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(name.size()) + "\r\n\r\n" + name };
    });
    asio::io_context context;
    AsyncHttpClient client(context, server.address());
    std::vector<std::string> replies;
    auto run = [&]() -> asio::awaitable<void> {
        for (const std::string name : { "first", "second" }) {
            AsyncHttpCall call { .target = "/" + name };
            auto reply = co_await client.call(call);
            replies.push_back(reply && reply.value().status() == 200 ? reply.value().body : "none");
        }
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    BOOST_TEST(replies == (std::vector<std::string> { "first", "second" }), boost::test_tools::per_element());
}

// Guards against a call that goes on for as long as interim responses come.
BOOST_AUTO_TEST_CASE(interim_responses_without_end_are_an_error)
{
    constexpr Milliseconds timeout { 3000 };
    auto result = callFlood("", "HTTP/1.1 103 Early Hints\r\n\r\n", timeout);
    BOOST_TEST(!result.succeeded);
    BOOST_TEST(result.took.count() < timeout.count() / 2);
}

// Guards against a server that keeps a call going past its timeout by sending a little now and then.
BOOST_AUTO_TEST_CASE(a_reply_that_trickles_ends_at_the_timeout)
{
    constexpr Milliseconds timeout { 300 };
    auto result = callFlood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;a\r\nx\r\n", timeout);
    BOOST_TEST(!result.succeeded);
    BOOST_TEST(result.took.count() < 2 * timeout.count());
}

// Guards against a reply whose head ends in the middle being taken for a complete one with an empty body.
BOOST_AUTO_TEST_CASE(a_reply_whose_head_is_cut_short_is_an_error)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    for (auto ending : { ScriptedResponse::Ending::Close, ScriptedResponse::Ending::Reset }) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            ScriptedEndpoint server([&](const auto&) { return ScriptedResponse { .bytes = head.substr(0, size), .ending = ending }; });
            asio::io_context context;
            AsyncHttpClient client(context, server.address());
            AsyncHttpCall call { .target = "/" };
            bool succeeded = true;
            auto run = [&]() -> asio::awaitable<void> {
                auto reply = co_await client.call(call);
                succeeded = reply.has_value();
            };
            asio::co_spawn(context, run(), asio::detached);
            context.run();
            BOOST_TEST(!succeeded, "after " << size << " bytes");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
