// Chooses an endpoint for one request from a list of candidates and reports the reason. Pure functions without state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace Onyxnotch {

// One endpoint as input to the choice.
struct ChoiceCandidate {
    unsigned slots { 1 };
    double inFlight { 0 }; // Requests of this node, and of other nodes as last reported.
    double waitingTokens { 0 }; // Tokens of prompts that were sent there and have had no first event yet.
    double cachedTokens { 0 }; // Tokens of this prompt that are expected in the endpoint's prefix cache.
    std::uint64_t rank { 0 }; // Hash of the endpoint and the prompt's prefix, so that all nodes rank the endpoints alike.
    bool sameZone { false };
    double slowness { 1 }; // Factor on the expected times of prompts and waits, relative to the service (EndpointSpeeds).
    double lastingSlowness { 1 }; // `slowness` without short slowdowns, so that all nodes find the same home.
    double expectedPauseSeconds { 0 }; // Expected time between two events of a stream; 0 if unknown.

    bool operator==(const ChoiceCandidate&) const = default;
};

struct ChoiceRequest {
    double promptTokens { 0 }; // 0 for services without prompts.
    double sharedTokens { 0 }; // Tokens of the prompt in parts that other requests may share.
    double slotSeconds { 0 }; // Average time that a request of the service occupies a slot, as measured by SlotTimeModel.
    double earlyEnoughSeconds { 0 }; // Candidates expected to start within this time are compared by uncached tokens, not by time.
    double objectiveSeconds { 0 }; // Candidates expected to start within this time are on time.
    double pauseObjectiveSeconds { 0 }; // Target time between two events of a stream; 0 for no target.

    bool operator==(const ChoiceRequest&) const = default;
};

struct ChoiceOptions {
    // Times of one engine, as estimated by FirstEventModel.
    double fixedSeconds { 0.02 }; // Time to first event that does not depend on the prompt's length.
    double secondsPerToken { 1.0 / 40000 }; // Prefill time per uncached prompt token.
    double staleSeconds { 0.25 }; // Age of other nodes' load reports; requests that arrived since are not in them.
    double stepSeconds { 0.0005 }; // Delay of a first token by each running stream.
    double otherZoneSeconds { 0.0005 }; // Cost of using another availability zone: network delay and paid traffic, as seconds.
};

struct EndpointChoice {
    std::size_t candidate { 0 };
    double uncachedTokens { 0 }; // Prompt tokens that the endpoint is expected to have to read.
    double expectedSeconds { 0 }; // Until the first byte of the answer, without network time.
    double unqueuedSeconds { 0 }; // Part of `expectedSeconds` that remains if no other request is at the endpoint.
    double leastWaitSeconds { 0 }; // Shortest wait behind other requests over all candidates.
    std::string_view reason {}; // "home" (the candidate with the highest rank) or "least_wait".
};

// Expected seconds until the first token, or the start of the answer, at this candidate.
double expectedSeconds(const ChoiceCandidate&, const ChoiceRequest&, const ChoiceOptions&);

// Expected seconds until the first token if no other request is at the candidate.
double unqueuedSeconds(const ChoiceCandidate&, const ChoiceRequest&, const ChoiceOptions&);

// Returns the candidate with the fewest uncached tokens among those expected to start within `earlyEnoughSeconds`; if there is none, the
// one with the shortest expected time. The candidate with the highest rank is assumed to have the shared parts cached even if this node has
// not sent them there, because other nodes do. Slow candidates are ranked lower, so that they are home to fewer prompts. A candidate whose
// expected pause is too long for the pause objective is not a home if another one can be, and is left out if another candidate is expected
// to be on time. Empty if there are no candidates.
std::optional<EndpointChoice> chooseEndpoint(const std::vector<ChoiceCandidate>&, const ChoiceRequest&, const ChoiceOptions&);

} // namespace Onyxnotch
