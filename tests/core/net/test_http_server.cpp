#include "core/net/http_server.h"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(HttpServerTests)

// Found by a loop of the promises beside load: a gateway that left ended between the making of its last answer and its writing, and the
// caller saw the connection close: 2 of 76 plays of AtMostOnce/a_call_in_flight_when_its_gateway_leaves beside load.
BOOST_AUTO_TEST_CASE(what_an_answer_holds_is_let_go_after_it_was_written)
{
    // More than the buffers of both ends hold, so that it cannot be written before the caller reads.
    constexpr std::size_t bodyBytes = 64U << 20U;
    std::promise<std::weak_ptr<void>> made;
    HttpServer server({});
    server.route("GET", "/large", [&](const HttpRequest&) {
        auto token = std::make_shared<int>(0);
        made.set_value(token);
        return HttpResponse { .body = std::string(bodyBytes, 'x'), .releasedWhenWritten = token };
    });
    BOOST_REQUIRE(server.start());
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(server.address().host), server.address().port });
    asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
    auto held = made.get_future().get();
    // The first bytes are here: the handler has returned, and most of the answer is still to be written.
    std::string bytes(1, ' ');
    asio::read(socket, asio::buffer(bytes));
    BOOST_TEST(!held.expired());
    std::string rest(1U << 20U, ' ');
    std::size_t total = bytes.size();
    asio::error_code ec;
    while (!ec)
        total += socket.read_some(asio::buffer(rest), ec);
    BOOST_TEST(total > bodyBytes);
    server.stop();
    BOOST_TEST(held.expired());
}

BOOST_AUTO_TEST_SUITE_END()
