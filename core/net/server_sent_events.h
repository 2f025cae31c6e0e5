// Server-sent events (the WHATWG HTML standard, section 9.2): an incremental parser and a writer.
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

// Takes bytes as they arrive. An event without its closing blank line is never reported.
class ServerSentEventParser {
public:
    // Return false to stop.
    using Receiver = std::function<bool(const ServerSentEvent&)>;

    explicit ServerSentEventParser(Receiver);

    // False where the receiver asked to stop, or a line is longer than 16 MiB.
    bool feed(std::string_view bytes);

private:
    bool takeLine(std::string_view line);

    Receiver m_receiver;
    std::string m_buffer {};
    ServerSentEvent m_event;
    bool m_hasData { false };
};

std::string writeServerSentEvent(const ServerSentEvent&);

} // namespace Onyxnotch
