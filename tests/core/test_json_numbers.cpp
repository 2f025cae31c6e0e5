#include "core/json_decode.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

template <typename Integer>
std::optional<Integer> convert(const char* text)
{
    try {
        return toInteger<Integer>(nlohmann::json::parse(text));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(JsonNumbers)

BOOST_AUTO_TEST_CASE(numbers_that_do_not_fit_are_refused)
{
    BOOST_TEST((convert<std::uint64_t>("18446744073709551615") == std::numeric_limits<std::uint64_t>::max()));
    BOOST_TEST((convert<std::uint64_t>("7.9") == 7U));
    BOOST_TEST((convert<int>("-2147483648") == std::numeric_limits<int>::min()));
    for (const auto* text : { "18446744073709551616", "-1", "-0.5", "1e300", "-1e300", "\"1\"", "null", "[]" })
        BOOST_TEST(!convert<std::uint64_t>(text).has_value(), text);
    for (const auto* text : { "2147483648", "-2147483649", "2147483648.0", "1e300" })
        BOOST_TEST(!convert<int>(text).has_value(), text);
    BOOST_TEST((convert<std::int64_t>("-9223372036854775808.0") == std::numeric_limits<std::int64_t>::min()));
    BOOST_TEST(!convert<std::int64_t>("9223372036854775808.0").has_value());
}

// Guards against documents of other processes that are nested so deeply that reading them ends the process, or have numbers whose
// conversion is undefined.
BOOST_AUTO_TEST_CASE(documents_that_cannot_be_read_safely_are_refused)
{
    auto decode = [](const std::string& text) {
        return decodeJson<std::uint64_t>(text, ErrorCode::InvalidArgument, "document", [](const nlohmann::json& document) {
            auto copy = document.value("other", nlohmann::json());
            return document.at("n").get<std::uint64_t>() + copy.dump().size();
        });
    };
    BOOST_TEST(decode(R"({"n":1})").has_value());
    for (const auto* value : { "1e300", "-1.5", "1e19", "-1e19", "1e999" }) {
        BOOST_TEST(!decode(std::string(R"({"n":)") + value + "}").has_value(), value);
        BOOST_TEST(!decode(std::string(R"({"n":1,"other":[[)") + value + "]]}").has_value(), value);
    }
    auto nested = std::string(400000, '[') + std::string(400000, ']');
    for (const auto& text : { R"({"n":1,"other":)" + nested + "}", " " + nested, std::string(400000, '['), std::string(400000, '{') })
        BOOST_TEST(!decode(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
