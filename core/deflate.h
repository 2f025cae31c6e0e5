// Compression of documents that nodes send each other, by zlib.
#pragma once

#include "core/outcome.h"
#include <string>
#include <string_view>

namespace Onyxnotch {

// In zlib's format, at its fastest level: lists and configurations shrink to an eighth.
std::string compressText(std::string_view bytes);
// Errors: InvalidArgument for what is no such text, or is longer than `most` bytes when it is whole.
Result<std::string> decompressText(std::string_view bytes, std::size_t most);

} // namespace Onyxnotch
