// The metrics of a process, kept by prometheus-cpp and served as text at /metrics.
#pragma once

#include <map>
#include <memory>
#include <string>

namespace Onyxnotch {

// Names carry their unit as Prometheus asks; docs/operators/metrics.md lists each one. Safe from any thread.
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void increment(const std::string& name, const Labels& labels = {}, double amount = 1);
    void set(const std::string& name, double value, const Labels& labels = {});
    // Adds a duration in seconds to a histogram with buckets from 5 ms to 30 s.
    void observeSeconds(const std::string& name, double seconds, const Labels& labels = {});
    // The Prometheus text format, version 0.0.4.
    std::string serialize() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
