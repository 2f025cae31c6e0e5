// Reads settings files: JSON validated against a JSON Schema, which also defines the default values.
#pragma once

#include "core/outcome.h"
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Onyxnotch {

// Reads the file, validates it against the schema and adds the defaults. Errors: those of readFile(), or InvalidArgument for invalid JSON
// and schema violations. The message has one line per violation: the file, the key as a JSON pointer, the reason.
Result<nlohmann::json> readSettingsFile(const std::string& path, const std::string& schema);

} // namespace Onyxnotch
