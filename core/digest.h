// Digests: SHA-256 for keys, HMAC-SHA-256 for tickets, xxHash for checks of accidental damage. OpenSSL and xxHash do the work.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Onyxnotch {

// Lower-case hexadecimal SHA-256 of `data`.
std::string sha256Hex(std::string_view data);

// The first 16 bytes of HMAC-SHA-256 as lower-case hexadecimal.
std::string shortMacHex(std::string_view key, std::string_view data);

// Not for security: detects damage and spreads keys over shards.
std::uint64_t fastHash(std::string_view data);

// `byteCount` random bytes from the system, as lower-case hexadecimal.
std::string randomHex(unsigned byteCount);

// Compares in a time that does not depend on where the texts differ.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace Onyxnotch
