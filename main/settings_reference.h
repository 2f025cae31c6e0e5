// Generates the settings reference for operators from the settings schemas.
#pragma once

#include <string>

namespace Onyxnotch {

// Returns the expected content of docs/operators/settings.md in Markdown.
std::string settingsReference();

} // namespace Onyxnotch
