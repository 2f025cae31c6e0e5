#include "modules/suspects/suspect_update.h"

#include <algorithm>
#include <map>

namespace Onyxnotch {

namespace {

    // The higher round wins; within a round, the node that has known the block for longest has the right age.
    bool supersedes(const BlockedRequest& left, const BlockedRequest& right)
    {
        return std::pair(left.round, left.ageSeconds) > std::pair(right.round, right.ageSeconds);
    }

    template <typename Value>
    void append(std::vector<Value>& values, const std::vector<Value>& more) { values.insert(values.end(), more.begin(), more.end()); }

    template <typename Value>
    void sortUnique(std::vector<Value>& values)
    {
        std::sort(values.begin(), values.end());
        values.erase(std::unique(values.begin(), values.end()), values.end());
    }

    // Keeps for each request the entry whose answered copy was sent last. `cleared` is sorted by request and then by age.
    void keepLatest(std::vector<ClearedRequest>& cleared)
    {
        auto same = [](const auto& left, const auto& right) { return left.request == right.request; };
        cleared.erase(std::unique(cleared.begin(), cleared.end(), same), cleared.end());
    }

    void keepBest(std::vector<BlockedRequest>& blocked)
    {
        std::sort(blocked.begin(), blocked.end(), [](const auto& left, const auto& right) {
            return left.request < right.request || (left.request == right.request && supersedes(left, right));
        });
        blocked.erase(std::unique(blocked.begin(), blocked.end(), [](const auto& left, const auto& right) { return left.request == right.request; }), blocked.end());
    }

} // namespace

void mergeUpdate(SuspectUpdate& sum, const SuspectUpdate& other)
{
    append(sum.reports, other.reports);
    append(sum.blocked, other.blocked);
    append(sum.cleared, other.cleared);
    append(sum.knownGood, other.knownGood);
}

void truncateUpdate(SuspectUpdate& news, const SuspectUpdateLimits& limits)
{
    sortUnique(news.reports);
    keepBest(news.blocked);
    sortUnique(news.cleared);
    keepLatest(news.cleared);
    sortUnique(news.knownGood);
    if (news.reports.size() > limits.reports) {
        std::map<RequestDigest, unsigned> incarnations;
        for (const auto& it : news.reports)
            ++incarnations[it.request];
        std::stable_sort(news.reports.begin(), news.reports.end(), [&](const auto& left, const auto& right) { return incarnations[left.request] > incarnations[right.request]; });
        news.reports.resize(limits.reports);
    }
    if (news.blocked.size() > limits.blocked) {
        std::stable_sort(news.blocked.begin(), news.blocked.end(), [](const auto& left, const auto& right) { return left.ageSeconds < right.ageSeconds; });
        news.blocked.resize(limits.blocked);
    }
    if (news.cleared.size() > limits.cleared)
        news.cleared.resize(limits.cleared);
    if (news.knownGood.size() > limits.knownGood)
        news.knownGood.resize(limits.knownGood);
}

} // namespace Onyxnotch
