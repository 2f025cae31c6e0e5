// String helpers.
#pragma once

#include <algorithm>
#include <cctype>
#include <string>

namespace Onyxnotch {

// Converts ASCII letters to lower case; other bytes are unchanged.
inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace Onyxnotch
