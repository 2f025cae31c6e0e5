// Which versions of a service a node's requests may use. Where a version appears beside another one, an operator may have ordered a
// roll-out, and the version may be bad: it gets nothing until the holder of the duties has said what it may get. Pure, with the time
// passed in; belongs to the request thread.
#pragma once

#include "core/clock.h"
#include "modules/rollout/rollout_judge.h"
#include "modules/traffic/endpoint_list.h"
#include <optional>
#include <vector>

namespace Onyxnotch {

struct VersionGateOptions {
    // For which a version that nobody has spoken of gets nothing: three times what it takes to replace a holder of the duties that died.
    Milliseconds unknownFor { 10000 };
    RolloutJudgeOptions judge {};
};

// For one request.
struct VersionLimits {
    std::vector<std::string> barred {}; // These get it in no case.
    std::string wanted {}; // This one gets it where it has an endpoint that may be used. Empty for any.
    // Of the endpoints of the wanted version, only so many get requests, so that each carries as much as at the end: a version may be bad
    // under load alone. 0 for all.
    unsigned mostEndpoints { 0 };

    bool operator==(const VersionLimits&) const = default;
};

class VersionGate {
public:
    explicit VersionGate(const VersionGateOptions& options = {})
        : m_options(options)
    {
    }

    void onList(const EndpointList&, SteadyTime now);
    // What the fleet tells, without this node's own trials.
    void onNews(const VersionNews& others);

    // `selector` is spread evenly over all its values, for instance a hash of the request's id.
    VersionLimits limitsFor(const std::string& service, std::uint64_t selector, SteadyTime now) const;
    // Whether versions run side by side, so that what they do is counted.
    bool isMixed(const std::string& service) const;
    // Whether a roll-out moves to this version, or nobody has spoken of it.
    bool isOnTrial(const std::string& service, const std::string& version) const;

    // This node's own counts, of services that run more than one version.
    void onSent(const VersionRoute&);
    void onEnd(const VersionRoute&, bool good, bool bad);
    const VersionTrials& ownTrials() const { return m_trials; }
    // Versions that this node, or another one, has found bad.
    const std::vector<StoppedVersion>& stopped() const { return m_stopped; }
    // Found bad since the last call, for the log.
    std::vector<StoppedVersion> takeNewlyStopped();

private:
    struct ServiceState {
        std::string base {}; // The version that may be used in any case.
        std::map<std::string, unsigned> ready {}; // Endpoints by version.
        std::map<std::string, SteadyTime> seenSince {};
        std::optional<VersionShare> told {};
        RolloutJudge judge {};
    };

    void chooseBase(ServiceState&) const;
    void judge(const std::string& service, ServiceState&);
    void stop(const StoppedVersion&);
    bool isStopped(const std::string& service, const std::string& version) const;
    bool isUnknown(const ServiceState&, const std::string& version, SteadyTime now) const;
    void forgetTrials(const std::string& service);

    VersionGateOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    VersionTrials m_trials {};
    VersionTrials m_othersTrials {};
    std::vector<StoppedVersion> m_stopped {};
    std::vector<StoppedVersion> m_newlyStopped {};
};

} // namespace Onyxnotch
