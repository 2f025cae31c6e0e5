// Labels, and selectors over them, with the operators that operators of clusters know.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

using Labels = std::map<std::string, std::string>;

enum class SelectorOperator {
    In,
    NotIn,
    Exists,
    DoesNotExist,
};

struct SelectorExpression {
    std::string key {};
    SelectorOperator operation { SelectorOperator::In };
    std::vector<std::string> values {};

    bool operator==(const SelectorExpression&) const = default;
};

// All of its parts must hold. An empty selector selects everything.
struct Selector {
    Labels matchLabels {};
    std::vector<SelectorExpression> matchExpressions {};

    bool operator==(const Selector&) const = default;

    bool matches(const Labels&) const;
    // How many conditions it states; of two rules for the same thing the more specific one goes first.
    std::size_t specificity() const { return matchLabels.size() + matchExpressions.size(); }
};

} // namespace Onyxnotch
