// Tests messages with a Connection field, with real entry processes (RFC 9110, section 7.6.1).
#include "tests/entry/single_node_site.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr auto mixedFields = "Connection: X-Hop,\tX-Tab\r\nConnection: X-Second\r\nX-Hop: a\r\nX-Tab: a\r\nX-Second: a\r\nX-End: a\r\n";

// Checks a message that was sent with the fields `mixedFields`.
void expectEndToEndFieldsOnly(const HttpHead& head)
{
    for (const auto* name : { "x-hop", "x-tab", "x-second", "connection" })
        BOOST_TEST(!head.find(name), name);
    BOOST_TEST(head.value("x-end") == "a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionOptions)

// Guards against options after a tab, or in a second Connection field, being forwarded.
BOOST_AUTO_TEST_CASE(fields_of_the_connection_are_not_forwarded)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello", mixedFields) }; });
    auto answer = one.sendRequest(request("GET", "/once/a", "id-1", mixedFields));
    BOOST_REQUIRE(answer.head.status == HttpStatus::ok);
    expectEndToEndFieldsOnly(answer.head);
    expectEndToEndFieldsOnly(one.endpoint.requests().back().head);
}

BOOST_AUTO_TEST_SUITE_END()
