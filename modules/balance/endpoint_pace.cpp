#include "modules/balance/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

double EndpointPace::faded(SteadyTime now) const
{
    auto age = std::chrono::duration<double>(now - m_observedAt) / std::chrono::duration<double>(m_options.halfLife);
    return 1 + (m_ratio - 1) * std::exp2(-std::max(0.0, age));
}

void EndpointPace::observe(double ratio, SteadyTime now)
{
    auto before = faded(now);
    m_ratio = before + m_options.newestPart * (std::clamp(ratio, 0.0, m_options.mostSlow) - before);
    m_observedAt = now;
}

double EndpointPace::slowness(SteadyTime now) const
{
    auto ratio = faded(now);
    return ratio < m_options.slowFrom ? 1 : ratio;
}

} // namespace Onyxnotch
