#include "modules/request/answer_buffer.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(AnswerBuffers)

// Appends random pieces of text: repeated, out of order, and late ones from an attempt that is not the current one. The buffered text must
// always be a prefix of the complete answer.
BOOST_AUTO_TEST_CASE(any_order_of_pieces_leaves_a_prefix_of_the_answer)
{
    Tests::checkProperty("random pieces", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        const std::string completeAnswer = "the whole answer, never another caller's";
        AnswerBuffer buffer;
        buffer.beginAttempt("first");
        std::string currentAttempt = "first";
        for (const auto& [offsetDraw, sizeDraw] : events) {
            auto offset = offsetDraw % completeAnswer.size();
            auto size = sizeDraw % 9;
            if (sizeDraw % 17 == 0) {
                currentAttempt = currentAttempt == "first" ? "second" : "first";
                buffer.beginAttempt(currentAttempt);
            }
            bool isLate = sizeDraw % 3 == 0;
            auto attempt = isLate ? (currentAttempt == "first" ? "second" : "first") : currentAttempt;
            auto text = isLate ? std::string("STRANGER") : completeAnswer.substr(offset, size);
            auto result = buffer.append(attempt, offset, text);
            RC_ASSERT(!isLate || result == AppendResult::NotCurrent);
            RC_ASSERT(completeAnswer.rfind(buffer.text(), 0) == 0);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_reader_can_resume_only_in_the_text_of_its_attempt)
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
    // Offset 6 of attempt "a" lies after the start of attempt "b" at offset 4, so that text of "a" is not part of this answer.
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
    BOOST_CHECK(buffer.append("a", 2, "XX") == AppendResult::NotCurrent);
    buffer.append("b", 2, "23");
    buffer.beginAttempt("a");
    // A late piece of the first attempt "a" covers only text that the answer already has.
    BOOST_CHECK(buffer.append("a", 2, "XX") == AppendResult::Duplicate);
    BOOST_CHECK_EQUAL(buffer.text(), "0123");
}

BOOST_AUTO_TEST_CASE(nothing_is_appended_after_the_end_or_a_move)
{
    AnswerBuffer ended;
    ended.beginAttempt("a");
    BOOST_CHECK(ended.finish(RequestOutcome::Completed));
    BOOST_CHECK(ended.append("a", 0, "x") == AppendResult::Finished);
    BOOST_CHECK(!ended.finish(RequestOutcome::Failed));
    AnswerBuffer moved;
    moved.beginAttempt("a");
    moved.markMoved();
    BOOST_CHECK(moved.append("a", 0, "x") == AppendResult::NotCurrent);
    BOOST_CHECK(!moved.finish(RequestOutcome::Completed));
    BOOST_CHECK(moved.wait(0, Milliseconds(0)).moved);
}

BOOST_AUTO_TEST_SUITE_END()
