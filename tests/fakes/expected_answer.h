// The text that the fake model engine generates. It depends only on the prompt, so that tests can detect incomplete or corrupted answers
// and answers to the prompt of another client.
#pragma once

#include "core/digest.h"
#include <string>

namespace Onyxnotch::Fakes {

inline std::string answerToken(const std::string& prompt, unsigned index)
{
    static constexpr unsigned hashRange = 100000;
    return "w" + std::to_string(fastHash(prompt) % hashRange) + "." + std::to_string(index) + " ";
}

inline std::string expectedAnswer(const std::string& prompt, unsigned tokens)
{
    std::string text {};
    for (unsigned n = 0; n < tokens; ++n)
        text += answerToken(prompt, n);
    return text;
}

// The prompt that a gateway creates from a chat with a single user message.
inline std::string promptOf(const std::string& message) { return "user: " + message + "\n"; }

} // namespace Onyxnotch::Fakes
