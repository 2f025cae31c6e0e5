#include "servers/membership/leaving_marks.h"
#include "tests/property.h"
#include <algorithm>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(LeavingMarkSets)

BOOST_AUTO_TEST_CASE(repeated_and_reordered_marks_end_in_the_same_state)
{
    Tests::checkProperty("any order, any repeats", [](const std::vector<std::pair<unsigned char, unsigned char>>& values) {
        std::vector<LeavingMark> marks;
        marks.reserve(values.size());
        for (const auto& [name, when] : values)
            marks.push_back({ .endpoint = std::string(1, static_cast<char>('a' + name % 4)), .deadlineWallMilliseconds = when % 5U, .source = static_cast<LeavingSource>(name % 4) });
        LeavingMarks forwards;
        LeavingMarks backwards;
        for (const auto& it : marks)
            forwards.add(it);
        std::reverse(marks.begin(), marks.end());
        for (const auto& it : marks) {
            backwards.add(it);
            backwards.add(it);
        }
        RC_ASSERT(forwards.marks() == backwards.marks());
    });
}

BOOST_AUTO_TEST_CASE(a_mark_never_goes_away_and_says_what_is_new)
{
    LeavingMarks marks;
    BOOST_CHECK(marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 0, .source = LeavingSource::InstanceList }));
    BOOST_CHECK(!marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 0, .source = LeavingSource::Operator }));
    // The cloud's notice comes after the list: now the deadline is known.
    auto joined = marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 900, .source = LeavingSource::CloudNotice });
    BOOST_REQUIRE(joined);
    BOOST_CHECK_EQUAL(joined->deadlineWallMilliseconds, 900);
    BOOST_CHECK(!marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 950, .source = LeavingSource::CloudNotice }));
    BOOST_CHECK(marks.contains("e"));
}

BOOST_AUTO_TEST_CASE(at_the_limit_the_first_mark_is_dropped)
{
    LeavingMarks marks(2);
    for (const auto* it : { "b", "a", "c" })
        marks.add({ .endpoint = it });
    BOOST_CHECK(!marks.contains("b"));
    BOOST_CHECK(marks.contains("a"));
    BOOST_CHECK(marks.contains("c"));
}

BOOST_AUTO_TEST_SUITE_END()
