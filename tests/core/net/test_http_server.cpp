#include "core/net/http_server.h"

#include "core/net/http_client.h"
#include "tests/fakes/scripted_endpoint.h"
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(HttpServerTests)

// Guards against a gateway that exits after it has computed its last response but before the response is written, so that the client sees
// the connection close. Happened in 2 of 76 runs of AtMostOnce/a_call_in_flight_when_its_gateway_leaves under load.
BOOST_AUTO_TEST_CASE(until_written_is_released_after_the_response_was_written)
{
    // More than fits into the socket buffers of both sides, so that the response cannot be written completely before the client reads.
    constexpr std::size_t bodyBytes = 64U << 20U;
    std::promise<std::weak_ptr<void>> handlerRan;
    HttpServer server({});
    server.route("GET", "/large", [&](const HttpRequest&) {
        auto token = std::make_shared<int>(0);
        handlerRan.set_value(token);
        return HttpResponse { .body = std::string(bodyBytes, 'x'), .releasedWhenWritten = token };
    });
    BOOST_REQUIRE(server.start());
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::make_address(server.address().host), server.address().port });
    asio::write(socket, asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")));
    auto weakToken = handlerRan.get_future().get();
    // The first byte has arrived: the handler has returned, and most of the response has not been written yet.
    std::string bytes(1, ' ');
    asio::read(socket, asio::buffer(bytes));
    BOOST_TEST(!weakToken.expired());
    std::string buf(1U << 20U, ' ');
    std::size_t total = bytes.size();
    asio::error_code ec;
    while (!ec)
        total += socket.read_some(asio::buffer(buf), ec);
    BOOST_TEST(total > bodyBytes);
    server.stop();
    BOOST_TEST(weakToken.expired());
}

// Guards against bodies that the library reads to their end, however long they are: chunked, declared too long, and without a handler.
BOOST_AUTO_TEST_CASE(a_body_without_end_is_refused_at_its_size_limit)
{
    constexpr std::size_t limit = 1U << 20U;
    constexpr std::size_t maximumSent = 16 * limit;
    HttpServer server({ .maximumBodyBytes = limit });
    unsigned handled = 0;
    server.route("POST", "/a", [&](const HttpRequest&) {
        ++handled;
        return HttpResponse {};
    });
    BOOST_REQUIRE(server.start());
    for (const auto* head : { "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900000000000\r\n\r\n", "POST /other HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" }) {
        BOOST_TEST_CONTEXT(head)
        {
            asio::io_context context;
            asio::ip::tcp::socket socket(context);
            socket.connect({ asio::ip::make_address(server.address().host), server.address().port });
            asio::write(socket, asio::buffer(std::string(head)));
            const std::string chunk = "10000\r\n" + std::string(65536, 'x') + "\r\n";
            asio::error_code ec;
            std::size_t sent = 0;
            while (!ec && sent < maximumSent)
                sent += asio::write(socket, asio::buffer(chunk), ec);
            BOOST_TEST(sent < maximumSent);
        }
    }
    BOOST_TEST(handled == 0U);
    server.stop();
}

// Guards against a response whose head ends in the middle being taken for a complete one, by calls and by streams.
BOOST_AUTO_TEST_CASE(a_response_whose_head_is_cut_short_is_an_error)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n";
    for (auto ending : { Fakes::ScriptedResponse::Ending::Close, Fakes::ScriptedResponse::Ending::Reset }) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            Fakes::ScriptedEndpoint server([&](const auto&) { return Fakes::ScriptedResponse { .bytes = head.substr(0, size), .ending = ending }; });
            BOOST_TEST(!sendHttp(server.address(), { .path = "/" }).has_value(), "call, after " << size << " bytes");
            HttpStream stream(server.address());
            auto accept = [](const auto&) { return true; };
            BOOST_TEST(!stream.run({ .path = "/" }, accept, accept).has_value(), "stream, after " << size << " bytes");
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
