#include "modules/declaration/selector.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    // Whether labels meet the condition.
    bool matchesExpression(const SelectorExpression& expression, const Labels& labels)
    {
        auto it = labels.find(expression.key);
        bool exists = it != labels.end();
        bool isListed = exists && std::find(expression.values.begin(), expression.values.end(), it->second) != expression.values.end();
        switch (expression.operation) {
        case SelectorOperator::In:
            return isListed;
        case SelectorOperator::NotIn:
            return !isListed;
        case SelectorOperator::Exists:
            return exists;
        case SelectorOperator::DoesNotExist:
            return !exists;
        }
        return false;
    }

} // namespace

bool Selector::matches(const Labels& labels) const
{
    auto hasLabel = [&](const auto& required) {
        auto it = labels.find(required.first);
        return it != labels.end() && it->second == required.second;
    };
    return std::all_of(matchLabels.begin(), matchLabels.end(), hasLabel)
        && std::all_of(matchExpressions.begin(), matchExpressions.end(), [&](const auto& it) { return matchesExpression(it, labels); });
}

} // namespace Onyxnotch
