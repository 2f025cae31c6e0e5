// Wire format of messages between onyxnotch processes: a fixed header followed by a message serialized with cereal. Used over TCP and UDP.
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

// Types of all messages between onyxnotch processes. The numbers are part of the wire format; a number is never reused for another type.
enum class MessageType : std::uint16_t {
    Error = 1, // Response to a frame that could not be processed; the payload is an error message.
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
    ZoneAggregate = 16, // Aggregate state of one zone, from a relay node of that zone to the relay nodes of the other zones.
    FleetAggregate = 17, // Aggregate state of all zones, from a relay node to the nodes of its zone.
    SuspectNotice = 18, // Endpoints that have just ended while executing requests, and the requests suspected of causing it.
    LimitUpdate = 19, // Limits advertised by endpoints, and the use of credits for them.
    CreditRequest = 20, // Request to a relay node for credits to send requests to an endpoint with an advertised limit.
    CreditAnswer = 21,
    CreditReturn = 22,
    EndpointSpeeds = 23, // Measured speeds and failures of endpoints, summed over nodes.
    AdmissionLoad = 24, // Demand on services and what their endpoints took, summed over nodes.
    TeamLevels = 25, // Levels of the teams' limits, to a node that has just started.
};

struct Frame {
    MessageType type { MessageType::Error };
    std::string payload {};

    bool operator==(const Frame&) const = default;
};

// Header layout: "ONYX", version (2 bytes), type (2), payload size (4), xxHash of the payload (8). Integers are little-endian.
constexpr std::size_t frameHeaderBytes = 20;
constexpr std::uint16_t frameVersion = 2;
constexpr std::size_t maximumFrameBytes = 32U << 20U;

std::string encodeFrame(const Frame&);

// A decoded frame header.
struct FrameHeader {
    MessageType type { MessageType::Error };
    std::uint32_t payloadBytes { 0 };
    std::uint64_t checksum { 0 };

    bool operator==(const FrameHeader&) const = default;
};

// Errors: InvalidArgument for a wrong magic number, an unknown version or a payload size over maximumFrameBytes.
Result<FrameHeader> decodeFrameHeader(std::string_view bytes);
// Errors: InvalidArgument for an invalid header, a truncated payload or a checksum mismatch.
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

// Errors: InvalidArgument if the frame is of another type, or the payload cannot be deserialized as `Message`.
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
