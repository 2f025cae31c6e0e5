// Metrics registry of a process, implemented with prometheus-cpp. The serialized text is served at /metrics.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace Onyxnotch {

// Metric names include their unit, following the Prometheus naming conventions; docs/operators/metrics.md lists all of them. Thread-safe.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void increment(const std::string& name, const Labels& labels = {}, double amount = 1);
    void set(const std::string& name, double value, const Labels& labels = {});
    // Adds a duration in seconds to a histogram whose buckets range from 5 ms to 30 s.
    void observeSeconds(const std::string& name, double seconds, const Labels& labels = {});
    // Returns all metrics in the Prometheus text format, version 0.0.4.
    std::string serialize() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
