// Event streams as endpoints of the tests send them.
#pragma once

#include "tests/fakes/scripted_endpoint.h"
#include <string>

namespace Onyxnotch::Tests {

// The head of a chunked event stream that answers `it`.
inline std::string streamHead(const Fakes::ReceivedRequest& it)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-" + std::string(it.head.value("expect-instance"))
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// An event with this id as one chunk of a body.
inline std::string eventChunk(int id)
{
    auto event = "id: " + std::to_string(id) + "\ndata: x\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    return size + event + "\r\n";
}

// The events as chunks of a body.
inline std::string events(int from, int to)
{
    std::string bytes;
    for (int id = from; id <= to; ++id)
        bytes += eventChunk(id);
    return bytes;
}

// The same events as their client receives them, without the framing.
inline std::string plainEvents(int from, int to)
{
    std::string bytes;
    for (int id = from; id <= to; ++id)
        bytes += "id: " + std::to_string(id) + "\ndata: x\n\n";
    return bytes;
}

} // namespace Onyxnotch::Tests
