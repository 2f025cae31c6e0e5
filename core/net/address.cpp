#include "core/net/address.h"

#include <charconv>

namespace Onyxnotch {

Result<Address> parseAddress(std::string_view text)
{
    static constexpr std::string_view scheme = "http://";
    if (text.substr(0, scheme.size()) == scheme)
        text.remove_prefix(scheme.size());
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return Error { ErrorCode::InvalidArgument, "'" + std::string(text) + "' is not HOST:PORT" };
    Address address { .host = std::string(text.substr(0, colon)), .port = 0 };
    auto digits = text.substr(colon + 1);
    auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (ec != std::errc() || end != digits.data() + digits.size())
        return Error { ErrorCode::InvalidArgument, "'" + std::string(text) + "' has no valid port" };
    return address;
}

} // namespace Onyxnotch
