#include "core/deflate.h"

#include <algorithm>
#include <zlib.h>

namespace Onyxnotch {

std::string compressText(std::string_view bytes)
{
    std::string result(compressBound(bytes.size()), '\0');
    uLongf size = result.size();
    int status = compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    result.resize(status == Z_OK ? size : 0); // It fails only for want of memory, which ends the process anyway.
    return result;
}

Result<std::string> decompressText(std::string_view bytes, std::size_t most)
{
    constexpr std::size_t firstGuess = 8;
    auto room = std::min(most, std::max<std::size_t>(bytes.size(), 1) * firstGuess);
    while (true) {
        std::string result(room, '\0');
        uLongf size = result.size();
        int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(bytes.data()), bytes.size());
        if (status == Z_OK) {
            result.resize(size);
            return result;
        }
        if (status != Z_BUF_ERROR || room >= most)
            return Error { ErrorCode::InvalidArgument, "compressed text cannot be read" };
        room = std::min(most, room * 2);
    }
}

} // namespace Onyxnotch
