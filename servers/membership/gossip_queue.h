// News that a node still has to pass on. Each item goes out a bounded number of times, the least sent first.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

// A newer item under the same key replaces the older one. Not thread safe.
template <typename Item>
class NewsQueue {
public:
    explicit NewsQueue(std::size_t maximumItems = 8192)
        : m_maximumItems(maximumItems)
    {
    }

    // Returns false where the queue is full; the item then reaches others by the exchange of whole states.
    bool add(const std::string& key, const Item& item)
    {
        if (m_entries.size() >= m_maximumItems && !m_entries.contains(key))
            return false;
        m_entries[key] = Entry { .item = item, .sends = 0 };
        return true;
    }

    // Up to `count` items to send now. An item is dropped after 3 * log2(memberCount) sends, which reaches all with high probability.
    std::vector<Item> take(std::size_t count, std::size_t memberCount)
    {
        auto limit = static_cast<unsigned>(std::ceil(sendsPerDoubling * std::log2(static_cast<double>(memberCount) + 2)));
        std::vector<typename std::map<std::string, Entry>::iterator> order {};
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it)
            order.push_back(it);
        auto kept = std::min(count, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
            [](const auto& left, const auto& right) { return left->second.sends < right->second.sends; });
        std::vector<Item> items {};
        for (std::size_t n = 0; n < kept; ++n) {
            auto it = order[n];
            items.push_back(it->second.item);
            if (++it->second.sends >= limit)
                m_entries.erase(it);
        }
        return items;
    }

    bool empty() const { return m_entries.empty(); }

    bool hasUnsent() const
    {
        return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& it) { return it.second.sends == 0; });
    }

private:
    struct Entry {
        Item item;
        unsigned sends { 0 };
    };

    static constexpr double sendsPerDoubling = 3;

    std::size_t m_maximumItems;
    std::map<std::string, Entry> m_entries {};
};

} // namespace Onyxnotch
