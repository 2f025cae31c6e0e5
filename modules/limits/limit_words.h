// What endpoints say of how much they take: requests a second from all nodes together, for as long as they say so. Kept by life and
// apart from the list; joined from what every node heard. Pure.
#pragma once

#include "modules/traffic/endpoint_life.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Onyxnotch {

// An endpoint that names no limit, or a greater one.
constexpr double unlimitedPerSecond = 1e6;

// One answer's word. Times are milliseconds of the fleet's time, on which the nodes agree.
struct LimitWord {
    EndpointLife endpoint {};
    double perSecond { unlimitedPerSecond };
    std::uint64_t sentAt { 0 }; // When the request was sent whose answer says it,
    std::uint64_t heardAt { 0 }; // and when that answer was heard.

    bool operator==(const LimitWord&) const = default;

    bool isLimited() const { return perSecond < unlimitedPerSecond; }
    // A number that an endpoint can mean: a time is worked out from it.
    bool isSound() const { return perSecond >= 0 && perSecond <= unlimitedPerSecond && !endpoint.id.empty(); }

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, perSecond, sentAt, heardAt); }
};

// Of two words of one life, the one that holds. An endpoint said each at some time between sending and hearing: where these overlap nobody
// knows which one came later, and the lower one holds.
LimitWord joinWords(const LimitWord&, const LimitWord&);

struct LimitWordsOptions {
    std::uint64_t keptMilliseconds { 60000 }; // A word that is over, or of an endpoint that is not used: an older one may arrive that late.
    std::size_t most { 4096 }; // Further endpoints' words are not kept.
};

class LimitWords {
public:
    explicit LimitWords(const LimitWordsOptions& options = {})
        : m_options(options)
    {
    }

    // Returns whether what is in force has changed.
    bool hear(const LimitWord&);
    // Empty where none is in force.
    std::optional<double> perSecond(const EndpointLife&) const;
    bool knows(const EndpointLife& life) const { return m_words.contains(life); }
    bool isEmpty() const { return m_words.empty(); }
    std::size_t limited() const;
    // For the other nodes, at most so many: others each time, until all have been told.
    std::vector<LimitWord> takeTold(std::size_t most);
    // The word of one life, for who is asked about it.
    std::optional<LimitWord> find(const EndpointLife&) const;
    // Returns the lives that are forgotten.
    std::vector<EndpointLife> forgetOld(std::uint64_t nowMilliseconds, const std::function<bool(const EndpointLife&)>& isUsed);

private:
    LimitWordsOptions m_options;
    std::map<EndpointLife, LimitWord> m_words {};
    EndpointLife m_lastTold {};
};

} // namespace Onyxnotch
