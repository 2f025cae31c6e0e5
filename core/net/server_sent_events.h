// Incremental parser and writer for server-sent events (WHATWG HTML standard, section 9.2).
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Onyxnotch {

struct ServerSentEvent {
    std::string id {};
    std::string name {};
    std::string data {};

    bool operator==(const ServerSentEvent&) const = default;
};

// Parses bytes as they arrive and passes each event to the receiver. An event is reported only after its terminating blank line.
class ServerSentEventParser {
public:
    // Returns false to stop parsing.
    using Receiver = std::function<bool(const ServerSentEvent&)>;

    explicit ServerSentEventParser(Receiver);

    // Returns false if the receiver stopped, or an event is larger than 16 MiB.
    bool feed(std::string_view bytes);

private:
    bool processLine(std::string_view line);

    Receiver m_receiver;
    std::string m_buffer {}; // An incomplete line.
    std::size_t m_eventBytes { 0 }; // Of the complete lines of the event that is being read.
    ServerSentEvent m_event;
    bool m_hasData { false };
};

std::string writeServerSentEvent(const ServerSentEvent&);

} // namespace Onyxnotch
