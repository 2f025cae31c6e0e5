// Nodes that give credits for one endpoint, and callers that want them, in simulated time: what they run is EndpointLimits; only sockets and
// timers are replaced. In a large fleet the nodes that give credits are its relays, and an ask is counted where its node's relay is.
#pragma once

#include "modules/limits/endpoint_limits.h"
#include <deque>
#include <memory>
#include <queue>

namespace Onyxnotch::Tests {

struct LimitSimulationOptions {
    unsigned givers { 9 };
    double perSecond { 1 };
    double asksPerSecond { 9 }; // Of all callers.
    bool isSkewed { false }; // All callers ask by way of one giver.
    double lossPart { 0.02 }; // Of messages.
    Milliseconds delay { 1 }; // Of a message, doubled for some.
    Milliseconds apart { 20 }; // News that are told at once.
    Milliseconds period { 250 };
    Milliseconds newsTime { 100 };
    std::uint64_t seed { 1 };
};

class LimitSimulation {
public:
    explicit LimitSimulation(const LimitSimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (unsigned n = 0; n < options.givers; ++n)
            m_givers.push_back({ .limits = newLimits(options.seed * 1000 + n), .phase = Milliseconds(37) * n % options.period });
    }

    // An answer names so much, which the giver hears.
    void name(unsigned giver, double perSecond)
    {
        m_named = perSecond;
        hear(giver);
        tellSoon(m_givers[giver]);
    }

    void run(Milliseconds duration)
    {
        for (auto end = m_now + duration; m_now < end; m_now += step)
            advance();
    }

    void kill(unsigned giver) { m_givers[giver].up = false; }
    void restart(unsigned giver)
    {
        auto& it = m_givers[giver];
        ++it.lifetime;
        it.up = true;
        it.limits = newLimits(m_options.seed * 1000 + giver + 500 * it.lifetime);
    }

    void setAsks(double perSecond) { m_options.asksPerSecond = perSecond; }
    void setSkew(unsigned giver) { m_favourite = giver; }
    SteadyTime now() const { return m_now; }
    const EndpointLimits& limits(unsigned giver) const { return *m_givers[giver].limits; }

    std::size_t givenSince(SteadyTime since) const
    {
        return static_cast<std::size_t>(std::count_if(m_given.begin(), m_given.end(), [&](const auto& it) { return it >= since; }));
    }

    // The most that was given in any span which ends after `from`.
    std::size_t mostGiven(SteadyTime from, Milliseconds span = Milliseconds(4000)) const
    {
        std::size_t most = 0;
        auto first = m_given.begin();
        for (auto it = m_given.begin(); it != m_given.end(); ++it) {
            while (*it - *first > span)
                ++first;
            if (*it >= from)
                most = std::max(most, static_cast<std::size_t>(it - first) + 1);
        }
        return most;
    }

private:
    static constexpr Milliseconds step { 1 };

    struct Giver {
        std::unique_ptr<EndpointLimits> limits {};
        Milliseconds phase {};
        std::uint64_t lifetime { 1 };
        bool up { true };
        std::optional<SteadyTime> tellsAt {};
        SteadyTime toldAt {};
    };

    struct Message {
        SteadyTime at {};
        unsigned to { 0 };
        std::shared_ptr<const LimitNews> news {};

        bool operator<(const Message& other) const { return at > other.at; }
    };

    std::unique_ptr<EndpointLimits> newLimits(std::uint64_t seed) const
    {
        auto limits = std::make_unique<EndpointLimits>(EndpointLimitsOptions {}, seed);
        limits->setNewsTime(m_options.newsTime);
        return limits;
    }

    std::uint64_t milliseconds() const { return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()); }

    void hear(unsigned giver)
    {
        LimitWord word { .endpoint = m_endpoint, .perSecond = m_named, .sentAt = milliseconds() - 1, .heardAt = milliseconds() };
        m_givers[giver].limits->hear(word, m_now);
    }

    void advance()
    {
        std::poisson_distribution<unsigned> asks(m_options.asksPerSecond * std::chrono::duration<double>(step).count());
        for (auto n = asks(m_random); n > 0; --n)
            ask();
        while (!m_messages.empty() && m_messages.top().at <= m_now) {
            auto message = m_messages.top();
            m_messages.pop();
            auto& it = m_givers[message.to];
            if (it.up && it.limits->onNews(*message.news, milliseconds(), m_now))
                tellSoon(it);
        }
        for (unsigned n = 0; n < m_givers.size(); ++n) {
            auto& it = m_givers[n];
            bool isDue = (std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()) + it.phase).count() % m_options.period.count() == 0;
            if (it.up && (isDue || (it.tellsAt && *it.tellsAt <= m_now)))
                tell(n);
        }
    }

    void tellSoon(Giver& it) const { it.tellsAt = it.tellsAt.value_or(std::max(m_now, it.toldAt + m_options.apart)); }

    void ask()
    {
        auto giver = m_options.isSkewed ? m_favourite : static_cast<unsigned>(m_random() % m_givers.size());
        auto& it = m_givers[giver];
        if (!it.up || !it.limits->isLimited(m_endpoint) || !it.limits->take(m_endpoint, 1, m_now))
            return;
        m_given.push_back(m_now);
        // The endpoint's answer names the limit again.
        hear(giver);
        tellSoon(it);
    }

    void tell(unsigned from)
    {
        auto& it = m_givers[from];
        it.tellsAt.reset();
        it.toldAt = m_now;
        auto news = std::make_shared<const LimitNews>(LimitNews { .node = "n" + std::to_string(from), .lifetime = it.lifetime, .words = it.limits->takeWordsTold(), .uses = it.limits->takeUsesTold(m_now) });
        std::bernoulli_distribution isLost(m_options.lossPart);
        std::bernoulli_distribution isSlow(0.2);
        for (unsigned n = 0; n < m_givers.size(); ++n) {
            if (n != from && !isLost(m_random))
                m_messages.push({ .at = m_now + m_options.delay * (isSlow(m_random) ? 2 : 1), .to = n, .news = news });
        }
    }

    LimitSimulationOptions m_options;
    std::mt19937_64 m_random;
    SteadyTime m_now { std::chrono::seconds(1000) };
    EndpointLife m_endpoint { .id = "i-1" };
    double m_named { unlimitedPerSecond };
    unsigned m_favourite { 0 };
    std::vector<Giver> m_givers {};
    std::priority_queue<Message> m_messages {};
    std::vector<SteadyTime> m_given {};
};

} // namespace Onyxnotch::Tests
