// Digest that identifies equal requests regardless of the ids that clients assign: same team, host, path with query, and body.
#pragma once

#include "core/digest.h"
#include "core/text.h"
#include <compare>
#include <cstdio>
#include <string>

namespace Onyxnotch {

struct RequestDigest {
    std::uint32_t team { 0 }; // Hash of the team's name; 0 for requests without a team.
    std::uint64_t content { 0 }; // Hash of host, path with query, and body.

    auto operator<=>(const RequestDigest&) const = default;

    // Returns "TEAM-CONTENT" in hex, for logs and object names.
    std::string text() const
    {
        char buf[32];
        std::snprintf(buf, sizeof(buf), "%08x-%016llx", team, static_cast<unsigned long long>(content));
        return buf;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(team, content); }
};

// Calculates the digest of a request whose body has been received completely. The method is left out: endpoints only use the path and the
// body.
inline RequestDigest digestOf(std::string_view team, std::string_view host, std::string_view target, std::string_view body)
{
    // Makes the hash depend on the position of each text, so that equal texts in different places don't cancel each other out.
    constexpr std::uint64_t spread = 0x9e3779b97f4a7c15U;
    auto content = fastHash(lowerCase(std::string(host)));
    content = content * spread + fastHash(target);
    content = content * spread + fastHash(body);
    return { .team = team.empty() ? 0 : static_cast<std::uint32_t>(fastHash(team)), .content = content };
}

} // namespace Onyxnotch
