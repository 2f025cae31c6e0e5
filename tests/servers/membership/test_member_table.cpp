#include "servers/membership/gossip_queue.h"
#include "servers/membership/member_table.h"
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

BOOST_AUTO_TEST_CASE(the_order_of_updates_does_not_matter)
{
    Tests::checkProperty("same news in another order", [](const std::vector<std::pair<unsigned char, unsigned char>>& values) {
        std::vector<Member> updates;
        for (const auto& [first, second] : values) {
            auto it = memberNamed(std::string(1, static_cast<char>('a' + first % 3)), first % 2 + 1, second % 3, static_cast<MemberState>(second % 3));
            it.leaving = second % 5 == 0;
            updates.push_back(it);
        }
        auto now = SteadyTime();
        MemberTable forwards(memberNamed("self"), {});
        MemberTable backwards(memberNamed("self"), {});
        for (const auto& it : updates)
            forwards.apply(it, now);
        std::reverse(updates.begin(), updates.end());
        for (const auto& it : updates)
            backwards.apply(it, now);
        RC_ASSERT(forwards.members() == backwards.members());
    });
}

BOOST_AUTO_TEST_CASE(a_suspect_that_answers_a_probe_is_alive_again)
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

BOOST_AUTO_TEST_CASE(a_silent_suspect_becomes_dead_and_its_next_incarnation_is_alive)
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

BOOST_AUTO_TEST_CASE(a_node_refutes_a_report_about_itself_by_a_higher_revision)
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

BOOST_AUTO_TEST_CASE(an_update_is_sent_a_bounded_number_of_times)
{
    GossipQueue<int> queue(2);
    BOOST_CHECK(queue.add("a", 1));
    BOOST_CHECK(queue.add("b", 2));
    BOOST_CHECK(!queue.add("c", 3));
    unsigned sends = 0;
    while (!queue.empty())
        sends += queue.nextBatch(1, 6).size();
    BOOST_CHECK_EQUAL(sends, 2 * 9);
}

BOOST_AUTO_TEST_SUITE_END()
