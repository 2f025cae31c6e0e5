// Messages by which a node of a large fleet requests, gets and returns credits for endpoints with an advertised limit (EntryLimits). One
// datagram each; encoded by cereal.
#pragma once

#include "modules/limits/endpoint_limits.h"

namespace Onyxnotch {

// Sent to a relay node: requests a credit for sending one request to an endpoint.
struct CreditRequest {
    std::uint64_t number { 0 }; // Chosen by the requesting node, and repeated in the answer.
    AdvertisedLimit word {}; // The endpoint's advertised limit as known to the requesting node.
    std::uint32_t asks { 1 }; // Requests for the endpoint at the requesting node since its previous CreditRequest, this one included.

    bool operator==(const CreditRequest&) const = default;

    bool isSound() const
    {
        constexpr std::uint32_t maximumRequests = 1000000;
        return word.isSound() && asks <= maximumRequests;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(number, word, asks); }
};

// The relay node's answer to a CreditRequest.
struct CreditAnswer {
    std::uint64_t number { 0 };
    EndpointIncarnation endpoint {};
    bool isGranted { false };
    std::uint32_t retryAfterMilliseconds { 0 }; // If no credit was granted: time to wait before the next credit request.

    bool operator==(const CreditAnswer&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(number, endpoint, isGranted, retryAfterMilliseconds); }
};

// Sent to the relay node that granted a credit: returns it, since no request was sent to the endpoint.
struct CreditReturn {
    EndpointIncarnation endpoint {};

    bool operator==(const CreditReturn&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint); }
};

} // namespace Onyxnotch
