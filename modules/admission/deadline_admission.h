// Whether a request is taken now, where its service has more to do than it can do in time: a pure decision.
//
// While a service is short of endpoints, taking everything makes everything late. So what would wait too long is refused at once, and the
// less urgent a request is, the less it may wait: then the endpoints never have a backlog that makes the more urgent ones late. Where
// nothing waits at the best endpoint, everything is taken.
#pragma once

namespace Onyxnotch {

struct DeadlineAdmissionOptions {
    // Of its objective that a request may wait, also where its own prompt leaves less: its answer will be late, and is worth something.
    double leastWaitPart { 0.25 };
};

struct DeadlineRequest {
    double expectedSeconds { 0 }; // To the first byte, at the endpoint that was chosen.
    double unqueuedSeconds { 0 }; // Of these, if nothing else were there.
    double leastWaitSeconds { 0 }; // At the endpoint of the service with the shortest wait, which need not be the one that was chosen.
    double objectiveSeconds { 0 }; // What is left of it.
    unsigned moreUrgent { 0 }; // Kinds of request that the service also has and that are more urgent than this one,
    double moreUrgentObjectiveSeconds { 0 }; // and the shortest objective of them; without any, not looked at.
};

// False where it should be refused.
bool canBeOnTime(const DeadlineRequest&, const DeadlineAdmissionOptions& options = {});

} // namespace Onyxnotch
