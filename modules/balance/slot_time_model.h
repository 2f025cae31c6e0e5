// How long a request of a service holds a slot of its endpoint, as learnt from requests that ended: an average that fades.
#pragma once

namespace Onyxnotch {

struct SlotTimeModelOptions {
    double memoryPerObservation { 0.98 }; // How much an older observation still counts: some fifty are in force.
};

class SlotTimeModel {
public:
    explicit SlotTimeModel(const SlotTimeModelOptions& options = {});

    void observe(double seconds);
    // 0 until something has been seen.
    double seconds() const;

private:
    SlotTimeModelOptions m_options;
    double m_weight { 0 };
    double m_sum { 0 };
};

} // namespace Onyxnotch
