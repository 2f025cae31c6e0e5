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
    , m_lastAsk(options.lifetime << 20U)
{
    forward.askCredit = [this](EndpointLife life) { return take(std::move(life)); };
    forward.returnCredit = [this](const EndpointLife& life) { giveBack(life); };
    forward.tellLimits = [this] { tellSoon(); };
}

void EntryLimits::tick(bool usesRelays, double speakingPart, SteadyTime now)
{
    m_usesRelays = usesRelays;
    limits().setGivesCredits(!usesRelays || m_relay.isRelay(now));
    limits().setSpeakingPart(speakingPart);
    limits().setNewsTime(usesRelays ? m_options.newsTimeOfRelays : m_options.newsTime);
    auto isUsed = [this](const EndpointLife& life) { return m_forward.endpoints.isExpectedToLive(life); };
    limits().forgetOld(m_forward.trueMilliseconds(), isUsed, now);
    m_forward.metrics.set("onyxnotch_entry_limited_endpoints", static_cast<double>(limits().limited()));
    ++m_ticks;
    if (!limits().isEmpty())
        tell(!usesRelays || m_ticks % m_options.wordsEvery == 0);
}

void EntryLimits::greet(const Address& address)
{
    if (!limits().isEmpty())
        m_exchange.sendTo({ address }, MessageType::LimitNews, news(true, !m_usesRelays, steadyNow()));
}

void EntryLimits::tellSoon(bool words)
{
    m_tellsWords = m_tellsWords || words;
    if (m_isTelling)
        return;
    auto wait = std::chrono::ceil<Milliseconds>(m_toldAt + m_options.apart - steadyNow());
    if (wait.count() <= 0) {
        tell(std::exchange(m_tellsWords, false));
        return;
    }
    m_isTelling = true;
    asio::co_spawn(
        m_context, [this, wait]() -> asio::awaitable<void> {
            co_await sleepFor(m_context, wait);
            m_isTelling = false;
            tell(std::exchange(m_tellsWords, false));
        },
        asio::detached);
}

LimitNews EntryLimits::news(bool words, bool uses, SteadyTime now)
{
    LimitNews news { .node = m_options.node, .lifetime = m_options.lifetime };
    if (words)
        news.words = limits().takeWordsTold();
    if (uses)
        news.uses = limits().takeUsesTold(now);
    return news;
}

void EntryLimits::tell(bool words)
{
    auto now = steadyNow();
    m_toldAt = now;
    if (!m_usesRelays) {
        m_exchange.sendTo(m_exchange.everyNode(), MessageType::LimitNews, news(words, true, now));
        return;
    }
    bool isRelay = m_relay.isRelay(now);
    if (isRelay)
        m_exchange.sendTo(m_relay.otherRelays(now), MessageType::LimitNews, news(words, true, now));
    else if (words)
        m_exchange.sendTo(m_relay.rowReceivers(), MessageType::LimitNews, news(true, false, now));
    if (isRelay && words)
        m_exchange.sendTo(m_relay.members(now), MessageType::LimitNews, news(true, false, now));
}

void EntryLimits::onNews(const LimitNews& news)
{
    bool changed = limits().onNews(news, m_forward.trueMilliseconds(), steadyNow());
    if (changed && m_usesRelays && m_relay.isRelay(steadyNow()))
        tellSoon();
}

Milliseconds EntryLimits::denial(const EndpointLife& life, SteadyTime now)
{
    constexpr double leastSpread = 0.5;
    constexpr double mostSpread = 1.5;
    constexpr double leastPerSecond = 0.1;
    auto between = std::chrono::duration<double>(1 / std::max(leastPerSecond, limits().perSecond(life).value_or(unlimitedPerSecond)));
    auto spread = std::chrono::ceil<Milliseconds>(between * std::uniform_real_distribution<double>(leastSpread, mostSpread)(m_forward.random));
    auto next = std::chrono::ceil<Milliseconds>(limits().nextCredit(life, now) - now);
    return std::clamp(std::max(spread, next), m_options.leastDenial, m_options.longestDenial);
}

void EntryLimits::onAsk(const CreditAsk& ask, const Address& from)
{
    auto now = steadyNow();
    if (limits().hear(ask.word, now))
        tellSoon();
    const auto& life = ask.word.endpoint;
    CreditAnswer answer { .number = ask.number, .endpoint = life, .isGiven = limits().take(life, ask.asks, now) };
    if (answer.isGiven)
        tellSoon(false);
    else
        answer.askAgainMilliseconds = static_cast<std::uint32_t>(denial(life, now).count());
    m_exchange.sendTo({ from }, MessageType::CreditAnswer, answer);
}

void EntryLimits::onAnswer(const CreditAnswer& answer, const Address& from)
{
    auto it = m_pending.find(answer.number);
    if (it != m_pending.end()) {
        it->second->answer = answer;
        it->second->timer.cancel();
        return;
    }
    // Too late for the request that asked.
    if (answer.isGiven)
        m_exchange.sendTo({ from }, MessageType::CreditReturn, CreditReturn { .endpoint = answer.endpoint });
}

void EntryLimits::onReturn(const CreditReturn& returned) { limits().giveBack(returned.endpoint, steadyNow()); }

asio::awaitable<bool> EntryLimits::take(EndpointLife life)
{
    if (limits().givesCredits()) {
        bool isGiven = limits().take(life, 1, steadyNow());
        if (isGiven)
            tellSoon(false);
        co_return isGiven;
    }
    bool isGiven = co_await takeFromRelay(life);
    co_return isGiven;
}

asio::awaitable<bool> EntryLimits::takeFromRelay(EndpointLife life)
{
    auto now = steadyNow();
    ++m_untoldAsks[life];
    auto relays = m_relay.rowReceivers();
    auto word = limits().word(life);
    if (!word || relays.empty() || limits().creditAt(life, now) > now)
        co_return false;
    CreditAsk ask { .number = ++m_lastAsk, .word = *word, .asks = m_untoldAsks[life] };
    m_untoldAsks.erase(life);
    auto pending = std::make_shared<Pending>(m_context);
    m_pending[ask.number] = pending;
    m_exchange.sendTo({ relays[m_mute % relays.size()] }, MessageType::CreditAsk, ask);
    pending->timer.expires_after(m_options.answersWithin);
    asio::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    m_pending.erase(ask.number);
    if (!pending->answer) {
        ++m_mute;
        m_forward.metrics.increment("onyxnotch_entry_credits_total", { { "result", "unanswered" } });
        limits().noteDenied(life, steadyNow() + m_options.avoidedFor);
        co_return false;
    }
    if (!pending->answer->isGiven)
        limits().noteDenied(life, steadyNow() + std::min(m_options.longestDenial, Milliseconds(pending->answer->askAgainMilliseconds)));
    co_return pending->answer->isGiven;
}

void EntryLimits::giveBack(const EndpointLife& life)
{
    if (limits().givesCredits()) {
        limits().giveBack(life, steadyNow());
        return;
    }
    auto relays = m_relay.rowReceivers();
    if (!relays.empty())
        m_exchange.sendTo({ relays[m_mute % relays.size()] }, MessageType::CreditReturn, CreditReturn { .endpoint = life });
}

} // namespace Onyxnotch
