// Input archive for messages written by cereal::PortableBinaryOutputArchive, safe for untrusted input: container sizes are checked against
// the number of remaining bytes. cereal's own reader allocates memory for the declared size before it finds that the data is missing, so
// that a malformed message could exhaust the memory of a node.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>
#include <cstring>
#include <string_view>

namespace Onyxnotch {

// Reads from `bytes`, which must outlive the archive. Throws cereal::Exception on malformed input.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        // The first byte is the byte order of the writer. Only the native byte order is supported.
        std::uint8_t isLittleEndian = 0;
        loadBinary(&isLittleEndian, sizeof(isLittleEndian));
        if (isLittleEndian != cereal::portable_binary_detail::is_little_endian())
            throw cereal::Exception("a message of another byte order");
    }

    void loadBinary(void* data, std::size_t size)
    {
        if (size > m_bytes.size())
            throw cereal::Exception("a message ends early");
        std::memcpy(data, m_bytes.data(), size);
        m_bytes.remove_prefix(size);
    }

    // Throws if a container declares more elements than there are bytes left: each element takes at least one byte.
    void checkSize(std::uint64_t elements) const
    {
        if (elements > m_bytes.size())
            throw cereal::Exception("a message claims more than it holds");
    }

private:
    std::string_view m_bytes;
};

// cereal requires these names.
// NOLINTBEGIN(readability-identifier-naming)
template <class Value>
requires std::is_arithmetic_v<Value>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, Value& value)
{
    archive.loadBinary(std::addressof(value), sizeof(value));
}

template <class Value>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<Value>& pair)
{
    archive(pair.value);
}

template <class Value>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<Value>& tag)
{
    archive(tag.size);
    archive.checkSize(tag.size);
}

template <class Value>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<Value>& binary)
{
    archive.loadBinary(binary.data, binary.size);
}
// NOLINTEND(readability-identifier-naming)

} // namespace Onyxnotch

// Tells cereal which output archive corresponds to BoundedInputArchive.
template <>
struct cereal::traits::detail::get_output_from_input<Onyxnotch::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
