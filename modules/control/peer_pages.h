// Documents that nodes give each other: the configuration, and pages of endpoints. Belongs to the control thread.
#pragma once

#include "core/net/async_http_client.h"
#include "core/net/http_message.h"
#include "modules/control/endpoint_history.h"
#include <deque>

namespace Onyxnotch {

// What this node gives. Each document is made and compressed once and given to all that ask: at 300 nodes before 3,000 endpoints, where a
// relay's 75 nodes ask at each change, a relay was busy for 95% of its quarter of a core, and for 26% so.
class PeerPageServer {
public:
    void setConfiguration(const std::string& text);
    // The answer to a path; not found for one that is none of ours.
    HttpResponse answer(std::string_view path, const EndpointHistory&);

private:
    std::shared_ptr<const std::string> m_configuration {}; // Compressed; null before there is one.
    std::uint64_t m_pagesRevision { 0 };
    std::map<std::uint64_t, std::string> m_pages {}; // Compressed, of this revision, by what the asker knows.
};

// How this node asks for others'. Connections are kept to the few nodes that it asks.
class PeerPageClient {
public:
    explicit PeerPageClient(asio::io_context& context)
        : m_context(context)
    {
    }

    // Null where it did not come.
    asio::awaitable<nlohmann::json> configuration(Address peer);
    // All endpoints where `since` is 0.
    asio::awaitable<nlohmann::json> endpointsSince(Address peer, std::uint64_t since);

private:
    asio::awaitable<nlohmann::json> fetch(Address peer, std::string path, Milliseconds timeout);
    std::shared_ptr<AsyncHttpClient> clientOf(const Address&);

    asio::io_context& m_context;
    std::deque<std::shared_ptr<AsyncHttpClient>> m_clients {}; // The one that was asked last is the last.
};

} // namespace Onyxnotch
