// An IP address with a port, the only way that processes name each other.
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

// Reads "127.0.0.1:8080", with or without "http://" before it.
Result<Address> parseAddress(std::string_view text);

} // namespace Onyxnotch
