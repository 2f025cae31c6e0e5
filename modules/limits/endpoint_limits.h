// The endpoints that named a limit, as one node knows them: what they said, and the credit that requests to them need. A node gives credits
// itself, or asks another one that does (in a large fleet, a relay of its availability zone). Belongs to the request thread.
#pragma once

#include "modules/limits/endpoint_credits.h"
#include "modules/limits/limit_words.h"

namespace Onyxnotch {

// What nodes tell each other of limited endpoints.
struct LimitNews {
    std::string node {};
    std::uint64_t lifetime { 0 };
    std::vector<LimitWord> words {};
    std::vector<CreditUse> uses {};

    bool operator==(const LimitNews&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, words, uses); }
};

struct EndpointLimitsOptions {
    LimitWordsOptions words {};
    EndpointCreditsOptions credits {};
    // In one message: some four and three kilobytes. Of more, others are told each time.
    std::size_t wordsTold { 64 };
    std::size_t usesTold { 128 };
    // A word from further ahead is of a node whose clock is wrong, and would hold against all that are said until then.
    std::uint64_t aheadMilliseconds { 500 };
};

class EndpointLimits {
public:
    explicit EndpointLimits(const EndpointLimitsOptions& options = {}, std::uint64_t seed = std::random_device {}())
        : m_options(options)
        , m_words(options.words)
        , m_credits(options.credits, seed)
    {
    }

    // Returns whether what is in force has changed.
    bool hear(const LimitWord&, SteadyTime now);
    // The same of what another node heard and gave. `fleetMilliseconds`: the fleet's time, now.
    bool onNews(const LimitNews&, std::uint64_t fleetMilliseconds, SteadyTime now);
    bool knows(const EndpointLife& life) const { return m_words.knows(life); }
    std::optional<LimitWord> word(const EndpointLife& life) const { return m_words.find(life); }
    std::optional<double> perSecond(const EndpointLife& life) const { return m_words.perSecond(life); }
    bool isLimited(const EndpointLife& life) const { return m_words.perSecond(life).has_value(); }
    std::size_t limited() const { return m_words.limited(); }
    bool isEmpty() const { return m_words.isEmpty(); }

    // Whether this node gives credits itself.
    void setGivesCredits(bool givesCredits) { m_givesCredits = givesCredits; }
    bool givesCredits() const { return m_givesCredits; }
    void setNewsTime(Milliseconds newsTime) { m_credits.setNewsTime(newsTime); }
    void setSpeakingPart(double part) { m_credits.setSpeakingPart(part); }
    bool take(const EndpointLife& life, double asks, SteadyTime now) { return m_credits.take(life, asks, now); }
    void giveBack(const EndpointLife& life, SteadyTime now) { m_credits.giveBack(life, now); }
    // The node that gives credits has none for this one before then.
    void noteDenied(const EndpointLife& life, SteadyTime until) { m_deniedUntil[life] = until; }
    // When a request may get a credit; not later than `now` where it may at once, or needs none.
    SteadyTime creditAt(const EndpointLife&, SteadyTime now) const;
    // When this node's own bucket has one.
    SteadyTime nextCredit(const EndpointLife& life, SteadyTime now) const { return m_credits.nextAt(life, now); }

    std::vector<LimitWord> takeWordsTold() { return m_words.takeTold(m_options.wordsTold); }
    std::vector<CreditUse> takeUsesTold(SteadyTime now) { return m_credits.takeUses(m_options.usesTold, now); }
    void forgetOld(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointLife&)>& isUsed, SteadyTime now);

private:
    EndpointLimitsOptions m_options;
    LimitWords m_words;
    EndpointCredits m_credits;
    std::map<EndpointLife, SteadyTime> m_deniedUntil {};
    bool m_givesCredits { true };
};

} // namespace Onyxnotch
