#include "modules/control/blocked_requests.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include "modules/control/paged_list.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds lookStep { 250 }; // How often it is looked whether there is something to write: as often as rows are told.

    nlohmann::json encode(const KeptRequest& kept)
    {
        return { { "team", kept.request.team }, { "content", kept.request.content }, { "round", kept.round }, { "blockedAt", kept.blockedAt } };
    }

    // Empty where the object holds none, or none that can be read.
    std::optional<KeptRequest> decode(const nlohmann::json& value)
    {
        auto isNumber = [&](const char* member) { return value.is_object() && value.contains(member) && value[member].is_number_unsigned(); };
        if (!isNumber("team") || !isNumber("content") || !isNumber("round") || !isNumber("blockedAt"))
            return std::nullopt;
        return KeptRequest { .request = { .team = value["team"], .content = value["content"] }, .round = value["round"], .blockedAt = value["blockedAt"] };
    }

} // namespace

BlockedRequests::BlockedRequests(asio::io_context& context, ObjectStore& store, Receiver receive, const BlockedRequestsOptions& options)
    : m_context(context)
    , m_store(store)
    , m_receive(std::move(receive))
    , m_options(options)
{
}

void BlockedRequests::keep(const KeptRequest& kept) { add({ .kept = kept }); }

void BlockedRequests::drop(const RequestDigest& request) { add({ .kept = { .request = request }, .isDropped = true }); }

void BlockedRequests::add(const Change& change)
{
    m_waiting.push_back(change);
    if (m_waiting.size() > m_options.mostWaiting)
        m_waiting.pop_front();
}

std::string BlockedRequests::nameOf(const RequestDigest& request) const { return "slot-" + std::to_string(request.content % m_options.objects); }

asio::awaitable<void> BlockedRequests::run()
{
    auto pause = m_options.shortestPause;
    bool hasRead = false;
    while (true) {
        if (!hasRead) {
            auto kept = co_await listAll(m_context, m_store, StoreKind::BlockedRequests);
            hasRead = bool(kept);
            std::vector<KeptRequest> requests;
            if (kept) {
                for (const auto& it : kept.value().objects) {
                    if (auto request = decode(it.value))
                        requests.push_back(*request);
                }
            }
            if (!requests.empty())
                m_receive(std::move(requests));
        }
        bool isGood = hasRead;
        while (isGood && !m_waiting.empty()) {
            auto change = m_waiting.front();
            m_waiting.pop_front();
            isGood = co_await write(change);
            if (!isGood)
                m_waiting.push_front(change);
        }
        pause = isGood ? m_options.shortestPause : std::min(pause * 2, m_options.longestPause);
        co_await sleepFor(m_context, isGood ? lookStep : pause);
    }
}

asio::awaitable<Status> BlockedRequests::put(const std::string& name, const std::optional<StoreObject>& known, const nlohmann::json& value)
{
    if (known) {
        auto replaced = co_await m_store.replace(StoreKind::BlockedRequests, name, known->revision, value);
        co_return replaced ? success() : Status(replaced.error());
    }
    auto created = co_await m_store.create(StoreKind::BlockedRequests, name, value);
    co_return created ? success() : Status(created.error());
}

// False where it has to be done again. Several nodes may have found the same; whoever comes later sees it.
asio::awaitable<bool> BlockedRequests::write(const Change& change)
{
    auto name = nameOf(change.kept.request);
    auto known = co_await m_store.read(StoreKind::BlockedRequests, name);
    if (!known)
        co_return false;
    auto there = known.value() ? decode(known.value()->value) : std::nullopt;
    bool isThere = there && there->request == change.kept.request;
    if (change.isDropped ? !isThere : isThere && there->round >= change.kept.round)
        co_return true;
    auto value = change.isDropped ? nlohmann::json::object() : encode(change.kept);
    auto written = co_await put(name, known.value(), value);
    if (!written)
        logEvent(LogLevel::Warning, "blocked_request_not_kept", { { "digest", change.kept.request.text() }, { "error", written.error().message } });
    co_return bool(written);
}

} // namespace Onyxnotch
