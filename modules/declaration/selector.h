// Labels and label selectors, with the semantics of Kubernetes label selectors.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

using Labels = std::map<std::string, std::string>;

// How a selector expression compares a label with its values.
enum class SelectorOperator {
    In, // The label exists and its value is listed.
    NotIn, // The label does not exist, or its value is not listed.
    Exists, // The label exists, with any value.
    DoesNotExist,
};

// A condition on the label `key`. `values` is used by In and NotIn only.
struct SelectorExpression {
    std::string key {};
    SelectorOperator operation { SelectorOperator::In };
    std::vector<std::string> values {};

    bool operator==(const SelectorExpression&) const = default;
};

// Selects objects by their labels. All conditions must be met; an empty selector matches everything.
struct Selector {
    Labels matchLabels {};
    std::vector<SelectorExpression> matchExpressions {};

    bool operator==(const Selector&) const = default;

    bool matches(const Labels&) const;
    // Number of conditions. If several rules match one object, the rule with the highest specificity takes precedence.
    std::size_t specificity() const { return matchLabels.size() + matchExpressions.size(); }
};

} // namespace Onyxnotch
