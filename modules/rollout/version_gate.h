// Decides which versions of a service a node's requests may use. A version that appears beside another one may belong to a rollout and may
// be bad, so it receives no requests until the holder of the singleton duties has published its share. Pure, without I/O; the time is
// passed in. Used on the request thread.
#pragma once

#include "core/clock.h"
#include "modules/rollout/rollout_evaluator.h"
#include "modules/traffic/endpoint_list.h"
#include <optional>
#include <vector>

namespace Onyxnotch {

struct VersionGateOptions {
    // How long a version without a published share receives no requests. Three times the time that it takes to replace a failed holder of
    // the duties.
    Milliseconds unannouncedTime { 10000 };
    RolloutEvaluatorOptions evaluator {};
};

// Restrictions on the versions that one request may use.
struct VersionLimits {
    std::vector<std::string> barred {}; // Versions that must not receive the request.
    std::string wanted {}; // Version that receives the request if it has a usable endpoint. Empty for no preference.
    // Largest number of endpoints of the `wanted` version that receive requests; 0 for all. Limited so that each carries as much load as
    // after the rollout, since a version may be bad only under load.
    unsigned mostEndpoints { 0 };

    bool operator==(const VersionLimits&) const = default;
};

class VersionGate {
public:
    explicit VersionGate(const VersionGateOptions& options = {})
        : m_options(options)
    {
    }

    // Takes the current endpoint list and updates the versions of all services.
    void onList(const EndpointList&, SteadyTime now);
    // Takes the state received from the fleet, which excludes this node's own trial counts.
    void onPeerUpdate(const VersionUpdate& others);

    // Returns the restrictions for one request. `selector` must be uniformly distributed, for instance a hash of the request's id.
    VersionLimits limitsFor(const std::string& service, std::uint64_t selector, SteadyTime now) const;
    // Whether several versions of the service run side by side, so that their answers are counted.
    bool hasSeveralVersions(const std::string& service) const;
    // Whether several versions run and this one is not the known good one: a rollout's target, or a version without a published share.
    bool isNotKnownGood(const std::string& service, const std::string& version) const;

    // Count the requests that this node sends, and their ends. To be called for services with several versions.
    void onSent(const VersionRoute&);
    void onEnd(const VersionRoute&, bool good, bool bad);
    const VersionTrials& ownTrials() const { return m_trials; }
    // Versions found bad by this node or another one.
    const std::vector<StoppedVersion>& stopped() const { return m_stopped; }
    // Returns and clears the versions found bad since the last call, for the log.
    std::vector<StoppedVersion> takeNewlyStopped();

private:
    struct ServiceState {
        std::string knownGood {}; // The known good version, to which the others are compared.
        std::map<std::string, unsigned> ready {}; // Number of endpoints that are not draining, by version.
        std::map<std::string, SteadyTime> firstSeenAt {}; // When each listed version was first seen.
        std::optional<VersionShare> publishedShare {}; // The latest share published by the holder of the duties.
        RolloutEvaluator evaluator {};
    };

    void chooseKnownGood(ServiceState&) const;
    void evaluateRollout(const std::string& service, ServiceState&);
    void markStopped(const StoppedVersion&);
    bool isStopped(const std::string& service, const std::string& version) const;
    bool isUnannounced(const ServiceState&, const std::string& version, SteadyTime now) const;
    void clearTrials(const std::string& service);

    VersionGateOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    VersionTrials m_trials {}; // Counts of requests that this node sent.
    VersionTrials m_peerTrials {}; // Counts received from the fleet, without those of this node.
    std::vector<StoppedVersion> m_stopped {};
    std::vector<StoppedVersion> m_newlyStopped {};
};

} // namespace Onyxnotch
