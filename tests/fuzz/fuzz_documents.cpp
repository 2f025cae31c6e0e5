// Fuzz target for documents and messages: lists and changes of the store, pages of other nodes, and what nodes tell each other.
// misc/fuzz.sh builds and runs it.
#include "core/deflate.h"
#include "core/net/frame.h"
#include "core/utf8.h"
#include "modules/control/endpoint_history.h"
#include "modules/peers/group_aggregate.h"
#include "modules/peers/limit_messages.h"
#include "modules/suspects/suspect_tracker.h"
#include "platform/decoders.h"
#include "platform/store_pages.h"
#include <cstdlib>
#include <string>

namespace {

using namespace Onyxnotch;

constexpr std::size_t mostInflated = 1U << 20U;

void require(bool holds)
{
    if (!holds)
        std::abort();
}

std::string soundObject(const std::string& name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":4,"state":"ready","coldLeftMs":0,"sequence":1}})";
}

// Whatever an entry is, as long as the list is a document, the sound ones beside it are read.
void checkList(const std::string& bytes)
{
    auto page = Platform::decodeListPage(R"({"modRev":9,"entries":[)" + soundObject("a") + "," + bytes + "," + soundObject("b") + "]}");
    if (!page)
        return;
    const auto& objects = page.value().objects.objects;
    require(objects.size() >= 2);
    require(Platform::decodeEndpoint("a", objects.front().value).has_value());
    for (const auto& it : objects) {
        if (auto endpoint = Platform::decodeEndpoint(it.name, it.value))
            require(endpoint.value().slots > 0 && endpoint.value().address.port != 0);
        (void)Platform::decodeRollout(it);
    }
    EndpointHistory store;
    std::map<std::string, StoreObject> named;
    for (const auto& it : objects)
        named[it.name] = it;
    store.take(named, 9);
    // Another node gets the same from its page.
    EndpointHistory other;
    require(other.apply(nlohmann::json::parse(store.pageSince(0).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace))).has_value());
    require(other.values() == store.values());
}

void checkDocuments(const std::string& bytes)
{
    (void)Platform::decodeListPage(bytes);
    (void)Platform::decodeChanges(bytes);
    auto document = nlohmann::json::parse(sanitizeUtf8(bytes), nullptr, false);
    if (document.is_discarded())
        return;
    (void)Platform::decodeEndpoint("i", document);
    (void)Platform::decodeDeclaration(document);
    EndpointHistory history;
    history.take({ { "a", 1 } }, 1);
    (void)history.apply(document);
}

// Whatever a peer says, the book stays within its bounds.
void checkSuspects(const SuspectUpdate& news)
{
    constexpr std::size_t most = 16;
    constexpr SteadyTime now { std::chrono::hours(1) };
    SuspectTracker book({ .mostSuspects = most, .mostBlocked = most });
    book.onPeerUpdate(news, now);
    require(book.blockedRequests() <= most);
    (void)book.news(now);
    book.purgeExpired(now + std::chrono::hours(48));
}

void checkLimits(const LimitUpdate& news)
{
    constexpr std::size_t most = 16;
    constexpr SteadyTime now { std::chrono::hours(1) };
    EndpointLimits limits({ .words = { .most = most }, .limitsPerMessage = most }, 1);
    limits.onPeerUpdate(news, 1000000, now);
    require(limits.limited() <= most && limits.limitsToSend().size() <= most);
    for (const auto& it : news.words) {
        (void)limits.take(it.endpoint, 1, now);
        require(limits.creditAt(it.endpoint, now) - now <= std::chrono::hours(1));
    }
    limits.purgeExpired(
        0, [](const auto&) { return false; }, now);
}

void checkMessages(const std::string& bytes)
{
    for (auto type : { MessageType::PeerRow, MessageType::ZoneAggregate, MessageType::PrefillNotice, MessageType::UsageNotice, MessageType::SuspectNotice, MessageType::LimitUpdate, MessageType::CreditRequest, MessageType::CreditAnswer, MessageType::CreditReturn }) {
        Frame frame { .type = type, .payload = bytes };
        if (auto sum = unpackMessage<GroupAggregate>(type, frame))
            (void)sum.value().isSound();
        (void)unpackMessage<PeerMessage>(type, frame);
        (void)unpackMessage<PrefillNotice>(type, frame);
        (void)unpackMessage<UsageNotice>(type, frame);
        if (auto news = unpackMessage<LimitUpdate>(type, frame))
            checkLimits(news.value());
        if (auto ask = unpackMessage<CreditRequest>(type, frame))
            (void)ask.value().isSound();
        (void)unpackMessage<CreditAnswer>(type, frame);
        (void)unpackMessage<CreditReturn>(type, frame);
        if (auto news = unpackMessage<SuspectUpdate>(type, frame))
            checkSuspects(news.value());
    }
    (void)decodeFrame(bytes);
}

} // namespace

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    checkList(bytes);
    checkDocuments(bytes);
    checkMessages(bytes);
    auto text = decompressText(bytes, mostInflated);
    require(!text || text.value().size() <= mostInflated);
    return 0;
}
