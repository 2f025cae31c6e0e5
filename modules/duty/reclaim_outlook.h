// How likely an availability zone is to lose its reclaimable endpoints, as learnt from what was seen, and what that would cost: pure.
//
// Reclaims come in waves. In a calm time they are rare; shortly after one, or while none are to be had, the next one is near. Each of
// the two rates is the mean of a Gamma distribution: a few assumed observations, and those made since.
#pragma once

#include "core/clock.h"
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

struct ReclaimOutlookOptions {
    // Assumed before anything has been seen, each counting as one observed reclaim: one of a zone in two minutes while it is calm, and
    // one in eight seconds in a wave. Where reclaims are rarer, some minutes without one correct this.
    double calmZoneSeconds { 120 };
    double waveZoneSeconds { 8 };
    Milliseconds waveLasts { 6000 }; // Since the last reclaim or sign of one.
};

class ReclaimOutlook {
public:
    explicit ReclaimOutlook(const ReclaimOutlookOptions& options = {});

    // Time goes on, with so many zones that hold reclaimable endpoints.
    void advance(unsigned zones, SteadyTime now);
    void onReclaim(SteadyTime now);
    // None were to be had, or single ones left: a wave may have begun.
    void onSign(SteadyTime now) { m_lastSignAt = now; }
    bool inWave(SteadyTime now) const;
    // The chance that a zone loses its reclaimable endpoints within this time.
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

// Endpoints that all go together with a chance.
struct EndpointGroup {
    unsigned endpoints { 0 };
    double chanceOfLoss { 0 };

    bool operator==(const EndpointGroup&) const = default;
};

// The distribution of how many of `needed` are missing: its entry n is the chance that at least n + 1 are.
std::vector<double> shortfallChances(unsigned needed, const std::vector<EndpointGroup>&);

} // namespace Onyxnotch
