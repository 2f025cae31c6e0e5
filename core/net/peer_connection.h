// One request and one answer between two of our processes over TCP, as frames.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/frame.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

// Blocks for the answer, `timeout` at most. Errors: Unavailable where the connection was never made, so the peer has not acted;
// Ambiguous where it may have acted.
Result<Frame> callPeer(const Address&, const Frame&, Milliseconds timeout);

struct PeerServerOptions {
    std::string host { "127.0.0.1" };
    std::uint16_t port { 0 };
    unsigned threads { 4 }; // Handlers run on these.
    Milliseconds readTimeout { 5000 }; // A frame that takes longer to arrive ends its connection.
    unsigned maximumConnections { 1024 }; // One more is closed at once.
};

class PeerServer {
public:
    using Handler = std::function<Frame(const Frame&)>;

    PeerServer(const PeerServerOptions&, Handler);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    Status start();
    Address address() const;
    void stop();

private:
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation {};
};

// Datagrams, each one frame. A damaged one is dropped.
class DatagramSocket {
public:
    using Receiver = std::function<void(const Frame&)>;

    DatagramSocket(const std::string& host, std::uint16_t port, Receiver);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    Status start();
    // Best effort, never blocks.
    void send(const Address&, const Frame&);
    Address address() const;
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
