#include "modules/routing/endpoint_subset.h"

#include "core/digest.h"
#include <algorithm>

namespace Onyxnotch {

std::vector<Endpoint> chooseSubset(const std::vector<Endpoint>& endpoints, const std::string& node, std::size_t size)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, const Endpoint*>>> rankedByModel;
    for (const auto& it : endpoints) {
        if (!it.model.empty())
            rankedByModel[it.model].emplace_back(fastHash(node + "|" + it.id), &it);
    }
    std::vector<Endpoint> chosen;
    for (auto& [model, ranked] : rankedByModel) {
        auto count = std::min(size, ranked.size());
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
        for (std::size_t n = 0; n < count; ++n)
            chosen.push_back(*ranked[n].second);
    }
    return chosen;
}

} // namespace Onyxnotch
