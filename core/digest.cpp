#include "core/digest.h"

#include <array>
#include <cstdlib>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <vector>
#include <xxhash.h>

namespace Onyxnotch {

namespace {

    std::string toHex(const unsigned char* bytes, std::size_t size)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string text;
        text.reserve(size * 2);
        for (std::size_t n = 0; n < size; ++n) {
            text += digits[bytes[n] >> 4U];
            text += digits[bytes[n] & 0xFU];
        }
        return text;
    }

} // namespace

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned size = 0;
    EVP_Digest(data.data(), data.size(), buf.data(), &size, EVP_sha256(), nullptr);
    return toHex(buf.data(), size);
}

std::string shortMacHex(std::string_view key, std::string_view data)
{
    static constexpr std::size_t truncatedBytes = 16;
    std::array<unsigned char, EVP_MAX_MD_SIZE> buf {};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(data.data()), data.size(), buf.data(), &size);
    return toHex(buf.data(), truncatedBytes);
}

std::uint64_t fastHash(std::string_view data)
{
    return XXH3_64bits(data.data(), data.size());
}

std::string randomHex(unsigned byteCount)
{
    std::vector<unsigned char> buf(byteCount);
    // Without random data, tickets could be forged.
    if (RAND_bytes(buf.data(), static_cast<int>(byteCount)) != 1)
        std::abort();
    return toHex(buf.data(), buf.size());
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Onyxnotch
