#include "modules/declaration/selector.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    bool holds(const SelectorExpression& expression, const Labels& labels)
    {
        auto it = labels.find(expression.key);
        bool exists = it != labels.end();
        bool listed = exists && std::find(expression.values.begin(), expression.values.end(), it->second) != expression.values.end();
        switch (expression.operation) {
        case SelectorOperator::In:
            return listed;
        case SelectorOperator::NotIn:
            return !listed;
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
    auto hasLabel = [&](const auto& wanted) {
        auto it = labels.find(wanted.first);
        return it != labels.end() && it->second == wanted.second;
    };
    return std::all_of(matchLabels.begin(), matchLabels.end(), hasLabel)
        && std::all_of(matchExpressions.begin(), matchExpressions.end(), [&](const auto& it) { return holds(it, labels); });
}

} // namespace Onyxnotch
