#include "modules/control/peer_pages.h"

#include "core/deflate.h"
#include "core/log.h"
#include "core/net/http_status.h"
#include "core/utf8.h"
#include <charconv>

namespace Onyxnotch {

namespace {

    constexpr std::string_view configurationPath = "/configuration";
    constexpr std::string_view endpointsPath = "/endpoints?since="; // And the revision that the asker knows.
    constexpr auto encoding = "deflate";
    constexpr Milliseconds fetchTimeout { 700 };
    // Of all endpoints, some 200 bytes each before they are compressed: a few hundred nodes may ask the same one at a start.
    constexpr Milliseconds wholePageTimeout { 3000 };
    constexpr std::size_t longestDocument = 32U << 20U; // Several times what 11,000 endpoints take.
    constexpr std::size_t keptPages = 16; // Nodes that ask know one of the last few revisions.
    constexpr std::size_t keptClients = 4; // Of the own zone's two relays, and of those that took their place.

    HttpResponse compressedAnswer(const std::string& bytes) { return { .headers = { { "Content-Encoding", encoding } }, .body = bytes }; }

    // 0 for what is no number: then all is given.
    std::uint64_t numberIn(std::string_view text)
    {
        std::uint64_t number = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc() && end == text.data() + text.size() ? number : 0;
    }

    nlohmann::json documentOf(const AsyncHttpReply& reply)
    {
        auto text = inflated(reply.body, longestDocument);
        if (!text)
            return {};
        auto document = nlohmann::json::parse(readableText(std::move(text.value())), nullptr, false);
        return document.is_discarded() ? nlohmann::json() : document;
    }

} // namespace

void PeerPageServer::setConfiguration(const std::string& text) { m_configuration = std::make_shared<const std::string>(deflated(text)); }

HttpResponse PeerPageServer::answer(std::string_view path, const EndpointHistory& history)
{
    if (path == configurationPath && m_configuration)
        return compressedAnswer(*m_configuration);
    if (!path.starts_with(endpointsPath) || history.isEmpty())
        return { .status = HttpStatus::notFound };
    if (m_pagesRevision != history.revision() || m_pages.size() > keptPages)
        m_pages.clear();
    m_pagesRevision = history.revision();
    auto since = numberIn(path.substr(endpointsPath.size()));
    auto [page, isNew] = m_pages.try_emplace(since);
    if (isNew)
        page->second = deflated(history.pageSince(since).dump());
    return compressedAnswer(page->second);
}

std::shared_ptr<AsyncHttpClient> PeerPageClient::clientOf(const Address& peer)
{
    for (auto it = m_clients.begin(); it != m_clients.end(); ++it) {
        if ((*it)->address() != peer)
            continue;
        auto client = *it;
        m_clients.erase(it);
        m_clients.push_back(client);
        return client;
    }
    m_clients.push_back(std::make_shared<AsyncHttpClient>(m_context, peer));
    if (m_clients.size() > keptClients)
        m_clients.pop_front();
    return m_clients.back();
}

asio::awaitable<nlohmann::json> PeerPageClient::fetch(Address peer, std::string path, Milliseconds timeout)
{
    auto client = clientOf(peer);
    AsyncHttpCall call { .target = path, .timeout = timeout };
    auto reply = co_await client->call(call);
    if (!reply || !reply.value().ok()) {
        logEvent(LogLevel::Info, "peer_page_missed", { { "peer", peer.text() }, { "path", path } });
        co_return nlohmann::json();
    }
    co_return documentOf(reply.value());
}

asio::awaitable<nlohmann::json> PeerPageClient::configuration(Address peer) { return fetch(std::move(peer), std::string(configurationPath), fetchTimeout); }

asio::awaitable<nlohmann::json> PeerPageClient::endpointsSince(Address peer, std::uint64_t since)
{
    return fetch(std::move(peer), std::string(endpointsPath) + std::to_string(since), since == 0 ? wholePageTimeout : fetchTimeout);
}

} // namespace Onyxnotch
