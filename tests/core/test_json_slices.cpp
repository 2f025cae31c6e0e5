#include "core/json_slices.h"

#include "tests/property.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(JsonSlices)

BOOST_AUTO_TEST_CASE(members_and_elements_are_split_without_being_parsed)
{
    constexpr std::string_view text = " { \"a\" : [1, {\"b\":\"}]\\\"\"}] ,\"\\u0063\":1e400,\"d\":\"\\udcff\" } ";
    auto members = splitJsonObject(text);
    BOOST_REQUIRE(members.has_value());
    BOOST_REQUIRE(members->size() == 3U);
    BOOST_TEST(findJsonMember(*members, "a") == "[1, {\"b\":\"}]\\\"\"}]");
    BOOST_TEST(findJsonMember(*members, "c") == "1e400");
    BOOST_TEST(findJsonMember(*members, "d") == "\"\\udcff\"");
    BOOST_TEST(findJsonMember(*members, "e").empty());
    auto elements = splitJsonArray(findJsonMember(*members, "a"));
    BOOST_REQUIRE(elements.has_value());
    BOOST_REQUIRE(elements->size() == 2U);
    BOOST_TEST((*elements)[0] == "1");
    BOOST_TEST(splitJsonArray("[ ]")->empty());
    BOOST_TEST(splitJsonObject("{}")->empty());
}

BOOST_AUTO_TEST_CASE(the_last_of_several_members_with_one_name_counts)
{
    auto members = splitJsonObject(R"({"a":1,"a":2})");
    BOOST_REQUIRE(members.has_value());
    BOOST_TEST(findJsonMember(*members, "a") == "2");
}

BOOST_AUTO_TEST_CASE(texts_that_are_not_one_object_or_array_are_refused)
{
    for (const auto* text : { "", "{", "}", "[]", "1", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{\"a\":1 \"b\":2}", "{\"a\":1}x", "{1:2}", "{\"a\":\"", "{\"a\":[}", "{\"a\":\"\\" })
        BOOST_TEST(!splitJsonObject(text).has_value(), text);
    for (const auto* text : { "", "[", "{}", "[,]", "[1,]", "[1 2]", "[1]]", "[\"]", "[[1]" })
        BOOST_TEST(!splitJsonArray(text).has_value(), text);
}

// Guards against values whose recursive copy would overflow the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_values_are_refused)
{
    auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    BOOST_TEST(parseJsonSlice(nested(64)).has_value());
    BOOST_TEST(!parseJsonSlice(nested(65)).has_value());
    BOOST_TEST(!parseJsonSlice(nested(400000)).has_value());
    BOOST_TEST(!parseJsonSlice(" \n" + nested(400000)).has_value());
    BOOST_TEST(parseJsonSlice(nested(72), 72).has_value());
    BOOST_TEST(!parseJsonSlice("[1").has_value());
    BOOST_TEST(!parseJsonSlice("").has_value());
}

// Property: the parts of a valid document, parsed one by one, give the document.
BOOST_AUTO_TEST_CASE(the_parts_of_a_valid_document_give_the_document)
{
    Tests::checkProperty("parts give the document", [](const std::map<std::string, std::vector<std::string>>& values) {
        using Json = nlohmann::json;
        auto document = Json::object();
        for (const auto& [name, elements] : values) {
            auto valid = [](const std::string& text) { return Json(text).dump(-1, ' ', true, Json::error_handler_t::replace); };
            document[Json::parse(valid(name)).get<std::string>()] = Json::array();
            for (const auto& it : elements)
                document[Json::parse(valid(name)).get<std::string>()].push_back({ { "text", Json::parse(valid(it)) } });
        }
        auto text = document.dump();
        auto members = splitJsonObject(text);
        RC_ASSERT(members.has_value());
        auto joined = Json::object();
        for (const auto& member : *members) {
            auto elements = splitJsonArray(member.value);
            RC_ASSERT(elements.has_value());
            joined[member.name] = Json::array();
            for (auto it : *elements)
                joined[member.name].push_back(parseJsonSlice(it).value());
        }
        RC_ASSERT(joined == document);
    });
}

// Property: arbitrary text is refused or split, and every value that is split off lies within the text.
BOOST_AUTO_TEST_CASE(arbitrary_text_is_split_within_its_bounds)
{
    Tests::checkProperty("within bounds", [](const std::string& bytes) {
        for (const auto& text : { bytes, "{\"a\":" + bytes + "}", "[" + bytes + "]" }) {
            auto isWithin = [&](std::string_view it) { return it.data() >= text.data() && it.data() + it.size() <= text.data() + text.size(); };
            for (const auto& it : splitJsonObject(text).value_or(std::vector<JsonMember>()))
                RC_ASSERT(isWithin(it.value));
            for (auto it : splitJsonArray(text).value_or(std::vector<std::string_view>()))
                RC_ASSERT(isWithin(it));
            (void)parseJsonSlice(text);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
