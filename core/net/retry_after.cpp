#include "core/net/retry_after.h"

#include "core/net/decimal.h"
#include <algorithm>
#include <cmath>

namespace Onyxnotch {

std::optional<Milliseconds> parseRetryAfter(std::string_view text)
{
    auto seconds = parseDecimal(text);
    if (!seconds)
        return std::nullopt;
    auto longest = std::chrono::duration<double>(maximumParsedRetryAfter).count();
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(*seconds, longest) * 1000)));
}

} // namespace Onyxnotch
