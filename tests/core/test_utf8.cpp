#include "core/utf8.h"

#include "tests/property.h"
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Utf8)

BOOST_AUTO_TEST_CASE(valid_text_is_unchanged_and_invalid_bytes_are_replaced)
{
    for (const auto* valid : { "", "plain", "gr\xC3\xBC\xC3\x9F", "\xE6\x9C\xAD\xE5\xB9\x8C", "\xF0\x9F\x9A\x9A" })
        BOOST_TEST(sanitizeUtf8(valid) == valid);
    std::string replacement(replacementCharacter);
    BOOST_TEST(sanitizeUtf8("a\xFFz") == "a" + replacement + "z");
    BOOST_TEST(sanitizeUtf8("\xC0\xAF") == replacement + replacement);
    BOOST_TEST(sanitizeUtf8("\xED\xA0\x80") == replacement + replacement + replacement);
    BOOST_TEST(sanitizeUtf8("a\xE6\x9C") == "a" + replacement + replacement);
}

BOOST_AUTO_TEST_CASE(sanitized_text_can_be_stored_in_a_json_document)
{
    Tests::checkProperty("a parser takes it", [](const std::string& bytes) {
        auto text = sanitizeUtf8(bytes);
        RC_ASSERT(sanitizeUtf8(text) == text);
        RC_ASSERT(nlohmann::json::parse(nlohmann::json(text).dump()) == text);
    });
}

BOOST_AUTO_TEST_SUITE_END()
