// Reads messages that PortableBinaryOutputArchive wrote, of any sender: a size in them can claim no more than the bytes that are there. What
// cereal's own reader allocates for a claimed size, before it finds that the bytes are missing, could take all of a node's memory.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/common.hpp>
#include <cstring>
#include <string_view>

namespace Onyxnotch {

// Throws cereal::Exception, as cereal's readers do.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : InputArchive(this)
        , m_bytes(bytes)
    {
        // The first byte tells the writer's byte order.
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

    // Each element takes a byte at least.
    void checkSize(std::uint64_t elements) const
    {
        if (elements > m_bytes.size())
            throw cereal::Exception("a message claims more than it holds");
    }

private:
    std::string_view m_bytes;
};

// The names are cereal's.
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

// Which archive writes what this one reads.
template <>
struct cereal::traits::detail::get_output_from_input<Onyxnotch::BoundedInputArchive> {
    using type = cereal::PortableBinaryOutputArchive;
};
