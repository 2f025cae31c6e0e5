// Model of an endpoint's prefix cache: which prompt parts it is expected to have cached, with least-recently-used eviction.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace Onyxnotch {

// One part of a prompt. Parts with the same id consist of the same tokens.
struct PromptPart {
    std::uint64_t id { 0 };
    double tokens { 0 };

    bool operator==(const PromptPart&) const = default;
};

class PrefixCache {
public:
    // Prompt tokens that need no prefill: those of the leading parts, up to the first part that is not cached.
    double cachedTokens(const std::vector<PromptPart>&) const;
    // Records that the endpoint reads these parts now, and evicts the least recently used parts beyond `capacityTokens`.
    void touch(const std::vector<PromptPart>&, double capacityTokens);
    void clear();

private:
    struct Entry {
        std::uint64_t chain { 0 };
        double tokens { 0 };
    };

    double m_tokens { 0 };
    std::list<Entry> m_entries {}; // Most recently used first.
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_index {};
};

// Hash of each prefix of the parts. Identifies a part together with all parts before it, as a part is reusable only after the same parts.
std::vector<std::uint64_t> chainHashes(const std::vector<PromptPart>&);
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

} // namespace Onyxnotch
