#include "core/net/async_connection.h"

#include "tests/fakes/scripted_endpoint.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

namespace {

constexpr Milliseconds readTime { 300 };
constexpr Milliseconds processingTime { 1 }; // Longer than the peer takes to send as much as one read returns.
constexpr int maximumReads = 2000;
constexpr int maximumReadsInARow = 5; // One that waited in the event loop, and four that did not.

struct FloodResult {
    asio::error_code error {};
    int reads { 0 };
    int readsInARow { 0 }; // Since the event loop ran another handler.
    int mostReadsInARow { 0 };
    Milliseconds took { 0 };
};

// Connects with a receive buffer that is never empty while the peer sends.
std::shared_ptr<AsyncConnection> connectWithLargeBuffer(asio::io_context& context, const Address& peer)
{
    constexpr int receiveBufferBytes = 4U << 20U;
    asio::ip::tcp::socket socket(context, asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
    socket.connect({ asio::ip::make_address(peer.host), peer.port });
    return std::make_shared<AsyncConnection>(std::move(socket));
}

// Reads what a peer sends without end, slower than it sends, until an error or `maximumReads`.
asio::awaitable<void> readFlood(std::shared_ptr<AsyncConnection> connection, FloodResult& result)
{
    result.error = co_await connection->write("GET / HTTP/1.1\r\nHost: x\r\n\r\n", steadyNow() + readTime);
    auto start = steadyNow();
    while (!result.error && result.reads < maximumReads) {
        result.error = co_await connection->read(start + readTime);
        connection->input().clear();
        if (result.error)
            break;
        ++result.reads;
        result.mostReadsInARow = std::max(result.mostReadsInARow, ++result.readsInARow);
        for (auto until = steadyNow() + processingTime; steadyNow() < until;) { }
    }
    result.took = toMilliseconds(steadyNow() - start);
    connection->close();
}

} // namespace

BOOST_AUTO_TEST_SUITE(AsyncConnections)

// Guards against a fault where a peer that sent faster than it was read kept the thread from its other work, and the read from its deadline.
BOOST_AUTO_TEST_CASE(a_peer_that_never_stops_sending_neither_blocks_the_thread_nor_outlives_the_deadline)
{
    ScriptedEndpoint peer([](const auto&) { return ScriptedResponse { .ending = ScriptedResponse::Ending::Flood, .flood = std::string(65536, 'x'), .floodTime = Milliseconds(5000) }; });
    asio::io_context context;
    FloodResult result;
    asio::co_spawn(context, readFlood(connectWithLargeBuffer(context, peer.address()), result), asio::detached);
    // Runs in each pass of the event loop until the reading ends.
    std::function<void()> otherHandler = [&] {
        result.readsInARow = 0;
        if (result.took.count() == 0)
            asio::post(context, otherHandler);
    };
    otherHandler();
    context.run();
    BOOST_TEST(result.error == asio::error::timed_out);
    BOOST_TEST(result.reads > 10);
    BOOST_TEST(result.took.count() < 2 * readTime.count());
    BOOST_TEST(result.mostReadsInARow <= maximumReadsInARow);
}

BOOST_AUTO_TEST_SUITE_END()
