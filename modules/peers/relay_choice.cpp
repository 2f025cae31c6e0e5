#include "modules/peers/relay_choice.h"

#include "modules/peers/group_aggregate.h"
#include <algorithm>
#include <tuple>

namespace Onyxnotch {

bool RelayChoice::isUnresponsive(const Node& node, SteadyTime now) const
{
    return node.chosen && now - std::max(node.chosenAt, node.answeredAt) > m_options.answerTimeout;
}

void RelayChoice::onAnswer(const std::string& node, SteadyTime now)
{
    auto it = m_nodes.find(node);
    if (it != m_nodes.end())
        it->second.answeredAt = now;
}

std::vector<PeerContact> RelayChoice::choose(const std::vector<PeerContact>& contacts, const std::string& self, SteadyTime now)
{
    for (auto& [name, node] : m_nodes) {
        if (name != self && isUnresponsive(node, now))
            node.avoidedUntil = now + m_options.avoidanceTime;
    }
    struct Ranked {
        ShortName hash { 0 };
        const PeerContact* contact { nullptr };
    };
    std::vector<Ranked> ranked;
    ranked.reserve(contacts.size());
    for (const auto& it : contacts) {
        auto known = m_nodes.find(it.node);
        if (known == m_nodes.end() || now >= known->second.avoidedUntil)
            ranked.push_back({ .hash = shortNameOf(it.node), .contact = &it });
    }
    auto comesBefore = [](const Ranked& left, const Ranked& right) {
        if (left.contact->processorPercent != right.contact->processorPercent)
            return left.contact->processorPercent > right.contact->processorPercent;
        return std::tie(left.hash, left.contact->node) < std::tie(right.hash, right.contact->node);
    };
    auto count = std::min(m_options.relays, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), comesBefore);
    std::vector<PeerContact> chosen;
    for (std::size_t n = 0; n < count; ++n)
        chosen.push_back(*ranked[n].contact);
    markChosen(chosen, now);
    return chosen;
}

void RelayChoice::markChosen(const std::vector<PeerContact>& chosen, SteadyTime now)
{
    auto isChosen = [&](const std::string& name) { return std::any_of(chosen.begin(), chosen.end(), [&](const auto& it) { return it.node == name; }); };
    std::erase_if(m_nodes, [&](const auto& it) { return !isChosen(it.first) && now >= it.second.avoidedUntil; });
    for (auto& [name, node] : m_nodes)
        node.chosen = node.chosen && isChosen(name);
    for (const auto& it : chosen) {
        auto& node = m_nodes[it.node];
        if (!node.chosen)
            node.chosenAt = now;
        node.chosen = true;
    }
}

} // namespace Onyxnotch
