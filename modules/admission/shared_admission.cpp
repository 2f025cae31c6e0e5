#include "modules/admission/shared_admission.h"

#include "core/digest.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace Onyxnotch {

namespace {

    constexpr double minimumWork = 1e-6;
    constexpr float negligibleRate = 1e-4F; // Averages below this are left out of reports.
    constexpr double minimumRepeatFactor = 1.0 / 3; // Bounds the correction for repeats, which raises what is admitted.

    double secondsOf(SteadyTime::duration time) { return std::chrono::duration<double>(time).count(); }

    bool isRate(double value)
    {
        constexpr double maximumRate = 1e9; // Far more than any fleet serves.
        return std::isfinite(value) && value >= 0 && value <= maximumRate;
    }

    // Grants each demand the same share (`floorShare`) first, and the remaining capacity in order of urgency. `demands` are ordered from the
    // most urgent. Returns what each demand is granted.
    std::vector<double> urgentFirst(const std::vector<double>& demands, double capacity, double floorShare)
    {
        auto total = std::accumulate(demands.begin(), demands.end(), 0.0);
        std::vector<double> granted;
        auto floor = total > 0 ? std::min(floorShare, capacity / total) : 0;
        auto left = std::max(0.0, capacity - total * floor);
        for (auto it : demands) {
            auto more = std::min(it * (1 - floor), left);
            left -= more;
            granted.push_back(it * floor + more);
        }
        return granted;
    }

    // Demand of one service as a table of teams and priorities.
    struct DemandTable {
        explicit DemandTable(const std::map<AdmissionGroup, AdmissionDemand>& demand)
        {
            std::map<int, double> byPriority;
            std::map<std::uint32_t, std::map<int, double>> byTeam;
            for (const auto& [group, it] : demand) {
                auto work = std::max<double>(it.work, minimumWork);
                byPriority[group.priority] += work;
                requests[group.priority] += it.requests;
                byTeam[group.team][group.priority] += work;
            }
            for (const auto& [priority, work] : byPriority) {
                priorities.push_back(priority);
                priorityWork.push_back(work);
            }
            for (const auto& [team, work] : byTeam) {
                teams.push_back(team);
                std::vector<double> row;
                for (auto priority : priorities) {
                    auto found = work.find(priority);
                    row.push_back(found == work.end() ? 0 : found->second);
                }
                teamWork.push_back(std::accumulate(row.begin(), row.end(), 0.0));
                rows.push_back(std::move(row));
            }
        }

        std::vector<int> priorities {}; // The most urgent first.
        std::vector<double> priorityWork {};
        std::map<int, double> requests {};
        std::vector<std::uint32_t> teams {};
        std::vector<double> teamWork {};
        std::vector<std::vector<double>> rows {}; // Work by team and priority.
    };

    std::vector<double> weightsOf(const DemandTable& table, const AdmissionView& view)
    {
        double unlisted = 0;
        for (const auto& [team, weight] : view.teamWeights)
            unlisted += std::find(table.teams.begin(), table.teams.end(), team) == table.teams.end() ? weight : 0;
        std::vector<double> weights;
        for (auto team : table.teams) {
            auto found = view.teamWeights.find(team);
            auto weight = found == view.teamWeights.end() ? 1 : found->second;
            weights.push_back(team == 0 ? std::max(1.0, unlisted) : weight);
        }
        return weights;
    }

    // Weight (0 to 1) of the chances by priority alone, against those by team, with which no priority has a smaller share of its requests
    // admitted than a less urgent one. 0 if the chances by team meet that already.
    double priorityMix(const std::vector<double>& sharesByTeams, const std::vector<double>& sharesByPriority)
    {
        // Smaller differences are noise of the averages. If both priorities are admitted almost in full, they would result in a large weight.
        constexpr double tolerance = 0.01;
        double mix = 0;
        for (std::size_t n = 1; n < sharesByTeams.size(); ++n) {
            auto excess = sharesByTeams[n] - sharesByTeams[n - 1] - tolerance;
            auto reserve = sharesByPriority[n - 1] - sharesByPriority[n];
            if (excess > 0)
                mix = std::max(mix, excess / (excess + std::max(0.0, reserve)));
        }
        return mix;
    }

    // A request's random number, 0 to 1, for the current second. Seconds begin at different times for different requests, so that not all
    // refused requests are drawn again at the same moment.
    struct Draw {
        double value { 0 };
        Milliseconds untilNext { 0 };
    };

    std::uint64_t hashOf(std::uint64_t content, std::uint64_t number)
    {
        std::array<std::uint64_t, 2> values { content, number };
        return fastHash({ reinterpret_cast<const char*>(values.data()), sizeof(values) });
    }

    Draw drawFor(std::uint64_t content, std::uint64_t fleetMilliseconds)
    {
        constexpr std::uint64_t period = 1000;
        auto shifted = fleetMilliseconds + hashOf(content, 0) % period;
        constexpr double range = 9007199254740992.0; // 2 to the power of 53, the precision of a double.
        return { .value = static_cast<double>(hashOf(content, 1 + shifted / period) >> 11U) / range, .untilNext = Milliseconds(static_cast<std::int64_t>(period - shifted % period)) };
    }

} // namespace

std::vector<double> fairShares(const std::vector<double>& demands, const std::vector<double>& weights, double capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(), [&](auto left, auto right) { return demands[left] * weights[right] < demands[right] * weights[left]; });
    auto weightLeft = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<double> shares(demands.size(), 0);
    for (auto it : order) {
        shares[it] = std::min(demands[it], std::max(0.0, capacity) * weights[it] / weightLeft);
        capacity -= shares[it];
        weightLeft = std::max(weightLeft - weights[it], minimumWork);
    }
    return shares;
}

double ServiceAdmissionLoad::demandedWork() const
{
    return std::accumulate(demand.begin(), demand.end(), 0.0, [](double sum, const auto& it) { return sum + it.second.work; });
}

ServiceAdmissionLoad& ServiceAdmissionLoad::operator+=(const ServiceAdmissionLoad& other)
{
    for (const auto& [group, it] : other.demand) {
        auto& sum = demand[group];
        sum.requests += it.requests;
        sum.work += it.work;
    }
    workInTime += other.workInTime;
    onTime += other.onTime;
    late += other.late;
    refused += other.refused;
    drawnWork += other.drawnWork;
    admittedWork += other.admittedWork;
    shortNodes += other.shortNodes;
    limitTeams(AdmissionLoad::maximumTeams);
    return *this;
}

bool ServiceAdmissionLoad::isSound() const
{
    for (auto it : { workInTime, onTime, late, refused, drawnWork, admittedWork, shortNodes }) {
        if (!isRate(it))
            return false;
    }
    return std::all_of(demand.begin(), demand.end(), [](const auto& it) { return it.first.priority <= maximumAdmissionPriority && isRate(it.second.requests) && isRate(it.second.work); });
}

void ServiceAdmissionLoad::limitTeams(std::size_t maximumTeams)
{
    std::map<std::uint32_t, double> workByTeam;
    for (const auto& [group, it] : demand) {
        if (group.team != 0)
            workByTeam[group.team] += it.work;
    }
    if (workByTeam.size() <= maximumTeams)
        return;
    std::vector<std::pair<double, std::uint32_t>> teams;
    teams.reserve(workByTeam.size());
    for (const auto& [team, work] : workByTeam)
        teams.emplace_back(work, team);
    std::sort(teams.rbegin(), teams.rend());
    for (std::size_t n = maximumTeams; n < teams.size(); ++n)
        workByTeam.erase(teams[n].second);
    std::map<AdmissionGroup, AdmissionDemand> kept;
    for (const auto& [group, it] : demand) {
        auto& sum = kept[{ .team = workByTeam.contains(group.team) ? group.team : 0, .priority = group.priority }];
        sum.requests += it.requests;
        sum.work += it.work;
    }
    demand = std::move(kept);
}

AdmissionLoad& AdmissionLoad::operator+=(const AdmissionLoad& other)
{
    for (const auto& [service, it] : other.services)
        services[service] += it;
    limitSize();
    return *this;
}

bool AdmissionLoad::isSound() const
{
    std::size_t groups = 0;
    for (const auto& [service, it] : services) {
        groups += it.demand.size();
        if (!it.isSound())
            return false;
    }
    return services.size() <= maximumServices && groups <= maximumGroups;
}

void AdmissionLoad::limitSize()
{
    while (services.size() > maximumServices)
        services.erase(std::min_element(services.begin(), services.end(), [](const auto& left, const auto& right) { return left.second.demandedWork() < right.second.demandedWork(); }));
    for (auto teams = maximumTeams; teams > 0; teams /= 2) {
        std::size_t groups = 0;
        for (auto& [service, it] : services) {
            it.limitTeams(teams);
            groups += it.demand.size();
        }
        if (groups <= maximumGroups)
            return;
    }
}

void AdmissionMeter::onArrival(const std::string& service, AdmissionGroup group, double work, double chance)
{
    auto& counts = m_counts[service];
    auto& demand = counts.demand[group];
    demand.requests += 1;
    demand.work += static_cast<float>(work);
    counts.drawnWork += work * chance;
}

void AdmissionMeter::onServed(const std::string& service, double work, bool isOnTime)
{
    auto& counts = m_counts[service];
    (isOnTime ? counts.onTime : counts.late) += 1;
    counts.workInTime += isOnTime ? work : 0;
}

void AdmissionMeter::tick(double seconds)
{
    // Long enough for a fleet's sum to be steady at a few hundred requests a second, short enough that a team's unused share is available
    // to others within a second.
    constexpr double averagingSeconds = 0.5;
    auto weight = std::min(1.0, seconds / averagingSeconds);
    auto average = [&](auto& value, double count) { value += static_cast<std::remove_reference_t<decltype(value)>>(weight * (count / seconds - value)); };
    for (const auto& [service, counts] : m_counts) {
        auto& load = m_load.services[service];
        for (const auto& [group, it] : counts.demand)
            load.demand.try_emplace(group);
    }
    for (auto& [service, load] : m_load.services) {
        const auto& counts = m_counts[service];
        for (auto& [group, it] : load.demand) {
            auto found = counts.demand.find(group);
            auto count = found == counts.demand.end() ? AdmissionDemand {} : found->second;
            average(it.requests, count.requests);
            average(it.work, count.work);
        }
        std::erase_if(load.demand, [](const auto& it) { return it.second.requests < negligibleRate; });
        average(load.workInTime, counts.workInTime);
        average(load.onTime, counts.onTime);
        average(load.late, counts.late);
        average(load.refused, counts.refused);
        average(load.drawnWork, counts.drawnWork);
        average(load.admittedWork, counts.admittedWork);
    }
    m_counts.clear();
    std::erase_if(m_load.services, [](const auto& it) { return it.second.demand.empty() && it.second.onTime + it.second.late + it.second.refused < negligibleRate; });
}

SharedAdmission::SharedAdmission(const SharedAdmissionOptions& options)
    : m_options(options)
{
}

bool SharedAdmission::isCutOff(unsigned nodes, double seconds, SteadyTime now)
{
    // Reports of lost nodes expire one after the other: the expected number follows slowly, so that the loss is seen as one.
    constexpr double forgettingSeconds = 20;
    m_expectedNodes = std::max<double>(nodes, m_expectedNodes * (1 - std::min(1.0, seconds / forgettingSeconds)));
    bool isComplete = 2 * nodes >= m_expectedNodes;
    if (isComplete || m_completeAt == SteadyTime {}) {
        m_completeAt = now;
        return false;
    }
    if (fade(now) < 1)
        return true;
    m_services.clear();
    m_expectedNodes = nodes;
    m_completeAt = now;
    return false;
}

double SharedAdmission::fade(SteadyTime now) const
{
    return std::clamp(secondsOf(now - m_completeAt - m_options.keepsLevelFor) / secondsOf(m_options.fadesFor), 0.0, 1.0);
}

void SharedAdmission::update(const AdmissionLoad& load, unsigned nodes, const AdmissionView& view, SteadyTime now)
{
    auto seconds = m_updatedAt == SteadyTime {} ? 0 : secondsOf(now - m_updatedAt);
    m_updatedAt = now;
    if (isCutOff(nodes, seconds, now))
        return;
    for (const auto& [service, it] : load.services)
        updateService(service, it, view, seconds, nodes, now);
    m_nodes = nodes;
    for (auto& [service, state] : m_services) {
        if (!load.services.contains(service))
            setShort(service, state, false, 0, now);
    }
    std::erase_if(m_services, [&](const auto& it) { return !load.services.contains(it.first); });
}

bool SharedAdmission::hasEvidence(const ServiceAdmissionLoad& load, const AdmissionCapacity& listed) const
{
    auto bad = load.late + load.refused;
    bool isBad = bad >= m_options.shortagePerSecond && bad > m_options.shortageShare * (bad + load.onTime);
    auto demand = load.demandedWork();
    bool isInUse = listed.busySlots >= m_options.shortageUse * listed.slots || (listed.engineSeconds > 0 && demand >= m_options.shortageUse * listed.engineSeconds);
    return isBad && isInUse && listed.slots > 0 && demand >= load.workInTime;
}

void SharedAdmission::updateAverages(ServiceState& state, const ServiceAdmissionLoad& load, double seconds, unsigned nodes) const
{
    // Reports of more or fewer nodes are a change of the sum, not of what is served.
    if (m_nodes > 0) {
        state.servedInTime *= static_cast<double>(nodes) / m_nodes;
        state.capacity *= static_cast<double>(nodes) / m_nodes;
    }
    auto weight = std::min(1.0, seconds / m_options.smoothingSeconds);
    auto risingWeight = std::min(1.0, seconds / m_options.risingSmoothingSeconds);
    // Follows a rise faster than a fall: otherwise an estimate that was too low at first would be corrected only after many seconds.
    state.servedInTime += (load.workInTime > state.servedInTime ? risingWeight : weight) * (load.workInTime - state.servedInTime);
    auto all = load.late + load.refused + load.onTime;
    state.badShare = all > 0 ? (load.late + load.refused) / all : 0;
    auto repeatFactor = load.drawnWork > minimumWork ? std::clamp(load.admittedWork / load.drawnWork, minimumRepeatFactor, 1.0) : 1;
    // As fast as the reports: a late correction would admit too much or too little after each change of the level.
    state.repeatFactor += risingWeight * (repeatFactor - state.repeatFactor);
    state.unserved += risingWeight * (load.admittedWork - load.workInTime - state.unserved);
}

void SharedAdmission::updateService(const std::string& service, const ServiceAdmissionLoad& load, const AdmissionView& view, double seconds, unsigned nodes, SteadyTime now)
{
    constexpr Milliseconds evidenceTime { 250 }; // A gossip period, so that two sums in a row show a shortage: one may be a coincidence.
    auto [found, isNew] = m_services.try_emplace(service);
    auto& state = found->second;
    auto capacity = view.services.find(service);
    auto listed = capacity == view.services.end() ? AdmissionCapacity {} : capacity->second;
    if (isNew)
        state = { .servedInTime = load.workInTime, .listedCapacity = listed.slots, .lastBadAt = now };
    updateAverages(state, load, seconds, nodes);
    auto demand = load.demandedWork();
    bool evidence = hasEvidence(load, listed);
    if (!evidence)
        state.evidenceSince = {};
    else if (state.evidenceSince == SteadyTime {})
        state.evidenceSince = now;
    // Once most nodes apply a level, little is late or refused, so a node that started later would not find enough evidence itself.
    bool othersAreShort = 2 * load.shortNodes > nodes && demand > state.servedInTime * (1 + m_options.headroom);
    bool begins = (evidence && now - state.evidenceSince >= evidenceTime) || othersAreShort;
    begins = begins && !state.isShort;
    if (begins) {
        state.capacity = std::max(state.servedInTime, load.workInTime) * (1 + m_options.headroom);
        state.enoughSince = now;
        state.lastBadAt = now;
    }
    if (state.isShort || begins) {
        updateCapacity(state, load, listed, seconds, now);
        updateChances(state, load, view);
        setShort(service, state, true, demand, now);
        if (demand * state.repeatFactor > state.capacity || evidence)
            state.enoughSince = now;
        if (now - state.enoughSince >= m_options.endsAfter)
            setShort(service, state, false, demand, now);
        else
            reportLevel(service, state, demand, now);
    }
    // While no endpoint is listed, the estimate stays: it holds again when they are back.
    if (listed.slots > 0)
        state.listedCapacity = listed.slots;
}

void SharedAdmission::updateCapacity(ServiceState& state, const ServiceAdmissionLoad& load, const AdmissionCapacity& listed, double seconds, SteadyTime now) const
{
    constexpr double calmShare = 0.01; // A smaller share of late or refused requests counts as none.
    constexpr double minimumHeadroom = -0.03; // Bounds how fast the estimate falls while much is late or refused.
    constexpr double sameShare = 0.02; // A smaller part of the admitted work that is not served in time counts as none.
    // The smoothed value still includes endpoints that have just left the list, and none that have just been added.
    if (state.listedCapacity > 0 && listed.slots > 0) {
        state.capacity *= listed.slots / state.listedCapacity;
        state.servedInTime *= listed.slots / state.listedCapacity;
    }
    if (state.badShare > calmShare)
        state.lastBadAt = now;
    bool isCalm = now - state.lastBadAt >= m_options.calmTime;
    auto headroom = isCalm ? m_options.calmHeadroom : std::max(minimumHeadroom, m_options.headroom - state.badShare);
    auto target = state.servedInTime * (1 + headroom);
    // Less served than the level allows is no sign of less capacity if nothing was late or refused, or if all that was admitted is served.
    bool isSaturated = state.badShare > calmShare && state.unserved > sameShare * state.servedInTime;
    if (target < state.capacity && !isSaturated)
        return;
    state.capacity = std::min(target, state.capacity * (1 + m_options.maximumRisePerSecond * seconds));
    // Keeps enough admitted to measure the capacity if everything is late for a while.
    state.capacity = std::max(state.capacity, load.demandedWork() * m_options.floorShare);
}

void SharedAdmission::updateChances(ServiceState& state, const ServiceAdmissionLoad& load, const AdmissionView& view) const
{
    state.priorityChances.clear();
    state.chances.clear();
    state.level = {};
    DemandTable table(load.demand);
    // Repeats of refused requests are part of the demand, but are not admitted before they are drawn again: without the correction, less
    // than the capacity would be admitted.
    auto capacity = state.capacity / std::max(state.repeatFactor, minimumRepeatFactor);
    auto total = std::accumulate(table.priorityWork.begin(), table.priorityWork.end(), 0.0);
    if (total <= capacity)
        return;
    auto byPriority = urgentFirst(table.priorityWork, capacity, m_options.floorShare);
    for (std::size_t n = 0; n < byPriority.size(); ++n) {
        byPriority[n] /= table.priorityWork[n];
        state.priorityChances[table.priorities[n]] = byPriority[n];
        if (byPriority[n] > m_options.floorShare || n == 0)
            state.level = { .priority = table.priorities[n], .chance = byPriority[n] };
    }
    auto shares = fairShares(table.teamWork, weightsOf(table, view), capacity);
    std::vector<double> sharesByTeams(table.priorities.size(), 0);
    for (std::size_t team = 0; team < table.teams.size(); ++team) {
        auto granted = urgentFirst(table.rows[team], shares[team], m_options.floorShare);
        for (std::size_t n = 0; n < granted.size(); ++n) {
            if (table.rows[team][n] <= 0)
                continue;
            AdmissionGroup group { .team = table.teams[team], .priority = static_cast<std::uint8_t>(table.priorities[n]) };
            auto chance = granted[n] / table.rows[team][n];
            state.chances[group] = chance;
            auto demand = load.demand.find(group);
            sharesByTeams[n] += chance * demand->second.requests / std::max(table.requests[table.priorities[n]], minimumWork);
        }
    }
    auto mix = priorityMix(sharesByTeams, byPriority);
    for (auto& [group, chance] : state.chances)
        chance = (1 - mix) * chance + mix * state.priorityChances[group.priority];
}

void SharedAdmission::setShort(const std::string& service, ServiceState& state, bool isShort, double demand, SteadyTime now)
{
    if (state.isShort == isShort)
        return;
    state.isShort = isShort;
    if (!isShort) {
        state.capacity = 0;
        state.level = {};
        state.chances.clear();
        state.priorityChances.clear();
    }
    state.reportedLevel = state.level;
    state.levelReportedAt = now;
    m_changes.push_back({ .service = service, .isShort = isShort, .wasShort = !isShort, .level = state.level, .demand = demand, .capacity = state.capacity });
}

void SharedAdmission::reportLevel(const std::string& service, ServiceState& state, double demand, SteadyTime now)
{
    constexpr Milliseconds reportInterval { 1000 }; // A level between two priorities would be reported each period otherwise.
    if (state.level.priority == state.reportedLevel.priority || now - state.levelReportedAt < reportInterval)
        return;
    state.reportedLevel = state.level;
    state.levelReportedAt = now;
    m_changes.push_back({ .service = service, .isShort = true, .wasShort = true, .level = state.level, .demand = demand, .capacity = state.capacity });
}

double SharedAdmission::chance(const std::string& service, AdmissionGroup group, SteadyTime now) const
{
    auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.isShort || found->second.chances.empty())
        return 1;
    const auto& state = found->second;
    auto own = state.chances.find(group);
    if (own == state.chances.end())
        own = state.chances.find({ .team = 0, .priority = group.priority });
    auto byPriority = state.priorityChances.find(group.priority);
    // A priority or team that no node has reported yet is too small to matter.
    double value = 1;
    if (own != state.chances.end())
        value = own->second;
    else if (byPriority != state.priorityChances.end())
        value = byPriority->second;
    return value + (1 - value) * fade(now);
}

AdmissionDecision SharedAdmission::decide(const std::string& service, AdmissionGroup group, std::uint64_t content, std::uint64_t fleetMilliseconds, SteadyTime now) const
{
    constexpr double minimumChance = 0.1; // Limits Retry-After to some ten seconds.
    constexpr double sameChance = 0.02; // Smaller differences between the chances of team and priority have no meaning.
    AdmissionDecision decision { .chance = chance(service, group, now) };
    if (decision.chance >= 1)
        return decision;
    decision.level = level(service);
    auto draw = drawFor(content, fleetMilliseconds);
    decision.isAdmitted = draw.value < decision.chance;
    if (decision.isAdmitted)
        return decision;
    const auto& priorityChances = m_services.at(service).priorityChances;
    auto byPriority = priorityChances.find(group.priority);
    bool isOverShare = byPriority != priorityChances.end() && decision.chance < byPriority->second - sameChance;
    decision.reason = isOverShare ? "team_share" : "level";
    // Each second there is a new draw, and one in (1 / chance) draws is successful.
    auto furtherSeconds = 1 / std::max(decision.chance, minimumChance) - 1;
    decision.retryAfter = draw.untilNext + Milliseconds(static_cast<std::int64_t>(furtherSeconds * 1000));
    return decision;
}

bool SharedAdmission::isShort(const std::string& service) const
{
    auto found = m_services.find(service);
    return found != m_services.end() && found->second.isShort;
}

AdmissionLevel SharedAdmission::level(const std::string& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? AdmissionLevel {} : found->second.level;
}

double SharedAdmission::capacity(const std::string& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() ? 0 : found->second.capacity;
}

std::vector<std::string> SharedAdmission::shortServices() const
{
    std::vector<std::string> names;
    for (const auto& [service, state] : m_services) {
        if (state.isShort)
            names.push_back(service);
    }
    return names;
}

std::vector<AdmissionChange> SharedAdmission::takeChanges() { return std::exchange(m_changes, {}); }

} // namespace Onyxnotch
