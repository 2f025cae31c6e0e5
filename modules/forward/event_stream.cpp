#include "modules/forward/event_stream.h"

#include <charconv>
#include <string_view>

namespace Onyxnotch {

namespace {

    constexpr std::string_view idField = "id:";

    // Returns the event's numeric id, or nullopt if it has no id or the id is not a number.
    std::optional<std::uint64_t> parseEventId(std::string_view event)
    {
        while (!event.empty()) {
            auto end = event.find('\n');
            auto line = event.substr(0, end);
            if (line.substr(0, idField.size()) == idField) {
                line.remove_prefix(idField.size());
                while (!line.empty() && line.front() == ' ')
                    line.remove_prefix(1);
                std::uint64_t id = 0;
                auto [remaining, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
                return ec == std::errc() ? std::optional(id) : std::nullopt;
            }
            if (end == std::string_view::npos)
                break;
            event.remove_prefix(end + 1);
        }
        return std::nullopt;
    }

    constexpr std::string_view eventEndAfterLineFeed = "\n\n";
    constexpr std::string_view eventEndAfterCarriageReturn = "\r\n\r\n";

    // Returns the offset after the blank line that ends the first event, or npos if the event is incomplete. No event ends in the first
    // `searchedBytes`.
    std::size_t eventEnd(std::string_view bytes, std::size_t searchedBytes)
    {
        for (auto lineEnd = bytes.find('\n', searchedBytes); lineEnd != std::string_view::npos; lineEnd = bytes.find('\n', lineEnd + 1)) {
            auto event = bytes.substr(0, lineEnd + 1);
            if (event.ends_with(eventEndAfterLineFeed) || event.ends_with(eventEndAfterCarriageReturn))
                return event.size();
        }
        return std::string_view::npos;
    }

} // namespace

EventStream::EventStream(std::optional<std::uint64_t> lastId)
    : m_lastId(lastId)
{
}

EventStreamCheck EventStream::take(std::string& input, std::string& output)
{
    std::size_t consumed = 0;
    std::string_view remaining(input);
    auto check = EventStreamCheck::Sound;
    for (auto end = eventEnd(remaining, m_searchedBytes); end != std::string_view::npos; end = eventEnd(remaining, 0)) {
        if (auto id = parseEventId(remaining.substr(0, end))) {
            if (m_lastId && *id != *m_lastId + 1) {
                check = EventStreamCheck::OutOfOrder;
                break;
            }
            m_lastId = id;
        }
        ++m_events;
        consumed += end;
        remaining.remove_prefix(end);
    }
    output.append(input, 0, consumed);
    input.erase(0, consumed);
    m_searchedBytes = input.size();
    if (check == EventStreamCheck::Sound && input.size() > maximumEventBytes)
        check = EventStreamCheck::TooLarge;
    return check;
}

} // namespace Onyxnotch
