#include "core/net/frame.h"
#include "servers/membership/member.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Frames)

BOOST_AUTO_TEST_CASE(decoding_restores_an_encoded_frame)
{
    Tests::checkProperty("encode and decode", [](const std::string& payload) {
        Frame frame { .type = MessageType::Gossip, .payload = payload };
        auto decoded = decodeFrame(encodeFrame(frame));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == frame);
    });
}

BOOST_AUTO_TEST_CASE(corruption_of_any_byte_is_detected)
{
    Tests::checkProperty("one byte changed", [](std::string payload) {
        payload += "x";
        auto bytes = encodeFrame({ .type = MessageType::Gossip, .payload = payload });
        auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(bytes[at] ^ 0x40);
        auto decoded = decodeFrame(bytes);
        // A changed type is not detected here, since the checksum covers only the payload; the receiver rejects an unexpected type.
        bool typeChanged = at == 6 || at == 7;
        RC_ASSERT(typeChanged || !decoded.has_value());
    });
}

BOOST_AUTO_TEST_CASE(truncated_frames_and_other_versions_are_rejected)
{
    auto bytes = encodeFrame({ .type = MessageType::Gossip, .payload = "payload" });
    for (std::size_t n = 0; n < bytes.size(); ++n)
        BOOST_CHECK(!decodeFrame(bytes.substr(0, n)));
    bytes[4] = frameVersion + 1;
    auto other = decodeFrame(bytes);
    BOOST_REQUIRE(!other);
    BOOST_CHECK_EQUAL(other.error().message, "unknown frame version");
}

BOOST_AUTO_TEST_CASE(unpacking_garbage_does_not_crash)
{
    Tests::checkProperty("garbage payload", [](const std::string& payload) {
        Frame frame { .type = MessageType::JoinReply, .payload = payload };
        // May succeed or return an error, but must not crash.
        (void)unpackMessage<JoinReplyMessage>(MessageType::JoinReply, frame);
    });
}

// Guards against allocating the container size declared in a message before checking that the data is present: a message of 40 bytes could
// exhaust all memory.
BOOST_AUTO_TEST_CASE(a_message_that_declares_more_than_it_contains_is_rejected)
{
    std::vector<std::string> texts { "a", "b", "c" };
    auto frame = packMessage(MessageType::Gossip, texts);
    BOOST_TEST((unpackMessage<std::vector<std::string>>(MessageType::Gossip, frame).value() == texts));
    auto oversized = frame;
    for (std::size_t at = 1; at < 9; ++at) {
        oversized.payload[at] = '\x7F';
        BOOST_TEST(!unpackMessage<std::vector<std::string>>(MessageType::Gossip, oversized));
    }
    for (std::size_t n = 0; n < frame.payload.size(); ++n)
        BOOST_TEST(!unpackMessage<std::vector<std::string>>(MessageType::Gossip, { .type = MessageType::Gossip, .payload = frame.payload.substr(0, n) }));
}

BOOST_AUTO_TEST_SUITE_END()
