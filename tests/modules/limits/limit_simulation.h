// Simulates nodes that grant credits for one endpoint, and the requests for these credits, in simulated time. The nodes run the real
// EndpointLimits; only sockets and timers are replaced. In a large fleet the nodes that grant credits are its relay nodes, and a request
// counts at the relay node of the node that received it.
#pragma once

#include "modules/limits/endpoint_limits.h"
#include <deque>
#include <memory>
#include <queue>

namespace Onyxnotch::Tests {

struct LimitSimulationOptions {
    unsigned granters { 9 };
    double perSecond { 1 };
    double creditRequestsPerSecond { 9 }; // Credit requests per second over all nodes.
    bool isSkewed { false }; // All credit requests go to one granting node.
    double lossShare { 0.02 }; // Share of messages that are lost.
    Milliseconds delay { 1 }; // Delivery delay of a message; one message in five takes twice as long.
    Milliseconds minSendInterval { 20 }; // Minimum time between two messages that a node sends outside of its period.
    Milliseconds period { 250 };
    Milliseconds propagationTime { 100 };
    std::uint64_t seed { 1 };
};

class LimitSimulation {
public:
    explicit LimitSimulation(const LimitSimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (unsigned n = 0; n < options.granters; ++n)
            m_granters.push_back({ .limits = newLimits(options.seed * 1000 + n), .phase = Milliseconds(37) * n % options.period });
    }

    // An answer of the endpoint advertises `perSecond`, and this granting node receives it.
    void advertise(unsigned granter, double perSecond)
    {
        m_advertisedPerSecond = perSecond;
        receiveAnswer(granter);
        scheduleSend(m_granters[granter]);
    }

    void run(Milliseconds duration)
    {
        for (auto end = m_now + duration; m_now < end; m_now += step)
            advance();
    }

    void stop(unsigned granter) { m_granters[granter].up = false; }
    void restart(unsigned granter)
    {
        auto& it = m_granters[granter];
        ++it.lifetime;
        it.up = true;
        it.limits = newLimits(m_options.seed * 1000 + granter + 500 * it.lifetime);
    }

    void setCreditRequests(double perSecond) { m_options.creditRequestsPerSecond = perSecond; }
    void setSkewedGranter(unsigned granter) { m_skewedGranter = granter; }
    SteadyTime now() const { return m_now; }
    const EndpointLimits& limits(unsigned granter) const { return *m_granters[granter].limits; }

    std::size_t grantedSince(SteadyTime since) const
    {
        return static_cast<std::size_t>(std::count_if(m_grantedAt.begin(), m_grantedAt.end(), [&](const auto& it) { return it >= since; }));
    }

    // Largest number of credits granted within any time span of length `span` that ends at or after `from`.
    std::size_t maxGranted(SteadyTime from, Milliseconds span = Milliseconds(4000)) const
    {
        std::size_t maxCount = 0;
        auto first = m_grantedAt.begin();
        for (auto it = m_grantedAt.begin(); it != m_grantedAt.end(); ++it) {
            while (*it - *first > span)
                ++first;
            if (*it >= from)
                maxCount = std::max(maxCount, static_cast<std::size_t>(it - first) + 1);
        }
        return maxCount;
    }

private:
    static constexpr Milliseconds step { 1 };

    struct Granter {
        std::unique_ptr<EndpointLimits> limits {};
        Milliseconds phase {};
        std::uint64_t lifetime { 1 };
        bool up { true };
        std::optional<SteadyTime> sendsAt {};
        SteadyTime lastSentAt {};
    };

    struct Message {
        SteadyTime at {};
        unsigned to { 0 };
        std::shared_ptr<const LimitUpdate> limitMessage {};

        bool operator<(const Message& other) const { return at > other.at; }
    };

    std::unique_ptr<EndpointLimits> newLimits(std::uint64_t seed) const
    {
        auto limits = std::make_unique<EndpointLimits>(EndpointLimitsOptions {}, seed);
        limits->setPropagationTime(m_options.propagationTime);
        return limits;
    }

    std::uint64_t milliseconds() const { return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()); }

    void receiveAnswer(unsigned granter)
    {
        AdvertisedLimit word { .endpoint = m_endpoint, .perSecond = m_advertisedPerSecond, .sentAt = milliseconds() - 1, .receivedAt = milliseconds() };
        m_granters[granter].limits->onAdvertisedLimit(word, m_now);
    }

    void advance()
    {
        std::poisson_distribution<unsigned> requestCount(m_options.creditRequestsPerSecond * std::chrono::duration<double>(step).count());
        for (auto n = requestCount(m_random); n > 0; --n)
            requestCredit();
        while (!m_messages.empty() && m_messages.top().at <= m_now) {
            auto message = m_messages.top();
            m_messages.pop();
            auto& it = m_granters[message.to];
            if (it.up && it.limits->onPeerUpdate(*message.limitMessage, milliseconds(), m_now))
                scheduleSend(it);
        }
        for (unsigned n = 0; n < m_granters.size(); ++n) {
            auto& it = m_granters[n];
            bool isDue = (std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()) + it.phase).count() % m_options.period.count() == 0;
            if (it.up && (isDue || (it.sendsAt && *it.sendsAt <= m_now)))
                send(n);
        }
    }

    void scheduleSend(Granter& it) const { it.sendsAt = it.sendsAt.value_or(std::max(m_now, it.lastSentAt + m_options.minSendInterval)); }

    void requestCredit()
    {
        auto granter = m_options.isSkewed ? m_skewedGranter : static_cast<unsigned>(m_random() % m_granters.size());
        auto& it = m_granters[granter];
        if (!it.up || !it.limits->isLimited(m_endpoint) || !it.limits->take(m_endpoint, 1, m_now))
            return;
        m_grantedAt.push_back(m_now);
        // The endpoint's answer advertises the limit again.
        receiveAnswer(granter);
        scheduleSend(it);
    }

    void send(unsigned from)
    {
        auto& it = m_granters[from];
        it.sendsAt.reset();
        it.lastSentAt = m_now;
        auto limitMessage = std::make_shared<const LimitUpdate>(LimitUpdate { .node = "n" + std::to_string(from), .lifetime = it.lifetime, .limits = it.limits->limitsToSend(), .uses = it.limits->creditUsesToSend(m_now) });
        std::bernoulli_distribution isLost(m_options.lossShare);
        std::bernoulli_distribution isSlow(0.2);
        for (unsigned n = 0; n < m_granters.size(); ++n) {
            if (n != from && !isLost(m_random))
                m_messages.push({ .at = m_now + m_options.delay * (isSlow(m_random) ? 2 : 1), .to = n, .limitMessage = limitMessage });
        }
    }

    LimitSimulationOptions m_options;
    std::mt19937_64 m_random;
    SteadyTime m_now { std::chrono::seconds(1000) };
    EndpointIncarnation m_endpoint { .id = "i-1" };
    double m_advertisedPerSecond { unlimitedPerSecond };
    unsigned m_skewedGranter { 0 };
    std::vector<Granter> m_granters {};
    std::priority_queue<Message> m_messages {};
    std::vector<SteadyTime> m_grantedAt {};
};

} // namespace Onyxnotch::Tests
