// Communication between onyxnotch processes: frames as requests and responses over TCP, and as datagrams over UDP.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/frame.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

// Sends a request on a new TCP connection and blocks until the response arrives, for at most `timeout`. Errors: Unavailable if the
// connection could not be established, so that the peer has not received the request; Ambiguous if the peer may have processed it.
Result<Frame> callPeer(const Address&, const Frame&, Milliseconds timeout);

struct PeerServerOptions {
    std::string host { "127.0.0.1" };
    std::uint16_t port { 0 };
    unsigned threads { 4 }; // Threads that run the handlers.
    Milliseconds readTimeout { 5000 }; // The connection is closed if the next frame does not arrive completely within this time.
    unsigned maximumConnections { 1024 }; // Connections beyond this number are closed immediately.
};

// TCP server for frames: answers each request frame with the frame returned by the handler.
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

// UDP socket that sends and receives frames, one per datagram. Invalid datagrams are dropped.
class DatagramSocket {
public:
    using Receiver = std::function<void(const Frame&)>;

    DatagramSocket(const std::string& host, std::uint16_t port, Receiver);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    Status start();
    // Best effort: errors are ignored, and delivery is not acknowledged. Never blocks.
    void send(const Address&, const Frame&);
    Address address() const;
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
