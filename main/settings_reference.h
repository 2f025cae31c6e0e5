// The settings reference of the operators' pages, made from the schemas.
#pragma once

#include <string>

namespace Onyxnotch {

// docs/operators/settings.md as it should be.
std::string settingsReference();

} // namespace Onyxnotch
