// How much slower an endpoint is than the others of its service, by what requests saw there: a pure state machine, the time passed in.
#pragma once

#include "core/clock.h"

namespace Onyxnotch {

struct EndpointPaceOptions {
    double newestPart { 0.3 }; // Of each observation: three or four slow answers tell.
    double slowFrom { 2 }; // Below this an endpoint counts as usual: answers differ by half of their time of their own accord.
    double mostSlow { 10 };
    Milliseconds halfLife { 2000 }; // In which what was seen loses half of its weight: an endpoint that is avoided tells nothing new.
};

class EndpointPace {
public:
    explicit EndpointPace(const EndpointPaceOptions& options = {})
        : m_options(options)
    {
    }

    // An answer took `ratio` times as long as was expected of an endpoint of its service.
    void observe(double ratio, SteadyTime now);
    // Its time for the same work against a usual endpoint's; 1 where it is not known to be slow.
    double slowness(SteadyTime now) const;

private:
    double faded(SteadyTime now) const;

    EndpointPaceOptions m_options;
    double m_ratio { 1 };
    SteadyTime m_observedAt {};
};

} // namespace Onyxnotch
