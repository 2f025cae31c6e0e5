#include "modules/balance/slot_time_model.h"

#include <algorithm>

namespace Onyxnotch {

SlotTimeModel::SlotTimeModel(const SlotTimeModelOptions& options)
    : m_options(options)
{
}

void SlotTimeModel::observe(double seconds)
{
    m_weight = m_weight * m_options.decayPerObservation + 1;
    m_sum = m_sum * m_options.decayPerObservation + std::max(0.0, seconds);
}

double SlotTimeModel::seconds() const { return m_weight > 0 ? m_sum / m_weight : 0; }

} // namespace Onyxnotch
