#include "modules/balance/prefix_cache.h"

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumEntries = 4096; // Limits the memory used for one endpoint to about 400 KB.

} // namespace

std::uint64_t mixHash(std::uint64_t left, std::uint64_t right)
{
    // The finalizer of SplitMix64.
    auto value = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::vector<std::uint64_t> chainHashes(const std::vector<PromptPart>& parts)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t chain = 0;
    for (const auto& it : parts) {
        chain = mixHash(chain, it.id);
        hashes.push_back(chain);
    }
    return hashes;
}

double PrefixCache::cachedTokens(const std::vector<PromptPart>& parts) const
{
    double cached = 0;
    std::uint64_t chain = 0;
    for (const auto& it : parts) {
        chain = mixHash(chain, it.id);
        if (!m_index.contains(chain))
            break;
        cached += it.tokens;
    }
    return cached;
}

void PrefixCache::touch(const std::vector<PromptPart>& parts, double capacityTokens)
{
    auto chains = chainHashes(parts);
    // The prompt's first parts are moved to the front of the LRU list last, so that its later parts are evicted before the first ones,
    // which more prompts share.
    for (auto n = parts.size(); n-- > 0;) {
        auto found = m_index.find(chains[n]);
        if (found != m_index.end()) {
            m_entries.splice(m_entries.begin(), m_entries, found->second);
            continue;
        }
        m_entries.push_front({ .chain = chains[n], .tokens = parts[n].tokens });
        m_index.emplace(chains[n], m_entries.begin());
        m_tokens += parts[n].tokens;
    }
    while (!m_entries.empty() && (m_tokens > capacityTokens || m_entries.size() > maximumEntries)) {
        m_tokens -= m_entries.back().tokens;
        m_index.erase(m_entries.back().chain);
        m_entries.pop_back();
    }
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_index.clear();
    m_tokens = 0;
}

} // namespace Onyxnotch
