// Splits a server-sent event stream at event boundaries and checks that event ids increase by one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

enum class EventStreamCheck {
    Sound,
    OutOfOrder, // An event id was repeated, was lower than the one before, or skipped a number.
};

class EventStream {
public:
    // `lastId` is the id of the last event that the client has received, if it resumes an earlier stream.
    explicit EventStream(std::optional<std::uint64_t> lastId = std::nullopt);

    // Moves the complete events at the front of `input` to `output`; an incomplete event stays in `input`. At an event that is out of
    // order, stops before it and returns OutOfOrder.
    EventStreamCheck take(std::string& input, std::string& output);
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    std::uint64_t events() const { return m_events; }

private:
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events { 0 };
};

} // namespace Onyxnotch
