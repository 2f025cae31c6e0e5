// The part of Exchange that lets a request wait for a place at an endpoint before it is sent (RequestQueue).
#include "modules/forward/exchange.h"

#include "core/net/http_status.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    // If less than this part of the service's slots is in use, endpoints refuse for another reason than being full, and waiting for them
    // does not help.
    constexpr double busyPart = 0.5;

    // If at most this part of the slots is free, endpoints are chosen at random: all nodes would choose the same one otherwise.
    constexpr double spreadFreePart = 0.5;
    // If at most this part is free, pacing also applies while the queue is empty: all nodes would take the same places otherwise.
    constexpr double scarceFreePart = 0.25;

    // Seconds until canBeOnTime() admits a request. It does as soon as the shortest wait of the service is at most the allowed wait divided
    // by (1 + moreUrgent). Both get shorter by one second per second. Negative if that never happens.
    double secondsUntilAdmitted(double leastWaitSeconds, double allowedSeconds, unsigned moreUrgent)
    {
        if (leastWaitSeconds > allowedSeconds || moreUrgent == 0)
            return -1;
        return std::max(0.0, (leastWaitSeconds * (1 + moreUrgent) - allowedSeconds) / moreUrgent);
    }

} // namespace

std::string Exchange::teamName() const { return m_team ? m_team->name : std::string(); }

// Checks whether the request can be sent now. For a plain request whose chosen endpoint is full, restricts the choice to endpoints with a
// free slot, if there are any. If few slots are free, `request` selects an endpoint at random by its slots.
Exchange::PlaceCheck Exchange::checkPlace(EndpointRequest& request, bool isFirst)
{
    auto now = steadyNow();
    request.needsFreeSlot = false;
    request.spreadBy = 0;
    auto chosen = m_context.endpoints.choose(request, now);
    if (!chosen)
        return { .state = PlaceState::NoEndpoint };
    bool isUnseen = false;
    bool isScarce = false;
    if (m_route->kind != RequestKind::Stream) {
        auto input = pacingInput(request, *chosen);
        bool isOutdated = PlacePacer::mayTakeUnseen(input);
        bool isSpread = !input.isAlone && input.places.free <= input.places.total * spreadFreePart;
        isScarce = input.places.free <= input.places.total * scarceFreePart;
        isUnseen = input.places.free < 1;
        if (isUnseen && !isOutdated)
            return { .state = PlaceState::Full, .chosen = std::move(chosen) };
        request.needsFreeSlot = isSpread ? !isOutdated : !chosen->isSlotFree && !isUnseen;
        request.spreadBy = isSpread ? std::max<std::uint64_t>(1, m_context.random()) : 0;
        auto restricted = m_context.endpoints.choose(request, now);
        if (restricted)
            chosen = std::move(restricted);
        else
            request.needsFreeSlot = false;
    }
    auto state = isFirst && !canMeetObjective(*chosen) ? PlaceState::Full : (isUnseen ? PlaceState::Unseen : PlaceState::Ready);
    return { .state = state, .chosen = std::move(chosen), .isScarce = isScarce };
}

// Streams of a service share the engines' time rather than slots: a place is a prompt that an engine can begin to process within the age of
// the view.
PacingInput Exchange::pacingInput(const EndpointRequest& request, const ChosenEndpoint& chosen) const
{
    auto slots = m_context.endpoints.slots(request, steadyNow());
    PacingInput input { .places = { .total = slots.total, .free = slots.free, .own = slots.own }, .share = m_context.waiting.share(m_service->name, m_context.nodes) };
    input.viewSeconds = std::chrono::duration<double>(m_context.endpoints.peerLoadAge()).count();
    input.isAlone = m_context.nodes <= 1;
    if (m_route->kind != RequestKind::Stream) {
        input.slotSeconds = m_context.endpoints.slotSeconds(m_service->name);
        return input;
    }
    constexpr double minimumSeconds = 0.005; // A prompt that is almost fully cached would give an unlimited number of places.
    auto begun = slots.endpoints * input.viewSeconds / std::max(minimumSeconds, chosen.unqueuedSeconds);
    input.places.total = begun;
    input.places.free = begun;
    return input;
}

bool Exchange::mayTakePlace(const EndpointRequest& request, const PlaceCheck& check)
{
    auto& pacer = m_context.waiting.pacer(m_service->name);
    pacer.update(pacingInput(request, *check.chosen), steadyNow());
    return pacer.mayTake();
}

// Expected wait in seconds until the request gets a place, from the number of entries before it; negative if it is not expected to get one.
double Exchange::expectedQueueSeconds(const QueueEntry& entry, const PlaceCheck& check, const EndpointRequest& request) const
{
    auto before = static_cast<double>(m_context.waiting.queue().entriesBefore(entry, steadyNow()));
    auto slots = m_context.endpoints.slots(request, steadyNow());
    auto share = m_context.waiting.share(m_service->name, m_context.nodes);
    if (m_route->kind != RequestKind::Stream) {
        constexpr double minimumPlaces = 0.05; // Keeps the result finite if the node's share is tiny.
        return (before + 1) * m_context.endpoints.slotSeconds(m_service->name) / std::max(minimumPlaces, slots.total * share);
    }
    const auto& chosen = *check.chosen;
    auto begins = before * chosen.unqueuedSeconds / std::max(1.0, slots.endpoints * share);
    if (check.state != PlaceState::Full)
        return begins;
    auto moreUrgent = m_configuration->moreUrgent(m_service->name, priority());
    auto allowed = std::max(0.0, objectiveSecondsLeft() - chosen.unqueuedSeconds);
    auto untilAdmitted = secondsUntilAdmitted(chosen.leastWaitSeconds, allowed, moreUrgent.priorities);
    return untilAdmitted < 0 ? untilAdmitted : untilAdmitted + begins;
}

// The longest time that the request may wait, from now. Earlier waits, before an endpoint refused it, count as well.
Milliseconds Exchange::allowedWait(const PlaceCheck& check) const
{
    auto own = m_route->kind == RequestKind::Stream ? check.chosen->unqueuedSeconds : m_context.endpoints.slotSeconds(m_service->name);
    auto bound = std::chrono::duration<double>(m_route->objective).count() * m_context.options.queueing.maximumWaitShare;
    bound -= std::chrono::duration<double>(Milliseconds(m_queuedMilliseconds)).count();
    auto seconds = std::clamp(objectiveSecondsLeft() - own, 0.0, std::max(0.0, bound));
    return std::min(std::chrono::floor<Milliseconds>(std::chrono::duration<double>(seconds)), timeLeft() - m_context.options.minimumTimeToSend);
}

// The response if the request may not stay in the queue, regardless of free places: it was displaced, it may not end before the node does,
// it is suspected, or it has to start over with another route, service or team, where the response is not sent.
std::optional<Exchange::LocalResponse> Exchange::checkStay(const QueueWaiter& waiter)
{
    if (waiter.isDisplaced)
        return LocalResponse { .retryAfter = m_context.options.retryAfter, .reason = "queue_full" };
    if (!mayForward())
        return stoppingResponse();
    if (!m_context.suspects.maySend(digest(), steadyNow()))
        return withheldResponse();
    m_mustStartOver = isConfigurationOutdated();
    if (m_mustStartOver)
        return LocalResponse { .reason = "configuration_changed" };
    return std::nullopt;
}

bool Exchange::isConfigurationOutdated() const
{
    auto current = m_context.view.configuration();
    if (current == m_configuration)
        return false;
    const auto* route = current->findRoute(m_request.head.value("host"), m_path);
    if (!route || route->name != m_route->name || !current->findService(m_service->name))
        return true;
    const auto* key = m_request.head.find(m_context.options.names.key);
    const auto* team = key ? current->findTeam(*key) : nullptr;
    return team ? !m_team || team->name != m_team->name : m_team != nullptr;
}

// Lets a request that was refused by the endpoints it was sent to wait for these, if they refused because they were full. Returns false if
// they probably refused for another reason; `request` is unchanged then.
bool Exchange::includeRefusingEndpoints(EndpointRequest& request)
{
    auto tried = std::move(request.excluded);
    request.excluded.clear();
    auto slots = m_context.endpoints.slots(request, steadyNow());
    bool areFull = slots.total > 0 && slots.total - slots.free >= slots.total * busyPart;
    if (!areFull)
        request.excluded = std::move(tried);
    return areFull;
}

asio::awaitable<std::optional<Exchange::LocalResponse>> Exchange::waitForPlace(EndpointRequest& request, bool isFirst, bool wasRefused)
{
    auto& waiting = m_context.waiting;
    const auto& service = m_service->name;
    auto check = checkPlace(request, isFirst);
    bool retriesSameEndpoints = false;
    if (wasRefused && (check.state == PlaceState::Full || check.state == PlaceState::NoEndpoint)) {
        // No other endpoint has room.
        retriesSameEndpoints = includeRefusingEndpoints(request);
        if (!retriesSameEndpoints) {
            request.needsFreeSlot = false;
            co_return std::nullopt;
        }
        check = checkPlace(request, false);
    }
    if (check.state == PlaceState::NoEndpoint)
        co_return std::nullopt;
    auto now = steadyNow();
    QueueEntry entry { .service = service, .team = teamName(), .priority = priority(), .isInTurn = m_isInTurn, .enteredAt = now - Milliseconds(m_queuedMilliseconds), .leavesAt = now + allowedWait(check) };
    bool isQueueEmpty = !waiting.queue().next(service, now).has_value();
    bool isPaced = check.state == PlaceState::Unseen || check.isScarce || !isQueueEmpty;
    bool canSend = check.state != PlaceState::Full && !retriesSameEndpoints && waiting.queue().entriesBefore(entry, now) == 0;
    if (canSend && (mayTakePlace(request, check) || !isPaced)) {
        waiting.pacer(service).onTaken();
        co_return std::nullopt;
    }
    auto expectedSeconds = expectedQueueSeconds(entry, check, request);
    auto allowedSeconds = std::chrono::duration<double>(entry.leavesAt - now).count();
    LocalResponse noPlace { .retryAfter = std::max(m_context.options.retryAfter, std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(std::max(0.0, expectedSeconds)))), .reason = "no_place" };
    if (!mayForward())
        co_return stoppingResponse();
    if (expectedSeconds < 0 || expectedSeconds > allowedSeconds || allowedSeconds <= 0) {
        // A request that cannot be on time is refused by runAttempts(), with the time until there is capacity.
        bool isLate = isFirst && check.state == PlaceState::Full && !canMeetObjective(*check.chosen);
        // A request is never refused if nothing is waiting and the view shows a free place.
        bool hasFreePlace = check.state == PlaceState::Ready && isQueueEmpty && !retriesSameEndpoints;
        if (isLate || hasFreePlace)
            co_return std::nullopt;
        co_return noPlace;
    }
    auto waiter = waiting.enter(entry, now);
    if (!waiter) {
        LocalResponse queueFull { .retryAfter = noPlace.retryAfter, .reason = "queue_full" };
        co_return queueFull;
    }
    m_queuePlace = static_cast<long>(waiting.queue().entriesBefore(entry, now)) + 1;
    m_waiter = waiter.get();
    updateQueueGauge();
    auto refusal = co_await waitInQueue(*waiter, entry, request, isFirst, noPlace, retriesSameEndpoints);
    leaveQueue(*waiter, now);
    co_return refusal;
}

void Exchange::leaveQueue(const QueueWaiter& waiter, SteadyTime enteredAt)
{
    m_waiter = nullptr;
    m_context.waiting.leave(waiter);
    auto waited = std::chrono::duration<double>(steadyNow() - enteredAt);
    m_queuedMilliseconds += std::chrono::duration_cast<Milliseconds>(waited).count();
    m_context.metrics.observeSeconds("onyxnotch_entry_queue_seconds", waited.count(), {});
    updateQueueGauge();
    // Only the first request of the queue checks for places: there may be another place, or one that the removed request could not use.
    m_context.waiting.wakeNext(m_service->name);
}

// Takes a place for the request, which is the first of the queue, if it can be sent and the pacing allows it: Ready if it took one.
Exchange::PlaceState Exchange::tryTakePlace(EndpointRequest& request, bool isFirst, bool retriesSameEndpoints)
{
    request = endpointRequest();
    if (retriesSameEndpoints)
        request.excluded.clear();
    auto check = checkPlace(request, isFirst);
    if (check.state == PlaceState::NoEndpoint)
        return PlaceState::NoEndpoint;
    if (check.state == PlaceState::Full || !mayTakePlace(request, check))
        return PlaceState::Full;
    m_context.waiting.pacer(m_service->name).onTaken();
    return PlaceState::Ready;
}

asio::awaitable<std::optional<Exchange::LocalResponse>> Exchange::waitInQueue(QueueWaiter& waiter, const QueueEntry& entry, EndpointRequest& request, bool isFirst, const LocalResponse& noPlace, bool retriesSameEndpoints)
{
    // A check goes over all endpoints of the service, so wake-ups that are closer together than this cause only one.
    constexpr Milliseconds minimumCheckInterval { 10 };
    auto& waiting = m_context.waiting;
    auto lastCheck = SteadyTime {};
    auto checkAt = std::min(entry.leavesAt, steadyNow() + minimumCheckInterval);
    while (true) {
        waiter.timer.expires_at(checkAt);
        asio::error_code ec;
        co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (m_isClientDisconnected)
            co_return std::nullopt;
        auto stay = checkStay(waiter);
        if (stay)
            co_return stay;
        auto now = steadyNow();
        bool isLast = now >= entry.leavesAt;
        checkAt = std::min(entry.leavesAt, lastCheck + minimumCheckInterval);
        if (!isLast && now < checkAt)
            continue;
        checkAt = entry.leavesAt;
        if (waiting.queue().next(entry.service, now) == waiter.id) {
            lastCheck = now;
            auto place = tryTakePlace(request, isFirst, retriesSameEndpoints);
            if (place == PlaceState::Ready)
                co_return std::nullopt;
            // Endpoints that have gone do not come back within a wait.
            if (place == PlaceState::NoEndpoint)
                co_return noPlace;
            auto untilMayTake = waiting.pacer(entry.service).untilMayTake();
            if (untilMayTake && untilMayTake->count() > 0)
                checkAt = std::min(entry.leavesAt, now + std::max(minimumCheckInterval, *untilMayTake));
        } else if (!ec) {
            // The timer was set while this request was the first. Another one is the first now, and nothing else may wake it.
            waiting.wakeNext(entry.service);
        }
        if (isLast)
            co_return noPlace;
    }
}

void Exchange::updateQueueGauge()
{
    auto sizes = m_context.waiting.queue().sizeByService();
    m_context.metrics.set("onyxnotch_entry_queued_requests", static_cast<double>(sizes[m_service->name]), { { "service", m_service->name } });
}

// Refuses a request that was never sent, or that no endpoint executed.
asio::awaitable<ExchangeResult> Exchange::refuseWaiting(LocalResponse refusal)
{
    refundTeam();
    bool isForCapacity = refusal.reason == "no_place" || refusal.reason == "queue_full";
    if (isForCapacity)
        m_context.demand.onRefused(m_service->name);
    co_return co_await respond(refusal);
}

void Exchange::takePlace()
{
    if (m_context.options.queueing.enabled)
        m_context.waiting.onPlaceTaken(m_service->name, teamName());
}

void Exchange::releasePlace(const EndpointRequest& request, const ChosenEndpoint& chosen)
{
    if (!m_context.options.queueing.enabled)
        return;
    if (m_route->kind != RequestKind::Stream) {
        auto input = pacingInput(request, chosen);
        ++input.places.own; // As it was before the release.
        m_context.waiting.pacer(m_service->name).onReleased(input);
    }
    m_context.waiting.onPlaceReleased(m_service->name, teamName());
}

} // namespace Onyxnotch
