#include "core/utf8.h"

namespace Onyxnotch {

namespace {

    unsigned char byteAt(std::string_view text, std::size_t at) { return static_cast<unsigned char>(text[at]); }

    // Of the character that begins at `at`; 0 where none does. Overlong forms, surrogates and numbers above U+10FFFF are none.
    std::size_t characterLength(std::string_view text, std::size_t at)
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
        bool isNoCharacter = (first == 0xED && second >= 0xA0) || (first == 0xF4 && second >= 0x90);
        return isOverlong || isNoCharacter ? 0 : length;
    }

    std::size_t soundPrefix(std::string_view text, std::size_t at)
    {
        while (at < text.size()) {
            auto length = characterLength(text, at);
            if (length == 0)
                break;
            at += length;
        }
        return at;
    }

} // namespace

std::string sanitizeUtf8(std::string text)
{
    auto sound = soundPrefix(text, 0);
    if (sound == text.size())
        return text;
    std::string readable;
    std::size_t begin = 0;
    while (begin < text.size()) {
        readable.append(text, begin, sound - begin);
        if (sound == text.size())
            break;
        readable += replacementCharacter;
        begin = sound + 1;
        sound = soundPrefix(text, begin);
    }
    return readable;
}

} // namespace Onyxnotch
