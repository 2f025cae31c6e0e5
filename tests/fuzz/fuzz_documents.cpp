// Fuzz target for decoders of documents and messages: object lists and change events of the store, HTTP documents of peers, and messages
// between nodes. Built and run by misc/fuzz.sh.
#include "core/deflate.h"
#include "core/net/frame.h"
#include "core/utf8.h"
#include "modules/admission/shared_admission.h"
#include "modules/balance/endpoint_speeds.h"
#include "modules/control/endpoint_history.h"
#include "modules/limits/team_limits.h"
#include "modules/peers/group_aggregate.h"
#include "modules/peers/limit_messages.h"
#include "modules/peers/relayed_sum.h"
#include "modules/peers/team_levels.h"
#include "modules/suspects/suspect_tracker.h"
#include "platform/decoders.h"
#include "platform/store_pages.h"
#include <cstdlib>
#include <string>

namespace {

using namespace Onyxnotch;

constexpr std::size_t maximumInflatedBytes = 1U << 20U;

void require(bool condition)
{
    if (!condition)
        std::abort();
}

std::string validObject(const std::string& name)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":3},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":4,"state":"ready","coldLeftMs":0,"sequence":1}})";
}

// An arbitrary entry in a list must not affect the valid entries beside it, unless it makes the list invalid JSON.
void checkList(const std::string& bytes)
{
    auto page = Platform::decodeListPage(R"({"modRev":9,"entries":[)" + validObject("a") + "," + bytes + "," + validObject("b") + "]}");
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
    EndpointHistory source;
    std::map<std::string, StoreObject> objectsByName;
    for (const auto& it : objects)
        objectsByName[it.name] = it;
    source.take(objectsByName, 9);
    // A node that applies the changes published by this one must end up with the same values.
    EndpointHistory replica;
    require(replica.apply(nlohmann::json::parse(source.pageSince(0).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace))).has_value());
    require(replica.values() == source.values());
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

// Arbitrary data received from a peer must not make a SuspectTracker exceed its size limits.
void checkSuspects(const SuspectUpdate& news)
{
    constexpr std::size_t maximumEntries = 16;
    constexpr SteadyTime now { std::chrono::hours(1) };
    SuspectTracker book({ .mostSuspects = maximumEntries, .mostBlocked = maximumEntries });
    book.onPeerUpdate(news, now);
    require(book.blockedRequests() <= maximumEntries);
    (void)book.news(now);
    book.purgeExpired(now + std::chrono::hours(48));
}

// Arbitrary data received from a peer must not make EndpointLimits exceed its size limits, or delay credits by more than one hour.
void checkLimits(const LimitUpdate& news)
{
    constexpr std::size_t maximumEntries = 16;
    constexpr SteadyTime now { std::chrono::hours(1) };
    EndpointLimits limits({ .advertised = { .most = maximumEntries }, .limitsPerMessage = maximumEntries }, 1);
    limits.onPeerUpdate(news, 1000000, now);
    require(limits.limited() <= maximumEntries && limits.limitsToSend().size() <= maximumEntries);
    for (const auto& it : news.limits) {
        (void)limits.take(it.endpoint, 1, now);
        require(limits.creditAt(it.endpoint, now) - now <= std::chrono::hours(1));
    }
    limits.purgeExpired(
        0, [](const auto&) { return false; }, now);
}

// Sums that pass the check must keep ratios within their bounds, reports within their size, and a service from losing all endpoints.
void checkSpeeds(const SumUpdate<EndpointSpeedReport>& update)
{
    if (!update.isSound())
        return;
    constexpr SteadyTime now { std::chrono::hours(1) };
    constexpr EndpointSpeedOptions options;
    EndpointSpeeds speeds(options);
    EndpointSpeeds::ServiceMembers services;
    for (const auto& [name, sums] : update.sum.endpoints)
        services["s"].push_back(name);
    auto sum = update.sum;
    sum += update.sum;
    require(sum.isSound());
    speeds.setTotal(sum, update.nodes, services, now);
    require(speeds.ejected() * options.ejectableDivisor <= services["s"].size());
    for (const auto& [name, sums] : sum.endpoints) {
        for (auto ratio : { speeds.firstEventRatio(name, now), speeds.pauseRatio(name, now) })
            require(ratio >= options.smallestRatio && ratio <= options.largestRatio);
    }
}

// Arbitrary data received from a peer must not make the admission load exceed its size limits, or lead to a chance out of range.
void checkAdmission(const SumUpdate<AdmissionLoad>& update)
{
    if (!update.isSound())
        return;
    constexpr SteadyTime now { std::chrono::hours(1) };
    RelayedSum<AdmissionLoad> sum({ .node = "own" });
    sum.onUpdate(update, now);
    auto total = sum.total(now);
    total.sum.limitSize();
    SharedAdmission admission;
    AdmissionView view;
    for (const auto& [service, it] : total.sum.services)
        view.services[service] = { .slots = 1, .busySlots = 1 };
    for (int period = 0; period < 4; ++period)
        admission.update(total.sum, total.nodes, view, now + Milliseconds(250 * period));
    for (const auto& [service, load] : total.sum.services) {
        require(load.demand.size() <= (AdmissionLoad::maximumTeams + 1) * (maximumAdmissionPriority + 1U));
        for (const auto& [group, it] : load.demand) {
            auto chance = admission.chance(service, group, now + Milliseconds(1000));
            require(chance >= 0 && chance <= 1);
        }
    }
}

// Levels that pass the check must leave the level of a node that has just started within its bounds.
void checkTeamLevels(const TeamLevels& message)
{
    if (!message.isSound())
        return;
    constexpr SteadyTime now { std::chrono::hours(1) };
    TeamLimits limits(now, { .tolerance = { .overshoot = 0.1 }, .randomSeed = 1 });
    limits.onPeerLevels(message.levels, now);
    for (const auto& [name, level] : message.levels) {
        TrafficTeam team;
        team.name = name;
        team.ratePerSecond = 1;
        team.burst = 2;
        limits.admit(team, 1, now);
        auto state = limits.state(team, now);
        require(state && state->level <= team.burst);
    }
}

void checkMessages(const std::string& bytes)
{
    for (auto type : { MessageType::PeerRow, MessageType::ZoneAggregate, MessageType::PrefillNotice, MessageType::UsageNotice, MessageType::SuspectNotice, MessageType::LimitUpdate, MessageType::CreditRequest, MessageType::CreditAnswer, MessageType::CreditReturn, MessageType::EndpointSpeeds, MessageType::AdmissionLoad, MessageType::TeamLevels }) {
        Frame frame { .type = type, .payload = bytes };
        if (auto sum = unpackMessage<GroupAggregate>(type, frame))
            (void)sum.value().isSound();
        (void)unpackMessage<PeerMessage>(type, frame);
        (void)unpackMessage<PrefillNotice>(type, frame);
        (void)unpackMessage<UsageNotice>(type, frame);
        if (auto news = unpackMessage<LimitUpdate>(type, frame))
            checkLimits(news.value());
        if (auto update = unpackMessage<SumUpdate<EndpointSpeedReport>>(type, frame))
            checkSpeeds(update.value());
        if (auto update = unpackMessage<SumUpdate<AdmissionLoad>>(type, frame))
            checkAdmission(update.value());
        if (auto message = unpackMessage<TeamLevels>(type, frame))
            checkTeamLevels(message.value());
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

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    checkList(bytes);
    checkDocuments(bytes);
    checkMessages(bytes);
    auto text = decompressText(bytes, maximumInflatedBytes);
    require(!text || text.value().size() <= maximumInflatedBytes);
    return 0;
}
