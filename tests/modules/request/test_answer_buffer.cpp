#include "modules/request/answer_buffer.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(AnswerBuffers)

// Late, crossed, repeated and out-of-order pieces of two attempts: the text is always a prefix of the one answer.
BOOST_AUTO_TEST_CASE(any_order_of_pieces_leaves_a_prefix_of_the_answer)
{
    Tests::checkProperty("random pieces", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        const std::string whole = "the whole answer, never another caller's";
        AnswerBuffer buffer;
        buffer.beginAttempt("first");
        std::string live = "first";
        for (const auto& [where, how] : events) {
            auto offset = where % whole.size();
            auto size = how % 9;
            if (how % 17 == 0) {
                live = live == "first" ? "second" : "first";
                buffer.beginAttempt(live);
            }
            bool late = how % 3 == 0;
            auto attempt = late ? (live == "first" ? "second" : "first") : live;
            auto text = late ? std::string("STRANGER") : whole.substr(offset, size);
            auto result = buffer.append(attempt, offset, text);
            RC_ASSERT(!late || result == AppendResult::NotLive);
            RC_ASSERT(whole.rfind(buffer.text(), 0) == 0);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_reader_goes_on_only_in_the_text_that_it_read)
{
    AnswerBuffer buffer;
    buffer.beginAttempt("a");
    buffer.append("a", 0, "0123");
    buffer.beginAttempt("b");
    buffer.append("b", 4, "4567");
    BOOST_CHECK(buffer.continues("a", 4));
    BOOST_CHECK(buffer.continues("a", 2));
    BOOST_CHECK(buffer.continues("b", 8));
    BOOST_CHECK(buffer.continues("", 0));
    // It read on in attempt a, whose text after offset 4 is not part of this answer.
    BOOST_CHECK(!buffer.continues("a", 6));
    BOOST_CHECK(!buffer.continues("b", 3));
    BOOST_CHECK(!buffer.continues("b", 9));
}

BOOST_AUTO_TEST_CASE(an_attempt_id_that_comes_round_again_adds_nothing_old)
{
    AnswerBuffer buffer;
    buffer.beginAttempt("a");
    buffer.append("a", 0, "01");
    buffer.beginAttempt("b");
    BOOST_CHECK(buffer.append("a", 2, "XX") == AppendResult::NotLive);
    buffer.append("b", 2, "23");
    buffer.beginAttempt("a");
    // A late piece of the first "a" is within the text that is known.
    BOOST_CHECK(buffer.append("a", 2, "XX") == AppendResult::Repeated);
    BOOST_CHECK_EQUAL(buffer.text(), "0123");
}

BOOST_AUTO_TEST_CASE(nothing_comes_after_the_end_or_a_move)
{
    AnswerBuffer ended;
    ended.beginAttempt("a");
    BOOST_CHECK(ended.finish(RequestOutcome::Completed));
    BOOST_CHECK(ended.append("a", 0, "x") == AppendResult::Finished);
    BOOST_CHECK(!ended.finish(RequestOutcome::Failed));
    AnswerBuffer moved;
    moved.beginAttempt("a");
    moved.markMoved();
    BOOST_CHECK(moved.append("a", 0, "x") == AppendResult::NotLive);
    BOOST_CHECK(!moved.finish(RequestOutcome::Completed));
    BOOST_CHECK(moved.wait(0, Milliseconds(0)).moved);
}

BOOST_AUTO_TEST_SUITE_END()
