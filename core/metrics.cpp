#include "core/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Onyxnotch {

namespace {

    const prometheus::Histogram::BucketBoundaries& durationBuckets()
    {
        static const prometheus::Histogram::BucketBoundaries buckets { 0.005, 0.01, 0.025, 0.05, 0.079, 0.1, 0.25, 0.5, 0.72, 1, 2.5, 5, 10, 30 };
        return buckets;
    }

} // namespace

struct Metrics::Implementation {
    prometheus::Registry registry;
};

Metrics::Metrics()
    : m_implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

// Register() returns the existing family if one of this name is already registered.
void Metrics::increment(const std::string& name, const Labels& labels, double amount)
{
    auto& family = prometheus::BuildCounter().Name(name).Register(m_implementation->registry);
    family.Add(labels).Increment(amount);
}

void Metrics::set(const std::string& name, double value, const Labels& labels)
{
    auto& family = prometheus::BuildGauge().Name(name).Register(m_implementation->registry);
    family.Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string& name, double seconds, const Labels& labels)
{
    auto& family = prometheus::BuildHistogram().Name(name).Register(m_implementation->registry);
    family.Add(labels, durationBuckets()).Observe(seconds);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_implementation->registry.Collect());
}

} // namespace Onyxnotch
