#include "modules/control/peer_pages.h"

#include "core/deflate.h"
#include "core/json_numbers.h"
#include "core/json_slices.h"
#include "core/log.h"
#include "core/net/http_status.h"
#include "core/utf8.h"
#include <charconv>

namespace Onyxnotch {

namespace {

    constexpr std::string_view configurationPath = "/configuration";
    constexpr std::string_view endpointsPath = "/endpoints?since="; // Followed by the store revision of the endpoint list that the requesting node has.
    constexpr auto encoding = "deflate";
    constexpr Milliseconds fetchTimeout { 700 };
    // For a page of all endpoints, some 200 bytes each before compression. At a start a few hundred nodes may request one from the same
    // node.
    constexpr Milliseconds fullPageTimeout { 3000 };
    constexpr std::size_t maxDocumentSize = 32U << 20U; // In bytes, uncompressed; several times the size of a page of 11,000 endpoints.
    constexpr std::size_t maxCompressedSize = 8U << 20U; // In bytes; the same, compressed.
    constexpr std::size_t maximumDocumentDepth = maximumJsonDepth + 8; // Documents have objects of the store in them, a few levels down.
    constexpr std::size_t maxCachedPages = 16; // Enough because requesting nodes have one of the last few revisions.
    constexpr auto heldMember = "held_until"; // Of a page: the holds of the serving node, by endpoint id.
    constexpr Milliseconds longestHold { 5000 }; // Longer than any hold, in case another node states a time that is far too late.
    constexpr std::size_t maxClients = 4; // For the two relay nodes of this node's zone, and for their replacements.

    constexpr auto clockField = "Steady-Clock-Ms"; // The serving node's steady clock when it answered.

    HttpResponse compressedResponse(const std::string& bytes)
    {
        return { .headers = { { "Content-Encoding", encoding }, { clockField, std::to_string(steadyMilliseconds(steadyNow())) } }, .body = bytes };
    }

    std::optional<PeerClock> parseClock(const HttpHead& head, SteadyTime requestedAt)
    {
        auto text = head.value(clockField);
        std::int64_t milliseconds = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
        if (ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return PeerClock { .requestedAt = requestedAt, .peerMilliseconds = milliseconds };
    }

    // Returns 0 if the text is not a number, so that all endpoints are returned.
    std::uint64_t parseRevision(std::string_view text)
    {
        std::uint64_t number = 0;
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc() && end == text.data() + text.size() ? number : 0;
    }

    nlohmann::json decodeDocument(const AsyncHttpReply& reply)
    {
        auto text = decompressText(reply.body, maxDocumentSize);
        if (!text)
            return {};
        return parseJsonSlice(sanitizeUtf8(std::move(text.value())), maximumDocumentDepth).value_or(nlohmann::json());
    }

} // namespace

void PeerPageServer::setConfiguration(const std::string& text) { m_configuration = std::make_shared<const std::string>(compressText(text)); }

std::map<std::string, SteadyTime> EndpointPage::heldUntil() const
{
    std::map<std::string, SteadyTime> held;
    auto times = document.find(heldMember);
    if (!clock || times == document.end() || !times->is_object())
        return held;
    for (const auto& [id, time] : times->items()) {
        if (auto milliseconds = integerIn(time))
            held[id] = clock->toLocalDeadline(*milliseconds, longestHold);
    }
    return held;
}

HttpResponse PeerPageServer::answer(std::string_view path, const EndpointHistory& history, const std::map<std::string, SteadyTime>& heldUntil)
{
    if (path == configurationPath && m_configuration)
        return compressedResponse(*m_configuration);
    if (!path.starts_with(endpointsPath) || history.isEmpty())
        return { .status = HttpStatus::notFound };
    if (m_pagesRevision != history.revision() || m_pages.size() > maxCachedPages)
        m_pages.clear();
    m_pagesRevision = history.revision();
    auto since = parseRevision(path.substr(endpointsPath.size()));
    auto [page, isNew] = m_pages.try_emplace(since);
    if (isNew) {
        auto document = history.pageSince(since);
        for (const auto& [id, until] : heldUntil)
            document[heldMember][id] = steadyMilliseconds(until);
        page->second = compressText(document.dump());
    }
    return compressedResponse(page->second);
}

std::shared_ptr<AsyncHttpClient> PeerPageClient::clientFor(const Address& peer)
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
    if (m_clients.size() > maxClients)
        m_clients.pop_front();
    return m_clients.back();
}

asio::awaitable<EndpointPage> PeerPageClient::fetch(Address peer, std::string path, Milliseconds timeout)
{
    auto client = clientFor(peer);
    AsyncHttpCall call { .target = path, .timeout = timeout, .maximumReplyBytes = maxCompressedSize };
    auto requestedAt = steadyNow();
    auto reply = co_await client->call(call);
    if (!reply || !reply.value().ok()) {
        logEvent(LogLevel::Info, "peer_page_missed", { { "peer", peer.text() }, { "path", path } });
        co_return EndpointPage();
    }
    EndpointPage page { .document = decodeDocument(reply.value()), .clock = parseClock(reply.value().head, requestedAt) };
    co_return page;
}

asio::awaitable<nlohmann::json> PeerPageClient::configuration(Address peer)
{
    auto page = co_await fetch(std::move(peer), std::string(configurationPath), fetchTimeout);
    co_return std::move(page.document);
}

asio::awaitable<EndpointPage> PeerPageClient::endpointsSince(Address peer, std::uint64_t since)
{
    return fetch(std::move(peer), std::string(endpointsPath) + std::to_string(since), since == 0 ? fullPageTimeout : fetchTimeout);
}

} // namespace Onyxnotch
