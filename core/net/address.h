// An IP address with a port. Processes address each other only in this form, never by host name.
#pragma once

#include "core/outcome.h"
#include <compare>
#include <cstdint>
#include <string>

namespace Onyxnotch {

struct Address {
    std::string host {}; // A numeric IP address.
    std::uint16_t port { 0 };

    auto operator<=>(const Address&) const = default;
    bool empty() const { return host.empty(); }
    std::string text() const { return host + ":" + std::to_string(port); }

    template <class Archive>
    void serialize(Archive& archive) { archive(host, port); }
};

// Parses "HOST:PORT", e.g. "127.0.0.1:8080", with an optional "http://" prefix. The host is not validated. Errors: InvalidArgument.
Result<Address> parseAddress(std::string_view text);

} // namespace Onyxnotch
