#include "tests/entry/single_node_site.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

std::string headFor(const std::string& id, const std::string& lines) { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s\r\n" + lines + "\r\n"; }

// Sends the first bytes of a response to each request, one byte more each time, and ends the connection.
class CutHeads {
public:
    CutHeads(std::string before, std::string lines, Ending ending)
        : m_before(std::move(before))
        , m_lines(std::move(lines))
        , m_ending(ending)
    {
    }

    Fakes::ScriptedResponse operator()(const Fakes::ReceivedRequest& it)
    {
        auto text = m_before + headFor(std::string(it.head.value("attempt-id")), m_lines);
        auto size = std::stoul(std::string(it.head.target.substr(it.head.target.rfind('/') + 1)));
        return { .bytes = text.substr(0, size), .ending = m_ending };
    }

private:
    std::string m_before;
    std::string m_lines;
    Ending m_ending;
};

// Number of successes, of responses that were passed on in part, and of requests that the endpoint received, over all lengths.
struct CutHeadResults {
    unsigned successes { 0 };
    unsigned truncated { 0 };
    unsigned sent { 0 };

    bool operator==(const CutHeadResults&) const = default;
};

CutHeadResults sendRequests(const std::string& before, const std::string& lines, Ending ending, const std::string& method, const std::string& route)
{
    SingleNodeSite site(CutHeads(before, lines, ending));
    CutHeadResults results;
    const std::string id = "id-000";
    auto length = before.size() + headFor(id, lines).size();
    for (std::size_t size = 0; size < length; ++size) {
        auto answer = site.sendRequest(request(method, route + std::to_string(size), id));
        results.successes += answer.head.status / 100 == 2 ? 1 : 0;
        results.truncated += answer.whole || (method == "HEAD" && answer.head.status >= 400) ? 0 : 1;
    }
    results.sent = static_cast<unsigned>(site.endpoint.requests().size());
    return results;
}

constexpr auto interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(HeadsCutShort)

// Guards against a response whose head ends in the middle being passed on as a complete response with an empty or short body.
BOOST_AUTO_TEST_CASE(a_head_that_is_cut_short_is_never_a_success)
{
    for (const std::string lines : { "Content-Length: 0\r\n", "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n" }) {
        for (auto ending : { Ending::Close, Ending::Reset }) {
            for (const auto& [method, route] : { std::pair("GET", "/once/"), std::pair("GET", "/safe/"), std::pair("GET", "/stream/"), std::pair("GET", "/resume/") }) {
                BOOST_TEST_CONTEXT(lines << ", " << method << " " << route << (ending == Ending::Reset ? ", reset" : ", closed"))
                {
                    auto results = sendRequests("", lines, ending, method, route);
                    BOOST_TEST(results.successes == 0U);
                    BOOST_TEST(results.truncated == 0U);
                    BOOST_TEST(results.sent >= 60U);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_cut_head_after_interim_responses_is_never_a_success)
{
    auto results = sendRequests(interim, "Content-Length: 0\r\n", Ending::Close, "GET", "/once/");
    BOOST_TEST(results.successes == 0U);
    BOOST_TEST(results.truncated == 0U);
    BOOST_TEST(results.sent >= 120U);
}

BOOST_AUTO_TEST_CASE(a_cut_head_of_a_head_request_is_never_a_success)
{
    auto results = sendRequests("", "Content-Length: 12\r\n", Ending::Close, "HEAD", "/safe/");
    BOOST_TEST(results.successes == 0U);
    BOOST_TEST(results.sent >= 60U);
}

BOOST_AUTO_TEST_SUITE_END()
