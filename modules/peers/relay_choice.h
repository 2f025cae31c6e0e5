// Chooses the relay nodes of an availability zone: the nodes with the most processor time that answer, since a relay node has about ten
// times the traffic of other nodes; among equal ones, by hash. There is no agreement protocol: nodes that know the same contacts choose the
// same relay nodes. Pure state machine with the time passed in.
#pragma once

#include "core/clock.h"
#include "modules/peers/peer_row.h"

namespace Onyxnotch {

struct RelayChoiceOptions {
    std::size_t relays { 2 }; // Number per zone: if one fails, the other's aggregates are used until the failure is detected.
    Milliseconds answerTimeout { 1600 }; // Three of the relay node's aggregates, so that one or two lost datagrams have no effect.
    Milliseconds avoidanceTime { 5000 }; // How long a relay node that did not answer is not chosen.
};

class RelayChoice {
public:
    explicit RelayChoice(const RelayChoiceOptions& options = {})
        : m_options(options)
    {
    }

    // Returns the chosen relay nodes in the order of their rank. `self` is this node's name, which is not required to answer itself; empty
    // when choosing for another zone.
    std::vector<PeerContact> choose(const std::vector<PeerContact>& contacts, const std::string& self, SteadyTime now);
    void onAnswer(const std::string& node, SteadyTime now);

private:
    struct Node {
        SteadyTime chosenAt {};
        SteadyTime answeredAt {};
        SteadyTime avoidedUntil {};
        bool chosen { false };
    };

    bool isUnresponsive(const Node&, SteadyTime now) const;
    void markChosen(const std::vector<PeerContact>&, SteadyTime now);

    RelayChoiceOptions m_options;
    std::map<std::string, Node> m_nodes {}; // Nodes that are chosen or avoided at present, by name.
};

} // namespace Onyxnotch
