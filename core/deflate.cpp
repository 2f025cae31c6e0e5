#include "core/deflate.h"

#include <algorithm>
#include <zlib.h>

namespace Onyxnotch {

std::string compressText(std::string_view bytes)
{
    std::string result(compressBound(bytes.size()), '\0');
    uLongf size = result.size();
    int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    result.resize(status == Z_OK ? size : 0); // compress2() fails only if out of memory, which terminates the process anyway.
    return result;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t maximumBytes)
{
    constexpr std::size_t initialExpansionFactor = 8;
    auto capacity = std::min(maximumBytes, std::max<std::size_t>(bytes.size(), 1) * initialExpansionFactor);
    while (true) {
        std::string result(capacity, '\0');
        uLongf size = result.size();
        int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
        if (status == Z_OK) {
            result.resize(size);
            return result;
        }
        if (status != Z_BUF_ERROR || capacity >= maximumBytes)
            return Error { ErrorCode::InvalidArgument, "compressed text cannot be read" };
        capacity = std::min(maximumBytes, capacity * 2);
    }
}

} // namespace Onyxnotch
