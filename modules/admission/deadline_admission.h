// Decides whether a request is admitted while its service is overloaded. A pure function without state.
// If an overloaded service admits every request, all of them miss their latency objective. A request that would wait too long is
// therefore refused immediately, and the allowed wait shrinks with the number of more urgent kinds of request, so that the backlog at the
// endpoints does not delay these. Until its objective has passed, a request is always admitted if its expected wait and the shortest wait
// of its service are 0.
#pragma once

namespace Onyxnotch {

struct DeadlineAdmissionOptions {
    // Share of its objective that a request may always wait, even if processing its own prompt leaves less time: the answer is late then,
    // but still useful.
    double minWaitShare { 0.25 };
};

struct DeadlineRequest {
    double expectedSeconds { 0 }; // Expected time to the first byte of the answer, at the selected endpoint.
    double unqueuedSeconds { 0 }; // Part of `expectedSeconds` that would remain if the endpoint had no other requests.
    double leastWaitSeconds { 0 }; // Shortest wait of all endpoints of the service, not necessarily that of the selected endpoint.
    double objectiveSeconds { 0 }; // Time left until the request misses its latency objective.
    unsigned moreUrgent { 0 }; // Number of kinds of request of the same service that are more urgent than this one.
    double moreUrgentObjectiveSeconds { 0 }; // Shortest objective of the more urgent kinds; ignored if `moreUrgent` is 0.
};

// Returns false if the request should be refused.
bool canBeOnTime(const DeadlineRequest&, const DeadlineAdmissionOptions& options = {});

} // namespace Onyxnotch
