// Splits the text of a JSON document into the texts of its members and elements without parsing them, so that a part that is not valid JSON
// does not make the others unreadable.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Onyxnotch {

// One member of an object; `value` is a view into the text that was split.
struct JsonMember {
    std::string name {};
    std::string_view value {};

    bool operator==(const JsonMember&) const = default;
};

// Both return nullopt if the text is not one object or one array, as far as brackets, commas and quotes show.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

// Value of the last member with this name; an empty text if there is none.
std::string_view findJsonMember(const std::vector<JsonMember>&, std::string_view name);

constexpr std::size_t maximumJsonDepth = 64; // Levels of objects and arrays. Values are copied, written and compared recursively.

// Returns nullopt if the text is not valid JSON, or nested deeper than `maximumDepth` levels.
std::optional<nlohmann::json> parseJsonSlice(std::string_view text, std::size_t maximumDepth = maximumJsonDepth);

} // namespace Onyxnotch
