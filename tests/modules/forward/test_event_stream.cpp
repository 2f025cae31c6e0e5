#include "modules/forward/event_stream.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(EventStreamTests)

BOOST_AUTO_TEST_CASE(only_complete_events_are_passed_on)
{
    EventStream events;
    std::string input = "id: 1\ndata: a\n\nid: 2\nda";
    std::string output;
    BOOST_TEST((events.take(input, output) == EventStreamCheck::Sound));
    BOOST_TEST(output == "id: 1\ndata: a\n\n");
    BOOST_TEST(input == "id: 2\nda");
    input += "ta: b\n\n";
    BOOST_TEST((events.take(input, output) == EventStreamCheck::Sound));
    BOOST_TEST(output == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(events.events() == 2U);
    BOOST_TEST(*events.lastId() == 2U);
}

BOOST_AUTO_TEST_CASE(skipped_repeated_or_decreasing_ids_are_out_of_order)
{
    for (const auto* second : { "id: 3\n\n", "id: 1\n\n", "id: 0\n\n" }) {
        EventStream events;
        std::string output;
        std::string input = std::string("id: 1\n\n") + second;
        BOOST_TEST((events.take(input, output) == EventStreamCheck::OutOfOrder));
        BOOST_TEST(output == "id: 1\n\n");
    }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_continues_after_the_last_event_id)
{
    EventStream events(7);
    std::string output;
    std::string wrong = "id: 7\n\n";
    BOOST_TEST((events.take(wrong, output) == EventStreamCheck::OutOfOrder));
    std::string right = "id: 8\r\ndata: x\r\n\r\n";
    BOOST_TEST((events.take(right, output) == EventStreamCheck::Sound));
    BOOST_TEST(*events.lastId() == 8U);
}

// Guards against a fault where a stream without the end of an event was kept without a limit, and searched again with each read.
BOOST_AUTO_TEST_CASE(an_event_that_does_not_end_is_too_large)
{
    const std::string piece(16384, 'x');
    EventStream events;
    std::string output;
    std::string input = "id: 1\n\n";
    auto check = EventStreamCheck::Sound;
    while (check == EventStreamCheck::Sound && input.size() <= 2 * maximumEventBytes) {
        input += piece;
        check = events.take(input, output);
    }
    BOOST_TEST((check == EventStreamCheck::TooLarge));
    BOOST_TEST(input.size() <= maximumEventBytes + piece.size());
    BOOST_TEST(output == "id: 1\n\n");
}

BOOST_AUTO_TEST_CASE(events_are_found_wherever_the_input_is_split)
{
    const std::string bytes = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\n\n";
    for (std::size_t first = 1; first < bytes.size(); ++first) {
        EventStream events;
        std::string output;
        auto input = bytes.substr(0, first);
        BOOST_TEST((events.take(input, output) == EventStreamCheck::Sound));
        input += bytes.substr(first);
        BOOST_TEST((events.take(input, output) == EventStreamCheck::Sound));
        BOOST_TEST(output == bytes);
    }
}

// Guards against a search that goes on where it stopped in the response before.
BOOST_AUTO_TEST_CASE(a_resumed_stream_is_searched_from_its_first_byte)
{
    EventStream events;
    std::string output;
    std::string brokenOff = "id: 1\ndata: a long part of an event";
    BOOST_TEST((events.take(brokenOff, output) == EventStreamCheck::Sound));
    events.beginResponse();
    std::string resumed = "id: 1\n\n";
    BOOST_TEST((events.take(resumed, output) == EventStreamCheck::Sound));
    BOOST_TEST(output == "id: 1\n\n");
}

BOOST_AUTO_TEST_SUITE_END()
