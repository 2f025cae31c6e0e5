#include "core/json_slices.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::string_view whitespace = " \t\r\n";

    // Returns the offset behind the string that begins with a quote at `at`, or npos if it does not end.
    std::size_t stringEnd(std::string_view text, std::size_t at)
    {
        for (++at; at < text.size(); ++at) {
            if (text[at] == '"')
                return at + 1;
            if (text[at] == '\\')
                ++at;
        }
        return std::string_view::npos;
    }

    // The extent of a value in a text.
    struct ValueExtent {
        std::size_t end { std::string_view::npos }; // Offset behind the value; npos if it does not end.
        std::size_t depth { 0 }; // Levels of objects and arrays in it.
    };

    // The extent of an object or array that begins at `at`.
    ValueExtent findNested(std::string_view text, std::size_t at)
    {
        std::size_t depth = 0;
        std::size_t greatestDepth = 0;
        while (at < text.size()) {
            char character = text[at];
            at = character == '"' ? stringEnd(text, at) : at + 1;
            if (character == '{' || character == '[')
                greatestDepth = std::max(greatestDepth, ++depth);
            else if ((character == '}' || character == ']') && --depth == 0)
                return { .end = at, .depth = greatestDepth };
        }
        return {};
    }

    // The extent of the value that begins at `at`. A number or word ends where a delimiter follows; whether it is valid is not checked.
    ValueExtent findValue(std::string_view text, std::size_t at)
    {
        if (at >= text.size())
            return {};
        if (text[at] == '{' || text[at] == '[')
            return findNested(text, at);
        if (text[at] == '"')
            return { .end = stringEnd(text, at) };
        return { .end = std::min(text.find_first_of(",}] \t\r\n", at), text.size()) };
    }

    // Reads the values and punctuation of a text one after the other.
    class SliceReader {
    public:
        explicit SliceReader(std::string_view text)
            : m_text(text)
        {
        }

        // Skips whitespace, and `expected` if it follows.
        bool take(char expected)
        {
            skipWhitespace();
            bool isNext = m_at < m_text.size() && m_text[m_at] == expected;
            m_at += isNext ? 1 : 0;
            return isNext;
        }

        // Returns the next value, or an empty text if there is none.
        std::string_view takeValue()
        {
            skipWhitespace();
            auto begin = m_at;
            auto end = findValue(m_text, m_at).end;
            if (end == std::string_view::npos)
                return {};
            m_at = end;
            return m_text.substr(begin, end - begin);
        }

        bool isAtEnd()
        {
            skipWhitespace();
            return m_at == m_text.size();
        }

    private:
        void skipWhitespace() { m_at = std::min(m_text.find_first_not_of(whitespace, m_at), m_text.size()); }

        std::string_view m_text;
        std::size_t m_at { 0 };
    };

    // Splits a text of the form `open item, item, ... close`. `takeItem` reads one item and returns false if there is none.
    template <typename TakeItem>
    bool splitItems(std::string_view text, char open, char close, TakeItem takeItem)
    {
        SliceReader reader(text);
        if (!reader.take(open))
            return false;
        if (reader.take(close))
            return reader.isAtEnd();
        do {
            if (!takeItem(reader))
                return false;
        } while (reader.take(','));
        return reader.take(close) && reader.isAtEnd();
    }

    std::optional<std::string> decodeName(std::string_view text)
    {
        auto name = parseJsonSlice(text);
        return name && name->is_string() ? std::optional(name->get<std::string>()) : std::nullopt;
    }

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    std::vector<JsonMember> members;
    bool isObject = splitItems(text, '{', '}', [&](SliceReader& reader) {
        auto name = decodeName(reader.takeValue());
        if (!name || !reader.take(':'))
            return false;
        members.push_back({ .name = std::move(*name), .value = reader.takeValue() });
        return !members.back().value.empty();
    });
    return isObject ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> elements;
    bool isArray = splitItems(text, '[', ']', [&](SliceReader& reader) {
        elements.push_back(reader.takeValue());
        return !elements.back().empty();
    });
    return isArray ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view findJsonMember(const std::vector<JsonMember>& members, std::string_view name)
{
    auto it = std::find_if(members.rbegin(), members.rend(), [&](const auto& member) { return member.name == name; });
    return it == members.rend() ? std::string_view() : it->value;
}

std::optional<nlohmann::json> parseJsonSlice(std::string_view text, std::size_t maximumDepth)
{
    auto begin = std::min(text.find_first_not_of(whitespace), text.size());
    if (findValue(text, begin).depth > maximumDepth)
        return std::nullopt;
    auto value = nlohmann::json::parse(text, nullptr, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace Onyxnotch
