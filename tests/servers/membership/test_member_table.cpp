#include "servers/membership/member_table.h"
#include "servers/membership/news_queue.h"
#include "tests/property.h"
#include <algorithm>

using namespace Onyxnotch;

namespace {

Member memberNamed(const std::string& name, std::uint64_t incarnation = 1, std::uint32_t revision = 0, MemberState state = MemberState::Alive)
{
    return { .node = name, .incarnation = incarnation, .revision = revision, .state = state };
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemberTables)

BOOST_AUTO_TEST_CASE(the_order_of_news_does_not_matter)
{
    Tests::checkProperty("same news in another order", [](const std::vector<std::pair<unsigned char, unsigned char>>& values) {
        std::vector<Member> news;
        for (const auto& [first, second] : values) {
            auto it = memberNamed(std::string(1, static_cast<char>('a' + first % 3)), first % 2 + 1, second % 3, static_cast<MemberState>(second % 3));
            it.leaving = second % 5 == 0;
            news.push_back(it);
        }
        auto now = SteadyTime();
        MemberTable forwards(memberNamed("self"), {});
        MemberTable backwards(memberNamed("self"), {});
        for (const auto& it : news)
            forwards.apply(it, now);
        std::reverse(news.begin(), news.end());
        for (const auto& it : news)
            backwards.apply(it, now);
        RC_ASSERT(forwards.members() == backwards.members());
    });
}

BOOST_AUTO_TEST_CASE(one_missed_probe_is_no_verdict)
{
    auto now = SteadyTime();
    MemberTable table(memberNamed("self"), { .suspicionTime = Milliseconds(3000) });
    table.apply(memberNamed("a"), now);
    BOOST_CHECK(table.suspect("a", now));
    BOOST_CHECK(table.expire(now + Milliseconds(2999)).empty());
    BOOST_CHECK(table.confirm("a", 1, now));
    BOOST_CHECK(table.expire(now + Milliseconds(9000)).empty());
    BOOST_CHECK(table.find("a")->state == MemberState::Alive);
}

BOOST_AUTO_TEST_CASE(a_suspect_that_stays_silent_dies_and_its_next_process_lives)
{
    auto now = SteadyTime();
    MemberTable table(memberNamed("self"), { .suspicionTime = Milliseconds(3000) });
    table.apply(memberNamed("a"), now);
    table.suspect("a", now);
    BOOST_CHECK_EQUAL(table.expire(now + Milliseconds(3000)).size(), 1);
    BOOST_CHECK(!table.apply(memberNamed("a"), now));
    BOOST_CHECK(table.apply(memberNamed("a", 2), now));
    BOOST_CHECK(table.find("a")->state == MemberState::Alive);
}

BOOST_AUTO_TEST_CASE(a_node_refutes_its_own_death)
{
    MemberTable table(memberNamed("self", 7, 3), {});
    BOOST_CHECK(table.apply(memberNamed("self", 7, 3, MemberState::Suspect), SteadyTime()));
    BOOST_CHECK_EQUAL(table.self().revision, 4);
    BOOST_CHECK(!table.apply(memberNamed("self", 6, 9, MemberState::Dead), SteadyTime()));
}

BOOST_AUTO_TEST_CASE(the_table_is_bounded)
{
    MemberTable table(memberNamed("self"), { .maximumMembers = 2 });
    BOOST_CHECK(table.apply(memberNamed("a"), SteadyTime()));
    BOOST_CHECK(table.apply(memberNamed("b"), SteadyTime()));
    BOOST_CHECK(!table.apply(memberNamed("c"), SteadyTime()));
    BOOST_CHECK_EQUAL(table.members().size(), 3);
}

BOOST_AUTO_TEST_CASE(news_goes_out_a_bounded_number_of_times)
{
    NewsQueue<int> queue(2);
    BOOST_CHECK(queue.add("a", 1));
    BOOST_CHECK(queue.add("b", 2));
    BOOST_CHECK(!queue.add("c", 3));
    unsigned sends = 0;
    while (!queue.empty())
        sends += queue.take(1, 6).size();
    BOOST_CHECK_EQUAL(sends, 2 * 9);
}

BOOST_AUTO_TEST_SUITE_END()
