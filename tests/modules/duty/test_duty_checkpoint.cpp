#include "modules/duty/duty_checkpoint.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(DutyNotes)

BOOST_AUTO_TEST_CASE(a_checkpoint_round_trips_through_json)
{
    DutyCheckpoint checkpoint {
        .report = UsageReport { .window = 7, .counts = { { "t", 3 } } },
        .scaling = { { .service = "s", .needed = 5, .isSupplyExhausted = true, .orders = { { .service = "s", .zone = "a", .reclaimable = true, .endpoints = 2 }, { .service = "s", .zone = "b", .endpoints = 1 } } } },
    };
    BOOST_TEST((dutyCheckpointFromJson(dutyCheckpointToJson(checkpoint)).value() == checkpoint));
    checkpoint.report.reset();
    BOOST_TEST((dutyCheckpointFromJson(dutyCheckpointToJson(checkpoint)).value() == checkpoint));
    BOOST_TEST((dutyCheckpointFromJson("").value() == DutyCheckpoint {}));
}

BOOST_AUTO_TEST_CASE(malformed_checkpoints_are_refused)
{
    for (const auto* text : { "{}", "[]", "not json", R"({"scaling":[{}]})", R"({"scaling":[],"report":"x"})" })
        BOOST_TEST(!dutyCheckpointFromJson(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
