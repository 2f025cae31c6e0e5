// Message by which a node tells one that has just started what is left of the teams' limits (TeamLimits). Encoded by cereal.
#pragma once

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace Onyxnotch {

struct TeamLevels {
    static constexpr double maximumLevel = 1e15; // Far above any burst, positive or negative.

    std::map<std::string, double> levels {}; // By team, in the unit of its limit; negative after a burst.

    bool operator==(const TeamLevels&) const = default;

    // Whether all levels are within plausible ranges; otherwise the message is refused.
    bool isSound() const
    {
        return std::all_of(levels.begin(), levels.end(), [](const auto& it) { return std::abs(it.second) <= maximumLevel; });
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(levels); }
};

} // namespace Onyxnotch
