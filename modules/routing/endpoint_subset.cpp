#include "modules/routing/endpoint_subset.h"

#include "core/digest.h"
#include <algorithm>

namespace Onyxnotch {

std::vector<Endpoint> chooseSubset(const std::vector<Endpoint>& endpoints, const std::string& node, std::size_t size)
{
    std::map<std::string, std::vector<std::pair<std::uint64_t, const Endpoint*>>> byModel;
    for (const auto& it : endpoints) {
        if (!it.model.empty())
            byModel[it.model].emplace_back(fastHash(node + "|" + it.id), &it);
    }
    std::vector<Endpoint> chosen;
    for (auto& [model, weighted] : byModel) {
        auto kept = std::min(size, weighted.size());
        std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
        for (std::size_t n = 0; n < kept; ++n)
            chosen.push_back(*weighted[n].second);
    }
    return chosen;
}

} // namespace Onyxnotch
