#include "modules/entry/entry_limits.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace Onyxnotch {

EntryLimits::EntryLimits(asio::io_context& context, ForwardContext& forward, PeerExchange& exchange, FleetRelay& relay, const EntryLimitsOptions& options)
    : m_context(context)
    , m_forward(forward)
    , m_exchange(exchange)
    , m_relay(relay)
    , m_options(options)
    , m_lastRequestNumber(options.lifetime << 20U)
{
    forward.requestCreditFromRelay = [this](EndpointIncarnation incarnation) { return acquireCredit(std::move(incarnation)); };
    forward.returnCredit = [this](const EndpointIncarnation& incarnation) { releaseCredit(incarnation); };
    forward.notifyLimits = [this] { scheduleUpdate(); };
}

void EntryLimits::tick(bool usesRelays, double aliveShare, SteadyTime now)
{
    m_usesRelays = usesRelays;
    limits().setGrantsCredits(!usesRelays || m_relay.isRelay(now));
    limits().setReachableShare(aliveShare);
    limits().setPropagationTime(usesRelays ? m_options.relayUpdateTime : m_options.directUpdateTime);
    auto isUsed = [this](const EndpointIncarnation& incarnation) { return m_forward.endpoints.isExpectedToServe(incarnation); };
    limits().purgeExpired(m_forward.fleetTimeMilliseconds(), isUsed, now);
    m_forward.metrics.set("onyxnotch_entry_limited_endpoints", static_cast<double>(limits().limited()));
    ++m_ticks;
    if (!limits().isEmpty())
        sendUpdate(!usesRelays || m_ticks % m_options.limitUpdatePeriods == 0);
}

void EntryLimits::sendInitialUpdate(const Address& address)
{
    if (!limits().isEmpty())
        m_exchange.sendTo({ address }, MessageType::LimitUpdate, buildUpdate(true, !m_usesRelays, steadyNow()));
}

void EntryLimits::scheduleUpdate(bool includeLimits)
{
    m_nextUpdateHasLimits = m_nextUpdateHasLimits || includeLimits;
    if (m_isUpdateScheduled)
        return;
    auto wait = std::chrono::ceil<Milliseconds>(m_lastUpdateAt + m_options.minimumUpdateInterval - steadyNow());
    if (wait.count() <= 0) {
        sendUpdate(std::exchange(m_nextUpdateHasLimits, false));
        return;
    }
    m_isUpdateScheduled = true;
    asio::co_spawn(
        m_context, [this, wait]() -> asio::awaitable<void> {
            co_await sleepFor(m_context, wait);
            m_isUpdateScheduled = false;
            sendUpdate(std::exchange(m_nextUpdateHasLimits, false));
        },
        asio::detached);
}

LimitUpdate EntryLimits::buildUpdate(bool includeLimits, bool includeUses, SteadyTime now)
{
    LimitUpdate update { .node = m_options.node, .lifetime = m_options.lifetime };
    if (includeLimits)
        update.limits = limits().limitsToSend();
    if (includeUses)
        update.uses = limits().creditUsesToSend(now);
    return update;
}

void EntryLimits::sendUpdate(bool includeLimits)
{
    auto now = steadyNow();
    m_lastUpdateAt = now;
    if (!m_usesRelays) {
        m_exchange.sendTo(m_exchange.knownNodeAddresses(), MessageType::LimitUpdate, buildUpdate(includeLimits, true, now));
        return;
    }
    bool isRelay = m_relay.isRelay(now);
    if (isRelay)
        m_exchange.sendTo(m_relay.otherRelays(now), MessageType::LimitUpdate, buildUpdate(includeLimits, true, now));
    else if (includeLimits)
        m_exchange.sendTo(m_relay.rowReceivers(), MessageType::LimitUpdate, buildUpdate(true, false, now));
    if (isRelay && includeLimits)
        m_exchange.sendTo(m_relay.members(now), MessageType::LimitUpdate, buildUpdate(true, false, now));
}

void EntryLimits::onLimitUpdate(const LimitUpdate& update)
{
    bool changed = limits().onPeerUpdate(update, m_forward.fleetTimeMilliseconds(), steadyNow());
    if (changed && m_usesRelays && m_relay.isRelay(steadyNow()))
        scheduleUpdate();
}

Milliseconds EntryLimits::denialTime(const EndpointIncarnation& incarnation, SteadyTime now)
{
    constexpr double minimumSpread = 0.5;
    constexpr double maximumSpread = 1.5;
    constexpr double minimumPerSecond = 0.1;
    auto creditInterval = std::chrono::duration<double>(1 / std::max(minimumPerSecond, limits().perSecond(incarnation).value_or(unlimitedPerSecond)));
    auto randomizedInterval = std::chrono::ceil<Milliseconds>(creditInterval * std::uniform_real_distribution<double>(minimumSpread, maximumSpread)(m_forward.random));
    auto untilNextCredit = std::chrono::ceil<Milliseconds>(limits().nextCredit(incarnation, now) - now);
    return std::clamp(std::max(randomizedInterval, untilNextCredit), m_options.minimumDenialTime, m_options.maximumDenialTime);
}

void EntryLimits::onCreditRequest(const CreditRequest& creditRequest, const Address& from)
{
    auto now = steadyNow();
    if (limits().onAdvertisedLimit(creditRequest.word, now))
        scheduleUpdate();
    const auto& incarnation = creditRequest.word.endpoint;
    CreditAnswer answer { .number = creditRequest.number, .endpoint = incarnation, .isGranted = limits().take(incarnation, creditRequest.asks, now) };
    if (answer.isGranted)
        scheduleUpdate(false);
    else
        answer.retryAfterMilliseconds = static_cast<std::uint32_t>(denialTime(incarnation, now).count());
    m_exchange.sendTo({ from }, MessageType::CreditAnswer, answer);
}

void EntryLimits::onCreditAnswer(const CreditAnswer& answer, const Address& from)
{
    auto it = m_pendingRequests.find(answer.number);
    if (it != m_pendingRequests.end()) {
        it->second->answer = answer;
        it->second->timer.cancel();
        return;
    }
    // The wait for this answer has timed out: return the unused credit.
    if (answer.isGranted)
        m_exchange.sendTo({ from }, MessageType::CreditReturn, CreditReturn { .endpoint = answer.endpoint });
}

void EntryLimits::onCreditReturn(const CreditReturn& returned) { limits().refundCredit(returned.endpoint, steadyNow()); }

asio::awaitable<bool> EntryLimits::acquireCredit(EndpointIncarnation incarnation)
{
    if (limits().grantsCredits()) {
        bool isGranted = limits().take(incarnation, 1, steadyNow());
        if (isGranted)
            scheduleUpdate(false);
        co_return isGranted;
    }
    bool isGranted = co_await acquireFromRelay(incarnation);
    co_return isGranted;
}

asio::awaitable<bool> EntryLimits::acquireFromRelay(EndpointIncarnation incarnation)
{
    auto now = steadyNow();
    ++m_unreportedRequests[incarnation];
    auto relays = m_relay.rowReceivers();
    auto limit = limits().advertisedLimit(incarnation);
    if (!limit || relays.empty() || limits().creditAt(incarnation, now) > now)
        co_return false;
    CreditRequest creditRequest { .number = ++m_lastRequestNumber, .word = *limit, .asks = m_unreportedRequests[incarnation] };
    m_unreportedRequests.erase(incarnation);
    auto pending = std::make_shared<PendingRequest>(m_context);
    m_pendingRequests[creditRequest.number] = pending;
    m_exchange.sendTo({ relays[m_unansweredCount % relays.size()] }, MessageType::CreditRequest, creditRequest);
    pending->timer.expires_after(m_options.answerTimeout);
    asio::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_pendingRequests.erase(creditRequest.number);
    if (!pending->answer) {
        ++m_unansweredCount;
        m_forward.metrics.increment("onyxnotch_entry_credits_total", { { "result", "unanswered" } });
        limits().onCreditDenied(incarnation, steadyNow() + m_options.unansweredBackoff);
        co_return false;
    }
    if (!pending->answer->isGranted)
        limits().onCreditDenied(incarnation, steadyNow() + std::min(m_options.maximumDenialTime, Milliseconds(pending->answer->retryAfterMilliseconds)));
    co_return pending->answer->isGranted;
}

void EntryLimits::releaseCredit(const EndpointIncarnation& incarnation)
{
    if (limits().grantsCredits()) {
        limits().refundCredit(incarnation, steadyNow());
        return;
    }
    auto relays = m_relay.rowReceivers();
    if (!relays.empty())
        m_exchange.sendTo({ relays[m_unansweredCount % relays.size()] }, MessageType::CreditReturn, CreditReturn { .endpoint = incarnation });
}

} // namespace Onyxnotch
