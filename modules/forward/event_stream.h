// Splits a server-sent event stream at event boundaries and checks that event ids increase by one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

// Size of one event, many times that of the largest expected one.
constexpr std::size_t maximumEventBytes = 256U << 10U;

enum class EventStreamCheck {
    Sound,
    TooLarge, // An event is incomplete although it has more than `maximumEventBytes`.
    OutOfOrder, // An event id was repeated, was lower than the one before, or skipped a number.
};

class EventStream {
public:
    // `lastId` is the id of the last event that the client has received, if it resumes an earlier stream.
    explicit EventStream(std::optional<std::uint64_t> lastId = std::nullopt);

    // Moves the complete events at the front of `input` to `output`; an incomplete event stays in `input`, to which the caller appends what
    // follows. At an event that is out of order, stops before it and returns OutOfOrder.
    EventStreamCheck take(std::string& input, std::string& output);
    // Must be called when the stream is resumed by another response, whose first bytes begin a new event.
    void beginResponse() { m_searchedBytes = 0; }
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    std::uint64_t events() const { return m_events; }

private:
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events { 0 };
    std::size_t m_searchedBytes { 0 }; // At the front of the input, in which no event ends.
};

} // namespace Onyxnotch
