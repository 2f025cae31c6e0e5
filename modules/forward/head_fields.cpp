#include "modules/forward/head_fields.h"

#include <algorithm>
#include <span>

namespace Onyxnotch {

namespace {

    bool containsName(std::span<const std::string_view> names, std::string_view name)
    {
        return std::any_of(names.begin(), names.end(), [&](auto it) { return equalsIgnoringCase(it, name); });
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr std::string_view whitespace = " \t";
        auto begin = text.find_first_not_of(whitespace);
        auto end = text.find_last_not_of(whitespace);
        return begin == std::string_view::npos ? std::string_view() : text.substr(begin, end - begin + 1);
    }

    // Whether the value of a Connection field, a list of options separated by commas, contains `name`.
    bool containsOption(std::string_view options, std::string_view name)
    {
        while (!options.empty()) {
            auto comma = options.find(',');
            if (equalsIgnoringCase(trimmed(options.substr(0, comma)), name))
                return true;
            options = comma == std::string_view::npos ? std::string_view() : options.substr(comma + 1);
        }
        return false;
    }

    bool isConnectionOption(const HttpHead& head, std::string_view name)
    {
        return std::any_of(head.fields.begin(), head.fields.end(), [&](const auto& it) { return equalsIgnoringCase(it.name, "connection") && containsOption(it.value, name); });
    }

    // Fields that HTTP defines for all recipients: a sender must not name them as connection options.
    constexpr std::string_view httpEndToEndFields[] { "cache-control", "content-encoding", "content-language", "content-location", "content-range", "content-type", "date",
        "host", "location", "retry-after", "vary" };

    bool isEndToEnd(std::string_view name, const WireNames& names)
    {
        return containsName(httpEndToEndFields, name) || std::any_of(names.endToEnd.begin(), names.endToEnd.end(), [&](const auto& it) { return equalsIgnoringCase(it, name); });
    }

} // namespace

bool isHopByHop(const HttpHead& head, std::string_view name, const WireNames& names)
{
    constexpr std::string_view hopByHopFields[] { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };
    return containsName(hopByHopFields, name) || (isConnectionOption(head, name) && !isEndToEnd(name, names));
}

std::vector<PromptPart> parsePromptParts(std::string_view text)
{
    std::vector<PromptPart> parts;
    while (!text.empty()) {
        auto comma = text.find(',');
        auto item = text.substr(0, comma);
        auto colon = item.find(':');
        if (colon == std::string_view::npos)
            break;
        auto id = parseNumber<std::uint64_t>(item.substr(0, colon), 16);
        auto tokens = parseNumber<std::uint64_t>(item.substr(colon + 1));
        if (!tokens)
            break;
        parts.push_back({ .id = id ? *id : std::hash<std::string_view> {}(item.substr(0, colon)), .tokens = static_cast<double>(*tokens) });
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

Milliseconds requestTimeout(std::string_view deadline, Milliseconds routeTimeout)
{
    auto milliseconds = parseNumber<std::int64_t>(deadline);
    return milliseconds ? Milliseconds(std::clamp<std::int64_t>(*milliseconds, 0, routeTimeout.count())) : routeTimeout;
}

std::string formatSeconds(Milliseconds duration)
{
    char buf[32];
    auto [end, ec] = std::to_chars(buf, buf + sizeof(buf), static_cast<double>(duration.count()) / 1000, std::chars_format::fixed, 2);
    return { buf, end };
}

} // namespace Onyxnotch
