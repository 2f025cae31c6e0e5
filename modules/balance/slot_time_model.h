// Estimates how long a request of one service occupies a slot of its endpoint: exponentially weighted average over ended requests.
#pragma once

namespace Onyxnotch {

struct SlotTimeModelOptions {
    double decayPerObservation { 0.98 }; // Factor on the weight of all earlier observations at each new one: about fifty are effective.
};

class SlotTimeModel {
public:
    explicit SlotTimeModel(const SlotTimeModelOptions& options = {});

    void observe(double seconds);
    // Average time in seconds; 0 before the first observation.
    double seconds() const;

private:
    SlotTimeModelOptions m_options;
    double m_weight { 0 };
    double m_sum { 0 };
};

} // namespace Onyxnotch
