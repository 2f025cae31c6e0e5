#include "core/utf8.h"

namespace Onyxnotch {

namespace {

    unsigned char byteAt(std::string_view text, std::size_t at) { return static_cast<unsigned char>(text[at]); }

    // Length in bytes of the UTF-8 sequence that starts at `at`; 0 if it is invalid. Overlong encodings, surrogates and code points above
    // U+10FFFF are invalid.
    std::size_t sequenceLength(std::string_view text, std::size_t at)
    {
        auto first = byteAt(text, at);
        if (first < 0x80)
            return 1;
        std::size_t length = first >= 0xC2 && first <= 0xDF ? 2 : ((first & 0xF0U) == 0xE0 ? 3 : (first >= 0xF0 && first <= 0xF4 ? 4 : 0));
        if (length == 0 || at + length > text.size())
            return 0;
        for (std::size_t n = 1; n < length; ++n) {
            if ((byteAt(text, at + n) & 0xC0U) != 0x80)
                return 0;
        }
        auto second = byteAt(text, at + 1);
        bool isOverlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
        bool isInvalidCodePoint = (first == 0xED && second >= 0xA0) || (first == 0xF4 && second >= 0x90);
        return isOverlong || isInvalidCodePoint ? 0 : length;
    }

    std::size_t validUntil(std::string_view text, std::size_t at)
    {
        while (at < text.size()) {
            auto length = sequenceLength(text, at);
            if (length == 0)
                break;
            at += length;
        }
        return at;
    }

} // namespace

std::string sanitizeUtf8(std::string text)
{
    auto validEnd = validUntil(text, 0);
    if (validEnd == text.size())
        return text;
    std::string sanitized;
    std::size_t begin = 0;
    while (begin < text.size()) {
        sanitized.append(text, begin, validEnd - begin);
        if (validEnd == text.size())
            break;
        sanitized += replacementCharacter;
        begin = validEnd + 1;
        validEnd = validUntil(text, begin);
    }
    return sanitized;
}

} // namespace Onyxnotch
