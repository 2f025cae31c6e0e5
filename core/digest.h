// Hashes and random values: SHA-256 for API keys, HMAC-SHA-256 for tickets, xxHash for detecting accidental corruption. Wraps OpenSSL and
// xxHash.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Onyxnotch {

// SHA-256 of `data` in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

// First 16 bytes of HMAC-SHA-256 in lower-case hexadecimal.
std::string shortMacHex(std::string_view key, std::string_view data);

// Non-cryptographic 64-bit hash (XXH3), for detecting corruption and distributing keys over shards.
std::uint64_t fastHash(std::string_view data);

// `byteCount` cryptographically secure random bytes in lower-case hexadecimal. Aborts the process if no random data is available.
std::string randomHex(unsigned byteCount);

// The comparison time does not depend on the position of the first difference.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace Onyxnotch
