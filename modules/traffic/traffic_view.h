// The configuration and endpoint list that the request path reads for each request: immutable values, replaced by the control thread.
#pragma once

#include "modules/traffic/endpoint_list.h"
#include "modules/traffic/traffic_configuration.h"
#include <atomic>

namespace Onyxnotch {

// Read-copy-update: a reader gets a shared pointer, and the value stays valid while the reader has it. Thread-safe, for one writer.
class TrafficView {
public:
    std::shared_ptr<const TrafficConfiguration> configuration() const { return m_configuration.load(); }
    std::shared_ptr<const EndpointList> endpoints() const { return m_endpoints.load(); }

    // Replaces the configuration if the version is newer than the current one, and returns whether it was: within a process, versions only
    // increase.
    bool offer(std::shared_ptr<const TrafficConfiguration> configuration)
    {
        auto current = m_configuration.load();
        if (current && current->version() >= configuration->version())
            return false;
        m_configuration.store(std::move(configuration));
        return true;
    }
    void setEndpoints(std::shared_ptr<const EndpointList> endpoints) { m_endpoints.store(std::move(endpoints)); }

private:
    std::atomic<std::shared_ptr<const TrafficConfiguration>> m_configuration {};
    std::atomic<std::shared_ptr<const EndpointList>> m_endpoints {};
};

} // namespace Onyxnotch
