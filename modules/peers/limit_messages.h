// How a node of a large fleet gets credits for endpoints that named a limit (EntryLimits). One datagram each; encoded by cereal.
#pragma once

#include "modules/limits/endpoint_limits.h"

namespace Onyxnotch {

// To a relay: a request is to be sent there.
struct CreditAsk {
    std::uint64_t number { 0 }; // Chosen by the asking node, and repeated in the answer.
    LimitWord word {}; // As the asking node knows it.
    std::uint32_t asks { 1 }; // That the node has had for this endpoint since it asked last, this one included.

    bool operator==(const CreditAsk&) const = default;

    bool isSound() const
    {
        constexpr std::uint32_t mostAsks = 1000000;
        return word.isSound() && asks <= mostAsks;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(number, word, asks); }
};

struct CreditAnswer {
    std::uint64_t number { 0 };
    EndpointLife endpoint {};
    bool isGiven { false };
    std::uint32_t askAgainMilliseconds { 0 }; // Where none was given: not sooner.

    bool operator==(const CreditAnswer&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(number, endpoint, isGiven, askAgainMilliseconds); }
};

// To the relay that gave it: nothing was sent for it.
struct CreditReturn {
    EndpointLife endpoint {};

    bool operator==(const CreditReturn&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint); }
};

} // namespace Onyxnotch
