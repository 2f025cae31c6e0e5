// Estimates from observed reclaims how likely an availability zone is to lose its reclaimable endpoints, and the resulting distribution of
// missing endpoints. Pure, without I/O; the time is passed in.
//
// Reclaims come in waves. They are rare in calm periods; shortly after a reclaim, or while no reclaimable endpoints are available, the next
// one is likely soon. Calm periods and waves each have a rate, the mean of a Gamma distribution: a prior of assumed observations plus the
// actual ones.
#pragma once

#include "core/clock.h"
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

struct ReclaimOutlookOptions {
    // The prior, which weighs as much as one observed reclaim for each rate: one reclaim of a zone in two minutes in calm periods, and one
    // in eight seconds in a wave. Where reclaims are rarer, some minutes without one correct the estimate.
    double calmZoneSeconds { 120 };
    double waveZoneSeconds { 8 };
    Milliseconds waveDuration { 6000 }; // Time after the last reclaim, or possible reclaim, until a wave counts as over.
};

class ReclaimOutlook {
public:
    explicit ReclaimOutlook(const ReclaimOutlookOptions& options = {});

    // Adds the time since the last call to the observation time. `zones` is the number of zones that have reclaimable endpoints.
    void advance(unsigned zones, SteadyTime now);
    void onReclaim(SteadyTime now);
    // Records a sign that a wave may have begun: an order for reclaimable endpoints was refused, or only some of a zone's are leaving.
    void onPossibleReclaim(SteadyTime now) { m_lastSignAt = now; }
    bool inWave(SteadyTime now) const;
    // The probability that a zone loses its reclaimable endpoints within the next `seconds`.
    double chanceWithin(double seconds, SteadyTime now) const;

private:
    struct Rate {
        double events { 0 };
        double zoneSeconds { 0 };
    };

    ReclaimOutlookOptions m_options;
    Rate m_calm;
    Rate m_wave;
    SteadyTime m_lastSignAt {};
    SteadyTime m_advancedAt {};
};

// Endpoints that are all lost together, with probability `chanceOfLoss`.
struct EndpointGroup {
    unsigned endpoints { 0 };
    double chanceOfLoss { 0 };

    bool operator==(const EndpointGroup&) const = default;
};

// The mean number of endpoints missing below `needed`, with groups lost independently: the sum of shortfallChances(). Its cost does not grow
// with the number of endpoints, only with that of different sums of groups.
double expectedShortfall(unsigned needed, const std::vector<EndpointGroup>&);

// The distribution of the shortfall below `needed` endpoints, with groups lost independently: entry n is the probability that at least
// n + 1 endpoints are missing.
std::vector<double> shortfallChances(unsigned needed, const std::vector<EndpointGroup>&);

} // namespace Onyxnotch
