// Whole files as text.
#pragma once

#include "core/outcome.h"
#include <string>

namespace Onyxnotch {

// Errors: NotFound, or Exhausted where the file is larger than 16 MiB. The message names the path.
Result<std::string> readFile(const std::string& path);

} // namespace Onyxnotch
