#include "core/net/server_sent_events.h"
#include "tests/property.h"
#include <vector>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(ServerSentEvents)

BOOST_AUTO_TEST_CASE(parsing_restores_events_for_any_piece_sizes)
{
    Tests::checkProperty("write and parse in pieces", [](const std::vector<unsigned char>& pieceSizes) {
        std::vector<ServerSentEvent> events { { .id = "a:1", .name = {}, .data = "one" }, { .id = {}, .name = "n", .data = "two\nlines" } };
        auto text = writeServerSentEvent(events[0]) + ": comment\n\n" + writeServerSentEvent(events[1]);
        std::vector<ServerSentEvent> seen;
        ServerSentEventParser parser([&](const ServerSentEvent& it) {
            seen.push_back(it);
            return true;
        });
        std::size_t at = 0;
        for (auto pieceSize : pieceSizes) {
            auto size = std::min<std::size_t>(pieceSize % 7, text.size() - at);
            RC_ASSERT(parser.feed(text.substr(at, size)));
            at += size;
        }
        RC_ASSERT(parser.feed(text.substr(at)));
        RC_ASSERT(seen == events);
    });
}

BOOST_AUTO_TEST_CASE(an_unterminated_event_is_not_reported)
{
    unsigned seen = 0;
    ServerSentEventParser parser([&](const ServerSentEvent&) { return ++seen > 0; });
    BOOST_CHECK(parser.feed("data: whole\n\ndata: half"));
    BOOST_CHECK_EQUAL(seen, 1);
}

// Guards against a fault where an event of many lines without end was kept without a limit.
BOOST_AUTO_TEST_CASE(an_event_without_end_is_refused)
{
    constexpr std::size_t maximumBytes = 17U << 20U;
    const std::string line = "data: " + std::string(65536, 'x');
    for (const auto& end : { std::string("\n"), std::string() }) {
        ServerSentEventParser parser([](const ServerSentEvent&) { return true; });
        std::size_t fed = 0;
        while (fed < maximumBytes && parser.feed(line + end))
            fed += line.size();
        BOOST_TEST(fed < maximumBytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
