#include "modules/forward/head_fields.h"

#include <algorithm>

namespace Onyxnotch {

bool isHopByHop(const HttpHead& head, std::string_view name)
{
    constexpr std::string_view hopByHopFields[] { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length", "expect" };
    if (std::any_of(std::begin(hopByHopFields), std::end(hopByHopFields), [&](auto it) { return equalsIgnoringCase(it, name); }))
        return true;
    auto connectionFields = head.value("connection");
    while (!connectionFields.empty()) {
        auto comma = connectionFields.find(',');
        auto fieldName = connectionFields.substr(0, comma);
        while (!fieldName.empty() && fieldName.front() == ' ')
            fieldName.remove_prefix(1);
        while (!fieldName.empty() && fieldName.back() == ' ')
            fieldName.remove_suffix(1);
        if (equalsIgnoringCase(fieldName, name))
            return true;
        connectionFields = comma == std::string_view::npos ? std::string_view() : connectionFields.substr(comma + 1);
    }
    return false;
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
