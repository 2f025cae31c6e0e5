// The text that the stand-in of a model engine generates: it follows from the prompt alone, so that tests can tell a whole answer
// from a broken one and one caller's answer from another's.
#pragma once

#include "core/digest.h"
#include <string>

namespace Onyxnotch::Fakes {

inline std::string answerToken(const std::string& prompt, unsigned index)
{
    static constexpr unsigned words = 100000;
    return "w" + std::to_string(fastHash(prompt) % words) + "." + std::to_string(index) + " ";
}

inline std::string expectedAnswer(const std::string& prompt, unsigned tokens)
{
    std::string text {};
    for (unsigned n = 0; n < tokens; ++n)
        text += answerToken(prompt, n);
    return text;
}

// The prompt that a gateway makes of one user message.
inline std::string promptOf(const std::string& message) { return "user: " + message + "\n"; }

} // namespace Onyxnotch::Fakes
