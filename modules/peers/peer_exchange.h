// Sends this node's row and notices to other nodes over UDP, and passes received datagrams to the peer table, the fleet relay or the given
// callbacks. Used by the request thread only.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/frame.h"
#include "core/outcome.h"
#include "modules/admission/shared_admission.h"
#include "modules/peers/fleet_relay.h"
#include "modules/peers/limit_messages.h"
#include "modules/peers/peer_table.h"
#include "modules/peers/relayed_sum.h"
#include "modules/peers/team_levels.h"
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <random>

namespace Onyxnotch {

struct PeerExchangeOptions {
    Address listen {};
    std::vector<Address> seeds {}; // Gossip addresses of nodes to contact at the start, which may be unreachable.
    std::string zone {};
    // Maximum number of nodes of this node's zone that each row is sent to: traffic inside a zone is free.
    std::size_t ownZoneFanOut { 32 };
    // Maximum number of nodes of other zones that each row is sent to, chosen at random each time. With at most eight nodes in other zones
    // each row reaches all of them.
    std::size_t otherZonesFanOut { 8 };
    // Maximum number of receivers of the first row after a start (sendToAllKnown(), at most about 100 KB per incarnation) and of messages to
    // every node. In a larger fleet the other nodes receive that state later.
    std::size_t greetingFanOut { 128 };
    // Number of nodes, chosen at random each time, that get usage counts besides the lease holders of the singleton duties, since a holder
    // may fail and lose the counts it received.
    std::size_t usageFanOut { 8 };
    std::size_t contactsPerMessage { 3 }; // Contacts of other nodes sent along with each row.
};

// Callbacks for received messages, besides the updates of PeerTable and FleetRelay.
struct PeerReceivers {
    std::function<void(const PeerRow&, bool isNewIncarnation)> row {}; // `isNewIncarnation`: first row since that node's start.
    std::function<void(const PrefillNotice&)> prefill {};
    std::function<void(const SuspectUpdate&)> suspects {};
    std::function<void(const LimitUpdate&)> limits {};
    std::function<void(const CreditRequest&, const Address& from)> creditAsk {};
    std::function<void(const CreditAnswer&, const Address& from)> creditAnswer {};
    std::function<void(const CreditReturn&)> creditReturn {};
    std::function<void(const SumUpdate<EndpointSpeedReport>&)> speeds {};
    std::function<void(const SumUpdate<AdmissionLoad>&)> admissionLoad {};
    std::function<void(const TeamLevels&)> teamLevels {};
    std::function<void(const GroupAggregate&)> aggregate {};
    std::function<void(const std::vector<Address>&)> restartedRelays {}; // Addresses of relay nodes that have started again.
};

class PeerExchange {
public:
    PeerExchange(asio::io_context&, PeerTable&, FleetRelay&, const PeerExchangeOptions&, PeerReceivers);

    Status start();
    Address address() const;
    void send(const PeerRow&);
    // Sends the row to the relay nodes of the zone, in a fleet that needs them.
    void sendToRelays(const PeerRow&);
    // Sends an aggregate of this relay node; the type is ZoneAggregate or FleetAggregate.
    void send(MessageType, const FleetRelay::AddressedAggregate&);
    // Sends usage counts to the lease holders of the singleton duties and to `usageFanOut` other nodes.
    void send(const UsageNotice&, const std::vector<PeerContact>& holders);
    // Sends usage counts to these nodes.
    void sendTo(const UsageNotice&, const std::vector<PeerContact>& receivers);
    // Sends the notice to the same selection of nodes as a row.
    void send(const PrefillNotice&);
    // Sends the suspects to the same selection of nodes as a row. The next rows contain them too, so a lost datagram costs one period.
    void send(const SuspectUpdate&);
    // In a fleet that needs relay nodes: sends to those of the zone; from a relay node, to the receivers of its urgent updates.
    void sendToRelays(const SuspectUpdate&);
    // Sends the row to one node, as the answer to the first row of that node's incarnation.
    void sendTo(const Address&, const PeerRow&);
    template <typename Message>
    void sendTo(const std::vector<Address>& addresses, MessageType type, const Message& message)
    {
        if (addresses.empty())
            return;
        auto bytes = encodeFrame(packMessage(type, message));
        for (const auto& it : addresses)
            sendBytes(it, bytes);
    }
    // Addresses of all nodes known so far, at random up to `greetingFanOut`.
    std::vector<Address> knownNodeAddresses();
    // Sends the row to the nodes known so far, up to `greetingFanOut`. They answer with their rows, so that a node that has just started
    // gets the state of all at once.
    void sendToAllKnown(const PeerRow&);
    void addContact(const PeerContact&);
    // Fraction of the rows of a node that any other single node receives, which is below 1 if the fleet is larger than the fan-outs.
    double receivedFraction() const;

private:
    void receive();
    void onDatagram(std::size_t size);
    Status handleMessage(const Frame&);
    void handleRow(const PeerMessage&);
    Status handleAggregate(const Frame&);
    std::vector<Address> receivers();
    Status handleLimitUpdate(const Frame&);
    Status handleCreditMessage(const Frame&);
    Status handleAdmissionLoad(const Frame&);
    Status handleTeamLevels(const Frame&);
    Address sender() const;
    void addRandomAddresses(std::vector<PeerContact> contacts, std::size_t maximum, std::vector<Address>& addresses);
    std::vector<PeerContact> randomContacts();
    std::string encode(const PeerRow&);
    void sendBytes(const Address&, const std::string& bytes);

    void addSeeds(std::vector<Address>& addresses) const;

    PeerTable& m_table;
    FleetRelay& m_relay;
    PeerExchangeOptions m_options;
    PeerReceivers m_receivers;
    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender {};
    std::array<char, 65536> m_buffer {};
    std::minstd_rand m_random { std::random_device {}() };
};

} // namespace Onyxnotch
