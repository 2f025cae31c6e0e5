// Sends a node's updates of a RelayedSum to the nodes that need them.
#pragma once

#include "modules/peers/peer_exchange.h"
#include "modules/peers/relayed_sum.h"

namespace Onyxnotch {

// Call once per period, after RelayedSum::setOwn().
template <typename Value>
void sendSumUpdates(PeerExchange& exchange, FleetRelay& relay, bool usesRelays, MessageType type, RelayedSum<Value>& sum, SteadyTime now)
{
    sum.purgeExpired(now);
    if (!usesRelays) {
        exchange.sendTo(exchange.knownNodeAddresses(), type, sum.nodeUpdate());
        return;
    }
    exchange.sendTo(relay.rowReceivers(), type, sum.nodeUpdate());
    if (!relay.isRelay(now))
        return;
    exchange.sendTo(relay.otherZonesReceivers(now), type, sum.zoneUpdate(now));
    exchange.sendTo(relay.members(now), type, sum.fleetUpdate(now));
}

} // namespace Onyxnotch
