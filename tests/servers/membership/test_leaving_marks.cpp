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

BOOST_AUTO_TEST_CASE(adding_a_mark_returns_it_only_if_it_changed)
{
    LeavingMarks marks;
    BOOST_CHECK(marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 0, .source = LeavingSource::InstanceList }));
    BOOST_CHECK(!marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 0, .source = LeavingSource::Operator }));
    // A cloud notice after the instance list adds the deadline.
    auto merged = marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 900, .source = LeavingSource::CloudNotice });
    BOOST_REQUIRE(merged);
    BOOST_CHECK_EQUAL(merged->deadlineWallMilliseconds, 900);
    BOOST_CHECK(!marks.add({ .endpoint = "e", .deadlineWallMilliseconds = 950, .source = LeavingSource::CloudNotice }));
    BOOST_CHECK(marks.contains("e"));
}

BOOST_AUTO_TEST_CASE(a_full_set_drops_the_oldest_mark)
{
    LeavingMarks marks(2);
    for (const auto* it : { "b", "a", "c" })
        marks.add({ .endpoint = it });
    BOOST_CHECK(!marks.contains("b"));
    BOOST_CHECK(marks.contains("a"));
    BOOST_CHECK(marks.contains("c"));
}

BOOST_AUTO_TEST_SUITE_END()
