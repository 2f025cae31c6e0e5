// Reads a complete file into a string.
#pragma once

#include "core/outcome.h"
#include <string>

namespace Onyxnotch {

// Errors: NotFound if the file cannot be opened, Exhausted if it is larger than 16 MiB. The error message includes the path.
Result<std::string> readFile(const std::string& path);

} // namespace Onyxnotch
