#include "core/file.h"

#include <fstream>
#include <sstream>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumFileBytes = 16U << 20U;

} // namespace

Result<std::string> readFile(const std::string& path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return Error { ErrorCode::NotFound, path + ": cannot be opened" };
    std::ostringstream buf;
    buf << stream.rdbuf();
    auto text = buf.str();
    if (text.size() > maximumFileBytes)
        return Error { ErrorCode::Exhausted, path + ": larger than 16 MiB" };
    return text;
}

} // namespace Onyxnotch
