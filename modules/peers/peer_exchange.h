// Tells the other nodes this node's row several times a second, over UDP, and takes theirs. Belongs to the request thread.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/frame.h"
#include "core/outcome.h"
#include "modules/peers/fleet_relay.h"
#include "modules/peers/limit_messages.h"
#include "modules/peers/peer_table.h"
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <random>

namespace Onyxnotch {

struct PeerExchangeOptions {
    Address listen {};
    std::vector<Address> seeds {}; // Gossip addresses of nodes that may be there at the start.
    std::string zone {};
    // Every node of the own zone hears each row, up to this many: bytes inside a zone cost nothing.
    std::size_t zoneFanOut { 32 };
    // Of the other zones, this many hear each row, chosen anew each time; a small fleet hears all.
    std::size_t otherFanOut { 8 };
    // Of a greeting, some 100 KB at most, once in a life, and of what every node is told at once. A larger fleet hears the rest by and by.
    std::size_t greetingFanOut { 128 };
    // Besides the holder of the duties, so many nodes, chosen anew each time, hear of usage: a holder may be lost with what it has heard.
    std::size_t usageFanOut { 8 };
    std::size_t contactsPerMessage { 3 }; // By which nodes get to know of others.
};

// What is done with messages of other nodes that neither the table nor the relay takes.
struct PeerReceivers {
    std::function<void(const PeerRow&, bool newLife)> row {}; // `newLife`: the node had not spoken since its last start.
    std::function<void(const PrefillNotice&)> prefill {};
    std::function<void(const SuspectNews&)> suspects {};
    std::function<void(const LimitNews&)> limits {};
    std::function<void(const CreditAsk&, const Address& from)> creditAsk {};
    std::function<void(const CreditAnswer&, const Address& from)> creditAnswer {};
    std::function<void(const CreditReturn&)> creditReturn {};
};

class PeerExchange {
public:
    PeerExchange(asio::io_context&, PeerTable&, FleetRelay&, const PeerExchangeOptions&, PeerReceivers);

    Status start();
    Address address() const;
    void send(const PeerRow&);
    // In a fleet that needs relays: to those of the zone.
    void sendToRelays(const PeerRow&);
    // A relay's sum.
    void send(MessageType, const FleetRelay::Telling&);
    // To the holders of the duties, and to a few others.
    void send(const UsageNotice&, const std::vector<PeerContact>& holders);
    // To those nodes that a row would go to.
    void send(const PrefillNotice&);
    // The same. What it says stands in the next rows too: a lost one costs a period.
    void send(const SuspectNews&);
    // In a fleet that needs relays: to those of the zone, or, from a relay, to everybody who hears it.
    void sendToRelays(const SuspectNews&);
    // To one node: an answer to the first row of its life.
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
    // All that are known so far, up to a bound.
    std::vector<Address> everyNode();
    // To every node that is known so far, up to a bound: they answer, so that a node that has just started hears all at once.
    void greetAll(const PeerRow&);
    void addContact(const PeerContact&);
    // How often, as a part of the rows that a node sends, a node of another zone hears one.
    double heardPart() const;

private:
    void receive();
    void onDatagram(std::size_t size);
    Status takeMessage(const Frame&);
    void takeRow(const PeerMessage&);
    Status takeSum(const Frame&);
    std::vector<Address> receivers();
    Status takeLimitNews(const Frame&);
    Status takeCreditMessage(const Frame&);
    Address sender() const;
    void addSome(std::vector<PeerContact> contacts, std::size_t most, std::vector<Address>& addresses);
    std::vector<PeerContact> someContacts();
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
