// Chooses an endpoint for one request: a pure function of what is known, with its reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Onyxnotch {

// What the choice knows of an endpoint.
struct ChoiceCandidate {
    unsigned slots { 1 };
    double inFlight { 0 }; // Of this node, and of the others as far as they have said.
    double waitingTokens { 0 }; // Prompt tokens that were sent there and not yet answered by a first event.
    double keptTokens { 0 }; // Of this prompt, expected in its prefix memory.
    std::uint64_t rank { 0 }; // The endpoint's hash with the prompt's prefix: all nodes rank alike.
    bool sameZone { false };

    bool operator==(const ChoiceCandidate&) const = default;
};

struct ChoiceRequest {
    double promptTokens { 0 }; // 0 for services without prompts.
    double sharedTokens { 0 }; // Of these, in parts that other requests may share.
    double slotSeconds { 0 }; // How long a usual request of the service holds a slot, as learnt (SlotTimeModel).
    double comfortableSeconds { 0 }; // Whatever begins within this time is on time: then what is read less is better than what is sooner.

    bool operator==(const ChoiceRequest&) const = default;
};

struct ChoiceOptions {
    // Of one engine, as learnt (FirstEventModel).
    double fixedSeconds { 0.02 }; // To a first event, however short the prompt.
    double secondsPerToken { 1.0 / 40000 }; // Of the prompt.
    double staleSeconds { 0.25 }; // Age of what other nodes have told: as many requests as come in this time may have been missed.
    double stepSeconds { 0.0005 }; // By which each running stream delays the others' first token.
    double otherZoneSeconds { 0.0005 }; // What another availability zone costs: delay and priced bytes.
};

struct EndpointChoice {
    std::size_t candidate { 0 };
    double uncachedTokens { 0 }; // Of the prompt, expected.
    double expectedSeconds { 0 }; // Until the first byte of the answer, without the network.
    double unqueuedSeconds { 0 }; // Of these, if nothing else were there.
    double leastWaitSeconds { 0 }; // Of all candidates, for what is there before the request.
    std::string_view reason {}; // "home", "least_wait".
};

// The time until a first token, or an answer's begin, at this candidate.
double expectedSeconds(const ChoiceCandidate&, const ChoiceRequest&, const ChoiceOptions&);

// The same where nothing else is there.
double unqueuedSeconds(const ChoiceCandidate&, const ChoiceRequest&, const ChoiceOptions&);

// Of the candidates that begin within the comfortable time, the one that reads the least; without any, the one with the least expected
// time. The one with the highest rank is expected to keep the shared parts even where this node
// cannot tell: other nodes send them there too. Empty where there are no candidates.
std::optional<EndpointChoice> chooseEndpoint(const std::vector<ChoiceCandidate>&, const ChoiceRequest&, const ChoiceOptions&);

} // namespace Onyxnotch
