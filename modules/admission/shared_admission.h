// Decides which requests are admitted while a service is short of capacity, from the demand that all nodes report (AdmissionLoad, summed by
// RelayedSum). More urgent priorities are served first, and teams get weighted max-min fair shares. While a service is not short, every
// request is admitted. Pure state machines with the time passed in; used by the request thread only.
#pragma once

#include "core/clock.h"
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Onyxnotch {

// Priorities are clamped to this range, as in the field that endpoints receive.
constexpr std::uint8_t maximumAdmissionPriority = 9;

// The requests of one team with one priority.
struct AdmissionGroup {
    std::uint32_t team { 0 }; // Hash of the team's name, as in RequestDigest; 0 for requests without a team, and for teams not listed.
    std::uint8_t priority { 0 };

    auto operator<=>(const AdmissionGroup&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(team, priority); }
};

struct AdmissionDemand {
    float requests { 0 }; // Arriving requests a second, including refused ones.
    float work { 0 }; // Engine seconds a second (streams) or slot seconds a second (plain requests) that these requests are expected to take.

    bool operator==(const AdmissionDemand&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(requests, work); }
};

// One service at one node, or summed over nodes. All values are rates per second.
struct ServiceAdmissionLoad {
    std::map<AdmissionGroup, AdmissionDemand> demand {};
    double workInTime { 0 }; // Work of the requests that began (streams) or were answered (plain requests) within their objective.
    double onTime { 0 }; // Requests that began or were answered within their objective.
    double late { 0 }; // Requests that began or were answered later.
    double refused { 0 }; // Refusals by endpoints, and requests that no endpoint could serve in time.
    double drawnWork { 0 }; // Sum of the work of arriving requests, each multiplied by its chance of being admitted.
    double admittedWork { 0 }; // Work of the admitted requests. Lower than `drawnWork` if refused requests are repeated before the next draw.
    double shortNodes { 0 }; // Number of nodes that regard the service as short.

    bool operator==(const ServiceAdmissionLoad&) const = default;
    ServiceAdmissionLoad& operator+=(const ServiceAdmissionLoad&);
    bool isSound() const;
    double demandedWork() const;
    // Puts the teams with the least demand together, under team 0, so that at most `maximumTeams` others are listed.
    void limitTeams(std::size_t maximumTeams);

    template <class Archive>
    void serialize(Archive& archive) { archive(demand, workInTime, onTime, late, refused, drawnWork, admittedWork, shortNodes); }
};

// The report of a node, and the sum of several.
struct AdmissionLoad {
    // A group takes 13 bytes: with up to 3000 in all, a message fits into one datagram.
    static constexpr std::size_t maximumTeams = 64;
    static constexpr std::size_t maximumGroups = 3000;
    static constexpr std::size_t maximumServices = 64;

    std::map<std::string, ServiceAdmissionLoad> services {};

    bool operator==(const AdmissionLoad&) const = default;
    AdmissionLoad& operator+=(const AdmissionLoad&);
    bool isSound() const;
    // Keeps the report within the maximum numbers.
    void limitSize();

    template <class Archive>
    void serialize(Archive& archive) { archive(services); }
};

// Counts a node's requests, for its AdmissionLoad. `work` must be the same at each call for one request.
class AdmissionMeter {
public:
    // `chance`: of being admitted, as SharedAdmission decided.
    void onArrival(const std::string& service, AdmissionGroup, double work, double chance);
    void onAdmitted(const std::string& service, double work) { m_counts[service].admittedWork += work; }
    // The first event of a stream, or the answer to a plain request.
    void onServed(const std::string& service, double work, bool isOnTime);
    // An endpoint refused the request, or none could serve it in time.
    void onRefused(const std::string& service) { m_counts[service].refused += 1; }

    // Updates the averages; call regularly, with the seconds since the last call.
    void tick(double seconds);
    const AdmissionLoad& load() const { return m_load; }

private:
    std::map<std::string, ServiceAdmissionLoad> m_counts {}; // Since the last tick.
    AdmissionLoad m_load {};
};

// What this node's endpoint list shows of a service: endpoints that are listed and usable.
struct AdmissionCapacity {
    double slots { 0 };
    double busySlots { 0 }; // Requests of all nodes in flight at these endpoints.
    double engineSeconds { 0 }; // Engine seconds a second: one for each endpoint with an engine.

    bool operator==(const AdmissionCapacity&) const = default;
};

struct AdmissionView {
    std::map<std::string, AdmissionCapacity> services {};
    std::map<std::uint32_t, double> teamWeights {}; // By hash of the team's name; 1 for teams without a weight.
};

// The least urgent priority of which requests are admitted beyond the floor, and their chance; `chance` 1 if all are admitted.
struct AdmissionLevel {
    int priority { maximumAdmissionPriority };
    double chance { 1 };

    bool operator==(const AdmissionLevel&) const = default;
};

struct AdmissionDecision {
    bool isAdmitted { true };
    double chance { 1 };
    AdmissionLevel level {};
    std::string_view reason {}; // If refused: "level", or "team_share" if the team's demand is over its share.
    Milliseconds retryAfter { 0 }; // If refused: when a repeat is expected to be admitted.
};

// A service became short, its level moved to another priority, or it is not short any more.
struct AdmissionChange {
    std::string service {};
    bool isShort { false };
    bool wasShort { false };
    AdmissionLevel level {};
    double demand { 0 }; // Work a second.
    double capacity { 0 };
};

struct SharedAdmissionOptions {
    double smoothingSeconds { 2 }; // For the work that is served in time, while it falls.
    double risingSmoothingSeconds { 1 }; // The same while it rises, and for the other averages.
    double maximumRisePerSecond { 0.1 }; // Of the capacity estimate: faster rises oscillate, since their effect is reported a second later.
    double floorShare { 0.05 }; // Share of its demand that each priority keeps.
    // Refusals by endpoints and late first events, as a share of all: below this, single slow endpoints are the likely cause.
    double shortageShare { 0.05 };
    double shortagePerSecond { 2 }; // Fewer of them are no evidence, whatever their share.
    double shortageUse { 0.5 }; // Share of the slots or engines that must be in use: otherwise the endpoints fail, and are not short.
    // The estimate exceeds what is served in time by this share, less the share that is late or refused. The estimate grows by it while
    // there is room, and at the limit about half of it is refused by endpoints. A factor of 1 on the bad share keeps the loop stable.
    double headroom { 0.04 };
    double calmHeadroom { 0.06 }; // Headroom if nothing was late or refused for `calmTime`.
    Milliseconds calmTime { 2000 };
    Milliseconds endsAfter { 2000 }; // The demand must be below the capacity for so long until the service is not short any more.
    Milliseconds keepsLevelFor { 5000 }; // For how long a node that is cut off keeps its level.
    Milliseconds fadesFor { 5000 }; // In which time its level then fades to "all admitted".
};

class SharedAdmission {
public:
    explicit SharedAdmission(const SharedAdmissionOptions& options = {});

    // Updates the levels from the sum over `nodes` nodes. Call once per gossip period.
    void update(const AdmissionLoad&, unsigned nodes, const AdmissionView&, SteadyTime now);
    // Decides on a request. `content` is the hash in its digest, and `fleetMilliseconds` the time of day agreed between the nodes: a repeat
    // of the request within a second gets the same random number at every node.
    AdmissionDecision decide(const std::string& service, AdmissionGroup, std::uint64_t content, std::uint64_t fleetMilliseconds, SteadyTime now) const;
    // The chance of the group's requests, 0 to 1.
    double chance(const std::string& service, AdmissionGroup, SteadyTime now) const;

    bool isShort(const std::string& service) const;
    AdmissionLevel level(const std::string& service) const;
    double capacity(const std::string& service) const; // Estimate in work a second; 0 if the service is not short.
    std::vector<std::string> shortServices() const;
    // The changes since the last call.
    std::vector<AdmissionChange> takeChanges();

private:
    struct ServiceState {
        double servedInTime { 0 }; // Smoothed.
        double unserved { 0 }; // Admitted work less work served in time, smoothed.
        double repeatFactor { 1 }; // Admitted work divided by drawn work, smoothed.
        double badShare { 0 }; // Share of requests that were late or refused, of the last sum.
        double capacity { 0 }; // Estimate in work a second; 0 if the service is not short.
        double listedCapacity { 0 }; // Slots of the usable endpoints at the last update.
        bool isShort { false };
        SteadyTime enoughSince {}; // Since when the demand is below the capacity.
        SteadyTime lastBadAt {};
        SteadyTime evidenceSince {}; // SteadyTime {} if there is no evidence of a shortage.
        SteadyTime levelReportedAt {};
        AdmissionLevel level {};
        AdmissionLevel reportedLevel {};
        std::map<int, double> priorityChances {};
        std::map<AdmissionGroup, double> chances {};
    };

    void updateService(const std::string& service, const ServiceAdmissionLoad&, const AdmissionView&, double seconds, unsigned nodes, SteadyTime now);
    void updateAverages(ServiceState&, const ServiceAdmissionLoad&, double seconds, unsigned nodes) const;
    // Whether this sum indicates a shortage: enough requests are late or refused while much of the capacity is in use.
    bool hasEvidence(const ServiceAdmissionLoad&, const AdmissionCapacity&) const;
    void updateCapacity(ServiceState&, const ServiceAdmissionLoad&, const AdmissionCapacity&, double seconds, SteadyTime now) const;
    void updateChances(ServiceState&, const ServiceAdmissionLoad&, const AdmissionView&) const;
    void setShort(const std::string& service, ServiceState&, bool isShort, double demand, SteadyTime now);
    void reportLevel(const std::string& service, ServiceState&, double demand, SteadyTime now);
    // Whether the sum lacks most nodes. If that has lasted until the level has faded, the remaining nodes count as the fleet.
    bool isCutOff(unsigned nodes, double seconds, SteadyTime now);
    double fade(SteadyTime now) const;

    SharedAdmissionOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    std::vector<AdmissionChange> m_changes {};
    double m_expectedNodes { 0 };
    unsigned m_nodes { 0 };
    SteadyTime m_updatedAt {};
    SteadyTime m_completeAt {}; // When the last sum of most nodes was known.
};

// Weighted max-min fair shares: a demand below its fair share is granted in full, and the others share what is left by their weights.
std::vector<double> fairShares(const std::vector<double>& demands, const std::vector<double>& weights, double capacity);

} // namespace Onyxnotch
