// Frames between our own processes: a fixed header, then a message encoded by cereal. The same frame goes over TCP and UDP.
#pragma once

#include "core/net/bounded_archive.h"
#include "core/outcome.h"
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace Onyxnotch {

// Every message between our processes. Numbers are never used again for another message.
enum class MessageType : std::uint16_t {
    Error = 1, // The answer to a frame that could not be served; the payload is a sentence.
    Gossip = 2,
    GossipAcknowledgement = 3,
    JoinRequest = 4,
    JoinReply = 5,
    DocumentRequest = 6,
    DocumentReply = 7,
    LedgerOffer = 8,
    HandoverReply = 9,
    RequestBatch = 10,
    LedgerUpdate = 11,
    IndirectProbe = 12,
    PeerRow = 13,
    PrefillNotice = 14,
    UsageNotice = 15,
    ZoneAggregate = 16, // Of a relay's zone, to the relays of the other zones.
    FleetAggregate = 17, // Of all zones, to the nodes of the relay's zone.
    SuspectNotice = 18, // Endpoints have just ended under requests.
    LimitUpdate = 19, // What limited endpoints take.
    CreditRequest = 20, // To a relay, for a request to such an endpoint.
    CreditAnswer = 21,
    CreditReturn = 22,
};

struct Frame {
    MessageType type { MessageType::Error };
    std::string payload {};

    bool operator==(const Frame&) const = default;
};

// The header: "ONYX", version (2 bytes), type (2), payload size (4), xxHash of the payload (8), all little endian.
constexpr std::size_t frameHeaderBytes = 20;
constexpr std::uint16_t frameVersion = 2;
constexpr std::size_t maximumFrameBytes = 32U << 20U;

std::string encodeFrame(const Frame&);

// What a frame's header announces.
struct FrameHeader {
    MessageType type { MessageType::Error };
    std::uint32_t payloadBytes { 0 };
    std::uint64_t checksum { 0 };

    bool operator==(const FrameHeader&) const = default;
};

// Errors: InvalidArgument for a wrong magic number, another version or a payload over the limit.
Result<FrameHeader> decodeFrameHeader(std::string_view bytes);
// Errors: InvalidArgument where the payload is truncated or does not match the checksum.
Result<Frame> decodeFrame(std::string_view bytes);
Result<Frame> checkPayload(const FrameHeader&, std::string payload);

template <typename Message>
Frame packMessage(MessageType type, const Message& message)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return Frame { .type = type, .payload = stream.str() };
}

// Errors: InvalidArgument where the frame is of another type, or its payload is not such a message.
template <typename Message>
Result<Message> unpackMessage(MessageType expected, const Frame& frame)
{
    if (frame.type == MessageType::Error)
        return Error { ErrorCode::InvalidArgument, "peer answered: " + frame.payload };
    if (frame.type != expected)
        return Error { ErrorCode::InvalidArgument, "unexpected message type" };
    try {
        BoundedInputArchive archive(frame.payload);
        Message message;
        archive(message);
        return message;
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, exception.what() };
    }
}

} // namespace Onyxnotch
