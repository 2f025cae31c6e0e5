// Server and client for the documents that nodes fetch from each other over HTTP: the configuration, and pages of changed endpoints
// (EndpointHistory). Used on the control thread only.
#pragma once

#include "core/net/async_http_client.h"
#include "core/net/http_message.h"
#include "modules/control/endpoint_history.h"
#include <deque>
#include <optional>

namespace Onyxnotch {

// Serves this node's documents. Each document is encoded and compressed once and then served to all requesting nodes: with 300 nodes and
// 3,000 endpoints, where 75 nodes query a relay node at each change, this lowered the relay's load from 95% to 26% of its quarter of a
// core.
class PeerPageServer {
public:
    void setConfiguration(const std::string& text);
    // Answers a request for `path`; with "not found" if the path is unknown or there is no such document yet. `heldUntil` has the
    // endpoints without an entry that this node still lists, and until when. The response also states this node's steady clock, by which the
    // times in a page are given.
    HttpResponse answer(std::string_view path, const EndpointHistory&, const std::map<std::string, SteadyTime>& heldUntil = {});

private:
    std::shared_ptr<const std::string> m_configuration {}; // Compressed; null until setConfiguration() is called.
    std::uint64_t m_pagesRevision { 0 }; // Revision of the history from which `m_pages` were made.
    std::map<std::uint64_t, std::string> m_pages {}; // Compressed pages, by the revision that the requesting node has.
};

// A page of endpoints, see EndpointHistory::pageSince(), with the holds of the node that served it.
struct EndpointPage {
    nlohmann::json document {}; // Null if the request failed or the response is malformed.
    std::optional<PeerClock> clock {}; // For the times in the document; nullopt if the other node did not state its clock.

    // Until when the endpoints stay listed that the other node holds, by id. Empty if it did not state its clock.
    std::map<std::string, SteadyTime> heldUntil() const;
};

// Fetches documents from other nodes. Keeps connections open to the last few nodes it used.
class PeerPageClient {
public:
    explicit PeerPageClient(asio::io_context& context)
        : m_context(context)
    {
    }

    // Returns null if the request failed or the response is malformed.
    asio::awaitable<nlohmann::json> configuration(Address peer);
    // Fetches the endpoints that changed after the store revision `since`; all endpoints if it is 0.
    asio::awaitable<EndpointPage> endpointsSince(Address peer, std::uint64_t since);

private:
    asio::awaitable<EndpointPage> fetch(Address peer, std::string path, Milliseconds timeout);
    std::shared_ptr<AsyncHttpClient> clientFor(const Address&);

    asio::io_context& m_context;
    std::deque<std::shared_ptr<AsyncHttpClient>> m_clients {}; // Ordered by last use, the most recently used one at the end.
};

} // namespace Onyxnotch
