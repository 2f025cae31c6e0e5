// Garbage, oversized, slow or truncated input on any port of a gateway is answered with an error or a closed connection, and causes neither
// a crash nor a leak of file descriptors. Settings errors name the key at fault.
#include "core/net/http_client.h"
#include "core/net/peer_connection.h"
#include "servers/membership/member.h"
#include "tests/promises/promise_fixture.h"
#include <asio.hpp>
#include <filesystem>
#include <random>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

using asio::ip::tcp;

tcp::socket connectTo(asio::io_context& context, const Address& address)
{
    tcp::socket socket(context);
    socket.connect(tcp::endpoint(asio::ip::make_address(address.host), address.port));
    return socket;
}

// Reads until the other side closes the connection.
std::string readAll(tcp::socket& socket)
{
    std::string answer;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
}

std::size_t openFileCount(const Process& process)
{
    std::size_t count = 0;
    for (const auto& it : std::filesystem::directory_iterator("/proc/" + std::to_string(process.pid()) + "/fd")) {
        (void)it;
        ++count;
    }
    return count;
}

std::string garbage(std::mt19937& random, std::size_t size)
{
    std::string text(size, '\0');
    for (auto& it : text)
        it = static_cast<char>(random());
    return text;
}

ClusterOptions site()
{
    return { .zones = { "kushiro-hall" }, .controllers = 0, .gatewaySettings = { { "maximumBodyBytes", 4096 } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(BadInput)

BOOST_AUTO_TEST_CASE(garbage_and_truncated_frames_on_every_port)
{
    Cluster cluster(site());
    BOOST_REQUIRE_EQUAL(cluster.apply(cluster.declaration(1)).exitCode, 0);
    auto& gateway = cluster.gateway(0);
    BOOST_REQUIRE(waitUntil([&] { return cluster.get(gateway.http, "/readyz").value("ready", false); }));
    auto gossip = parseAddress(Json::parse(gateway.process->waitEvent("bound", longWait).value())["gossip"].get<std::string>()).value();
    std::mt19937 random(20261202);
    asio::io_context context;
    asio::ip::udp::socket datagrams(context, asio::ip::udp::v4());
    auto before = openFileCount(*gateway.process);
    auto frame = encodeFrame(packMessage(MessageType::JoinRequest, JoinRequestMessage {}));
    for (unsigned n = 0; n < 60; ++n) {
        for (const auto& port : { gateway.http, gateway.peer }) {
            auto socket = connectTo(context, port);
            asio::error_code ignored;
            auto bytes = n % 2 == 0 ? garbage(random, 1 + std::size_t(n) * 7) : frame.substr(0, n % frame.size());
            asio::write(socket, asio::buffer(bytes), ignored);
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            readAll(socket);
        }
        auto bytes = n % 2 == 0 ? garbage(random, std::size_t(n) * 11) : frame.substr(0, n % frame.size());
        datagrams.send_to(asio::buffer(bytes), asio::ip::udp::endpoint(asio::ip::make_address(gossip.host), gossip.port));
    }
    // A frame of an unknown version is answered with an error that says so.
    auto other = frame;
    other[4] = 9;
    auto socket = connectTo(context, gateway.peer);
    asio::write(socket, asio::buffer(other));
    BOOST_CHECK(readAll(socket).find("unknown frame version") != std::string::npos);
    // A message type that this port does not serve is answered with an error too.
    auto unknown = callPeer(gateway.peer, { .type = static_cast<MessageType>(999), .payload = "x" }, Milliseconds(2000));
    BOOST_REQUIRE(unknown);
    BOOST_CHECK(unknown.value().type == MessageType::Error);
    BOOST_CHECK(cluster.get(gateway.http, "/readyz").value("ready", false));
    BOOST_CHECK(waitUntil([&] { return openFileCount(*gateway.process) <= before + 2; }));
}

BOOST_AUTO_TEST_CASE(oversized_and_malformed_requests)
{
    Cluster cluster(site());
    BOOST_REQUIRE_EQUAL(cluster.apply(cluster.declaration(1)).exitCode, 0);
    auto& gateway = cluster.gateway(0);
    BOOST_REQUIRE(waitUntil([&] { return cluster.get(gateway.http, "/readyz").value("ready", false); }));
    auto statusOf = [&](const std::string& method, const std::string& path, const std::string& body) {
        auto reply = sendHttp(gateway.http, { .method = method, .path = path, .headers = { { "Authorization", std::string("Bearer ") + Cluster::teamKey } }, .body = body });
        return reply ? reply.value().status : 0;
    };
    BOOST_CHECK_EQUAL(statusOf("POST", "/v1/chat/completions", std::string(10000, 'x')), 413);
    for (const auto* body : { "", "{", "[]", "{}", R"({"model":7,"messages":[]})", R"({"model":"planner","messages":[]})", R"({"model":"planner","messages":[{"role":"user","content":"x"}],"max_tokens":-1})" })
        BOOST_CHECK_EQUAL(statusOf("POST", "/v1/chat/completions", body), 400);
    BOOST_CHECK_EQUAL(statusOf("POST", "/v1/chat/completions", R"({"model":"nothing","messages":[{"role":"user","content":"x"}]})"), 404);
    BOOST_CHECK_EQUAL(statusOf("GET", "/v1/addresses?tickets=-3", ""), 400);
    BOOST_CHECK_EQUAL(statusOf("GET", "/v1/addresses?tickets=1000000", ""), 400);
    BOOST_CHECK_EQUAL(statusOf("GET", "/v1/requests/garbage", ""), 404);
    BOOST_CHECK_EQUAL(statusOf("POST", "/v1/services/nothing/x", "{}"), 404);
    BOOST_CHECK_EQUAL(statusOf("GET", "/nowhere", ""), 404);
    BOOST_CHECK(cluster.get(gateway.http, "/readyz").value("ready", false));
}

BOOST_AUTO_TEST_CASE(a_slow_sender_is_cut_off)
{
    Cluster cluster(site());
    auto& gateway = cluster.gateway(0);
    asio::io_context context;
    auto http = connectTo(context, gateway.http);
    asio::write(http, asio::buffer(std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nslow")));
    auto peer = connectTo(context, gateway.peer);
    asio::write(peer, asio::buffer(std::string("ONYX")));
    // The gateway closes both connections after its read timeout, so that both reads return.
    readAll(http);
    readAll(peer);
    BOOST_CHECK(cluster.get(gateway.http, "/healthz").value("alive", false));
}

BOOST_AUTO_TEST_CASE(connections_over_the_limit_are_closed_at_once)
{
    auto options = site();
    options.gatewaySettings["limits"] = { { "peerConnections", 2 } };
    Cluster cluster(options);
    auto& gateway = cluster.gateway(0);
    asio::io_context context;
    auto first = connectTo(context, gateway.peer);
    auto second = connectTo(context, gateway.peer);
    // The gateway closes the third connection without an answer, long before the read timeout of the first two.
    auto third = connectTo(context, gateway.peer);
    auto began = steadyNow();
    readAll(third);
    BOOST_CHECK(steadyNow() - began < Milliseconds(3000));
    asio::error_code ignored;
    first.close(ignored);
    second.close(ignored);
    BOOST_CHECK(waitUntil([&] { return callPeer(gateway.peer, { .type = static_cast<MessageType>(999), .payload = "x" }, Milliseconds(1000)).has_value(); }));
}

BOOST_AUTO_TEST_CASE(settings_errors_name_the_key)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 0, .controllers = 0 });
    auto checkSettings = [&](const Json& settings) { return runProgram("onyxnotch-gateway", { "--settings", cluster.writeFile("s.json", settings.dump()), "--check-settings" }); };
    Json platform { { "objects", "127.0.0.1:1" }, { "cloud", "127.0.0.1:1" }, { "instanceList", "127.0.0.1:1" } };
    BOOST_CHECK_EQUAL(checkSettings({ { "instance", "a" }, { "zone", "z" }, { "platform", platform } }).exitCode, 0);
    auto wrongType = checkSettings({ { "instance", "a" }, { "zone", "z" }, { "platform", platform }, { "maximumActive", "many" } });
    BOOST_CHECK_EQUAL(wrongType.exitCode, 2);
    BOOST_CHECK_MESSAGE(wrongType.output.find("/maximumActive") != std::string::npos, wrongType.output);
    platform["cloud"] = "nonsense";
    auto address = checkSettings({ { "instance", "a" }, { "zone", "z" }, { "platform", platform } });
    BOOST_CHECK_EQUAL(address.exitCode, 2);
    BOOST_CHECK_MESSAGE(address.output.find("/platform/cloud") != std::string::npos, address.output);
    BOOST_CHECK_EQUAL(runProgram("onyxnotch-gateway", { "--settings", "/nonexistent" }).exitCode, 2);
    for (const auto* program : { "onyxnotch", "onyxnotch-gateway", "onyxnotch-controller" }) {
        BOOST_CHECK_EQUAL(runProgram(program, { "--help" }).exitCode, 0);
        BOOST_CHECK(runProgram(program, { "--version" }).output.find("onyxnotch 0.1.0") != std::string::npos);
        BOOST_CHECK_EQUAL(runProgram(program, { "--nonsense" }).exitCode, 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
