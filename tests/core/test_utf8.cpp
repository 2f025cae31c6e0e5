#include "core/utf8.h"

#include "tests/property.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Utf8)

BOOST_AUTO_TEST_CASE(sound_text_stays_and_other_bytes_are_marked)
{
    for (const auto* sound : { "", "plain", "gr\xC3\xBC\xC3\x9F", "\xE6\x9C\xAD\xE5\xB9\x8C", "\xF0\x9F\x9A\x9A" })
        BOOST_TEST(sanitizeUtf8(sound) == sound);
    std::string mark(replacementCharacter);
    BOOST_TEST(sanitizeUtf8("a\xFFz") == "a" + mark + "z");
    BOOST_TEST(sanitizeUtf8("\xC0\xAF") == mark + mark);
    BOOST_TEST(sanitizeUtf8("\xED\xA0\x80") == mark + mark + mark);
    BOOST_TEST(sanitizeUtf8("a\xE6\x9C") == "a" + mark + mark);
}

BOOST_AUTO_TEST_CASE(whatever_comes_can_be_put_into_a_document)
{
    Tests::checkProperty("a parser takes it", [](const std::string& bytes) {
        auto text = sanitizeUtf8(bytes);
        RC_ASSERT(sanitizeUtf8(text) == text);
        RC_ASSERT(nlohmann::json::parse(nlohmann::json(text).dump()) == text);
    });
}

BOOST_AUTO_TEST_SUITE_END()
