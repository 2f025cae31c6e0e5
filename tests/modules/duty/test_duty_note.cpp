#include "modules/duty/duty_note.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(DutyNotes)

BOOST_AUTO_TEST_CASE(a_note_is_read_as_it_was_written)
{
    DutyNote note {
        .report = UsageReport { .window = 7, .counts = { { "t", 3 } } },
        .scaling = { { .service = "s", .needed = 5, .dry = true, .orders = { { .service = "s", .zone = "a", .reclaimable = true, .endpoints = 2 }, { .service = "s", .zone = "b", .endpoints = 1 } } } },
    };
    BOOST_TEST((dutyNoteFromJson(dutyNoteToJson(note)).value() == note));
    note.report.reset();
    BOOST_TEST((dutyNoteFromJson(dutyNoteToJson(note)).value() == note));
    BOOST_TEST((dutyNoteFromJson("").value() == DutyNote {}));
}

BOOST_AUTO_TEST_CASE(a_note_of_another_shape_is_refused)
{
    for (const auto* text : { "{}", "[]", "not json", R"({"scaling":[{}]})", R"({"scaling":[],"report":"x"})" })
        BOOST_TEST(!dutyNoteFromJson(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
