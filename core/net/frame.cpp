#include "core/net/frame.h"

#include "core/digest.h"

namespace Onyxnotch {

namespace {

    constexpr std::string_view magic = "ONYX";

    template <typename Integer>
    void appendInteger(std::string& buf, Integer value)
    {
        for (std::size_t n = 0; n < sizeof(Integer); ++n)
            buf += static_cast<char>((value >> (8 * n)) & 0xFFU);
    }

    template <typename Integer>
    Integer readInteger(std::string_view bytes, std::size_t at)
    {
        Integer value = 0;
        for (std::size_t n = 0; n < sizeof(Integer); ++n)
            value |= static_cast<Integer>(static_cast<Integer>(static_cast<unsigned char>(bytes[at + n])) << (8 * n));
        return value;
    }

} // namespace

std::string encodeFrame(const Frame& frame)
{
    std::string buf(magic);
    buf.reserve(frameHeaderBytes + frame.payload.size());
    appendInteger<std::uint16_t>(buf, frameVersion);
    appendInteger<std::uint16_t>(buf, static_cast<std::uint16_t>(frame.type));
    appendInteger<std::uint32_t>(buf, static_cast<std::uint32_t>(frame.payload.size()));
    appendInteger<std::uint64_t>(buf, fastHash(frame.payload));
    return buf + frame.payload;
}

Result<FrameHeader> decodeFrameHeader(std::string_view bytes)
{
    if (bytes.size() < frameHeaderBytes || bytes.substr(0, magic.size()) != magic)
        return Error { ErrorCode::InvalidArgument, "not an onyxnotch frame" };
    if (readInteger<std::uint16_t>(bytes, 4) != frameVersion)
        return Error { ErrorCode::InvalidArgument, "unknown frame version" };
    FrameHeader header {
        .type = static_cast<MessageType>(readInteger<std::uint16_t>(bytes, 6)),
        .payloadBytes = readInteger<std::uint32_t>(bytes, 8),
        .checksum = readInteger<std::uint64_t>(bytes, 12),
    };
    if (header.payloadBytes > maximumFrameBytes)
        return Error { ErrorCode::InvalidArgument, "frame larger than the limit" };
    return header;
}

Result<Frame> checkPayload(const FrameHeader& header, std::string payload)
{
    if (payload.size() != header.payloadBytes)
        return Error { ErrorCode::InvalidArgument, "truncated frame" };
    if (fastHash(payload) != header.checksum)
        return Error { ErrorCode::InvalidArgument, "frame checksum does not match" };
    return Frame { .type = header.type, .payload = std::move(payload) };
}

Result<Frame> decodeFrame(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(header, decodeFrameHeader(bytes));
    return checkPayload(header, std::string(bytes.substr(frameHeaderBytes)));
}

} // namespace Onyxnotch
