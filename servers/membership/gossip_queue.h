// Queue of updates that a node still has to send to other nodes. Each update is sent a bounded number of times, the least sent first.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

// Holds one item per key; adding an item replaces the previous one of its key. Not thread-safe.
template <typename Item>
class GossipQueue {
public:
    explicit GossipQueue(std::size_t maximumItems = 8192)
        : m_maximumItems(maximumItems)
    {
    }

    // Returns false if the queue is full. The item then reaches other nodes only when they exchange their complete state.
    bool add(const std::string& key, const Item& item)
    {
        if (m_entries.size() >= m_maximumItems && !m_entries.contains(key))
            return false;
        m_entries[key] = Entry { .item = item, .sends = 0 };
        return true;
    }

    // Returns up to `count` items to send now and counts a send for each. An item is dropped after about 3 * log2(memberCount) sends, which
    // reaches all members with high probability.
    std::vector<Item> nextBatch(std::size_t count, std::size_t memberCount)
    {
        auto limit = static_cast<unsigned>(std::ceil(sendsPerDoubling * std::log2(static_cast<double>(memberCount) + 2)));
        std::vector<typename std::map<std::string, Entry>::iterator> order {};
        for (auto it = m_entries.begin(); it != m_entries.end(); ++it)
            order.push_back(it);
        auto selected = std::min(count, order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(selected), order.end(),
            [](const auto& left, const auto& right) { return left->second.sends < right->second.sends; });
        std::vector<Item> items {};
        for (std::size_t n = 0; n < selected; ++n) {
            auto it = order[n];
            items.push_back(it->second.item);
            if (++it->second.sends >= limit)
                m_entries.erase(it);
        }
        return items;
    }

    bool empty() const { return m_entries.empty(); }

    // Whether any item has not been sent yet.
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
