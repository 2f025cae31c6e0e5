#include "modules/balance/endpoint_speeds.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds bucketLength { 500 }; // Four buckets cover the 2 s in which failures count.
    constexpr double maximumLog = 2; // Bound of a received mean logarithm; above the logarithm of EndpointSpeedOptions::largestRatio.

    double secondsOf(SteadyTime::duration time) { return std::chrono::duration<double>(time).count(); }

    std::int64_t bucketNumber(SteadyTime now) { return now.time_since_epoch() / bucketLength; }

    std::uint16_t clampedCount(double value)
    {
        return static_cast<std::uint16_t>(std::clamp(std::round(value), 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max())));
    }

    std::uint16_t sumOf(std::uint16_t left, std::uint16_t right) { return clampedCount(static_cast<double>(left) + right); }

    // Adds a mean with its weight to another one.
    void addMean(std::uint16_t& weight, std::int16_t& mean, std::uint16_t otherWeight, std::int16_t otherMean)
    {
        auto sum = static_cast<double>(weight) + otherWeight;
        if (sum > 0)
            mean = static_cast<std::int16_t>(std::round((static_cast<double>(weight) * mean + static_cast<double>(otherWeight) * otherMean) / sum));
        weight = clampedCount(sum);
    }

} // namespace

EndpointSpeedSums& EndpointSpeedSums::operator+=(const EndpointSpeedSums& other)
{
    addMean(firstEventWeight, firstEventLog, other.firstEventWeight, other.firstEventLog);
    addMean(pauseWeight, pauseLog, other.pauseWeight, other.pauseLog);
    requests = sumOf(requests, other.requests);
    failures = sumOf(failures, other.failures);
    failingNodes = sumOf(failingNodes, other.failingNodes);
    return *this;
}

bool EndpointSpeedSums::isSound() const
{
    auto isLogSound = [](std::int16_t value) { return std::abs(value) <= maximumLog * unitsPerLog; };
    return isLogSound(firstEventLog) && isLogSound(pauseLog) && failures <= requests && failingNodes <= failures;
}

EndpointSpeedReport& EndpointSpeedReport::operator+=(const EndpointSpeedReport& other)
{
    for (const auto& [name, sums] : other.endpoints)
        endpoints[name] += sums;
    limitSize();
    return *this;
}

bool EndpointSpeedReport::isSound() const
{
    return endpoints.size() <= maximumEndpoints && std::all_of(endpoints.begin(), endpoints.end(), [](const auto& it) { return it.second.isSound(); });
}

void EndpointSpeedReport::limitSize()
{
    if (endpoints.size() <= maximumEndpoints)
        return;
    std::vector<std::pair<ShortName, EndpointSpeedSums>> sorted(endpoints.begin(), endpoints.end());
    auto weightOf = [](const EndpointSpeedSums& it) { return std::pair(it.failures, it.firstEventWeight + it.pauseWeight); };
    std::sort(sorted.begin(), sorted.end(), [&](const auto& left, const auto& right) { return weightOf(left.second) > weightOf(right.second); });
    sorted.resize(maximumEndpoints);
    endpoints = { sorted.begin(), sorted.end() };
}

std::string_view nameOf(EndpointSpeedChange::Kind kind)
{
    switch (kind) {
    case EndpointSpeedChange::Kind::Ejected:
        return "ejected";
    case EndpointSpeedChange::Kind::TakenBack:
        return "taken_back";
    case EndpointSpeedChange::Kind::RatioChanged:
        break;
    }
    return "ratio";
}

EndpointSpeeds::EndpointSpeeds(const EndpointSpeedOptions& options)
    : m_options(options)
{
}

double EndpointSpeeds::weightAt(const WeightedLog& log, SteadyTime now) const { return log.weight * std::exp(-secondsOf(now - log.at) / m_options.decaySeconds); }

void EndpointSpeeds::observe(State& state, WeightedLog& log, double ratioLog, double weight, SteadyTime now) const
{
    auto decay = std::exp(-secondsOf(now - log.at) / m_options.decaySeconds);
    log = { .weight = log.weight * decay + weight, .sum = log.sum * decay + weight * ratioLog, .at = now };
    if (now - state.fastAt > m_options.fastExpiry)
        state.fastObservations = 0;
    auto share = state.fastObservations == 0 ? 1 : m_options.fastShare;
    state.fastLog += share * (ratioLog - state.fastLog);
    state.fastAt = now;
    ++state.fastObservations;
}

void EndpointSpeeds::observeFirstEvent(ShortName endpoint, double seconds, double expectedSeconds, SteadyTime now)
{
    if (!m_options.enabled || seconds <= 0 || expectedSeconds <= 0)
        return;
    auto& state = m_states[endpoint];
    observe(state, state.firstEvents, std::log(std::clamp(seconds / expectedSeconds, m_options.smallestRatio, m_options.largestRatio)), 1, now);
}

void EndpointSpeeds::observePause(ShortName endpoint, double seconds, double expectedSeconds, SteadyTime now)
{
    if (!m_options.enabled || seconds <= 0 || expectedSeconds <= 0)
        return;
    auto& state = m_states[endpoint];
    observe(state, state.pauses, std::log(std::clamp(seconds / expectedSeconds, m_options.smallestRatio, m_options.largestRatio)), m_options.pauseWeight, now);
}

void EndpointSpeeds::onSent(ShortName endpoint, SteadyTime now)
{
    auto it = m_states.find(endpoint);
    if (it != m_states.end() && it->second.isEjected && now >= it->second.ejectedUntil)
        it->second.isTrying = true;
}

void EndpointSpeeds::onEnd(ShortName endpoint, bool isFailure, SteadyTime now)
{
    if (!m_options.enabled)
        return;
    auto& state = m_states[endpoint];
    auto number = bucketNumber(now);
    auto& bucket = state.buckets[static_cast<std::size_t>(number) % state.buckets.size()];
    if (bucket.number != number)
        bucket = { .number = number };
    bucket.requests = sumOf(bucket.requests, 1);
    if (isFailure)
        bucket.failures = sumOf(bucket.failures, 1);
    if (!state.isEjected || !state.isTrying)
        return;
    state.isTrying = false;
    if (isFailure) {
        eject(endpoint, state, { .requests = 1, .failures = 1 }, now);
        return;
    }
    state.isEjected = false;
    state.takenBackAt = now;
    state.buckets = {};
    m_changes.push_back({ .endpoint = endpoint, .kind = EndpointSpeedChange::Kind::TakenBack, .firstEventRatio = state.firstEventRatio, .pauseRatio = state.pauseRatio });
}

void EndpointSpeeds::onEndWithoutEvidence(ShortName endpoint)
{
    auto it = m_states.find(endpoint);
    if (it != m_states.end())
        it->second.isTrying = false;
}

EndpointSpeeds::Counts EndpointSpeeds::recentCounts(const State& state, SteadyTime now)
{
    Counts counts;
    auto number = bucketNumber(now);
    for (const auto& it : state.buckets) {
        if (number - it.number >= static_cast<std::int64_t>(state.buckets.size()))
            continue;
        counts.requests += it.requests;
        counts.failures += it.failures;
    }
    return counts;
}

EndpointSpeedReport EndpointSpeeds::ownReport(SteadyTime now) const
{
    EndpointSpeedReport report;
    if (!m_options.enabled)
        return report;
    auto meanLog = [](const WeightedLog& it) { return static_cast<std::int16_t>(it.weight > 0 ? std::round(it.sum / it.weight * EndpointSpeedSums::unitsPerLog) : 0); };
    auto units = [&](const WeightedLog& it) { return clampedCount(weightAt(it, now) * EndpointSpeedSums::unitsPerObservation); };
    for (const auto& [name, state] : m_states) {
        auto counts = recentCounts(state, now);
        EndpointSpeedSums sums { .firstEventWeight = units(state.firstEvents),
            .firstEventLog = meanLog(state.firstEvents),
            .pauseWeight = units(state.pauses),
            .pauseLog = meanLog(state.pauses),
            .requests = clampedCount(counts.requests),
            .failures = clampedCount(counts.failures),
            .failingNodes = static_cast<std::uint16_t>(counts.failures > 0 ? 1 : 0) };
        if (sums.firstEventWeight > 0 || sums.pauseWeight > 0 || sums.requests > 0)
            report.endpoints[name] = sums;
    }
    report.limitSize();
    return report;
}

void EndpointSpeeds::keepLastTotal(const EndpointSpeedReport& total, unsigned nodes, SteadyTime now)
{
    // If the sums come from fewer than half as many nodes as the last full ones, this node or its zone is probably cut off.
    auto decay = std::exp(-secondsOf(now - m_fullTotalAt) / m_options.decaySeconds);
    constexpr double lowestWeight = 0.05;
    m_total = total;
    if (2 * nodes >= m_fullTotalNodes || decay < lowestWeight) {
        m_fullTotal = total;
        m_fullTotalNodes = nodes;
        m_fullTotalAt = now;
        return;
    }
    auto decayed = [&](std::uint16_t weight) { return clampedCount(weight * decay); };
    for (auto sums : m_fullTotal.endpoints) {
        sums.second.firstEventWeight = decayed(sums.second.firstEventWeight);
        sums.second.pauseWeight = decayed(sums.second.pauseWeight);
        auto& it = m_total.endpoints[sums.first];
        if (sums.second.firstEventWeight + sums.second.pauseWeight > it.firstEventWeight + it.pauseWeight)
            it = sums.second;
    }
}

double EndpointSpeeds::ratioOf(double unitsWeight, double meanLog, double priorRatio) const
{
    auto weight = unitsWeight / EndpointSpeedSums::unitsPerObservation;
    auto sum = meanLog / EndpointSpeedSums::unitsPerLog * weight + std::log(priorRatio) * m_options.priorWeight;
    return std::exp(sum / (weight + m_options.priorWeight));
}

void EndpointSpeeds::setTotal(const EndpointSpeedReport& total, unsigned nodes, const ServiceMembers& services, SteadyTime now)
{
    if (!m_options.enabled)
        return;
    keepLastTotal(total, nodes, now);
    std::unordered_map<ShortName, State> listed;
    for (const auto& [service, members] : services) {
        for (auto name : members) {
            if (auto known = m_states.find(name); known != m_states.end())
                listed.insert(m_states.extract(known));
            else if (m_total.endpoints.contains(name))
                listed.try_emplace(name);
        }
    }
    m_states = std::move(listed);
    for (const auto& [service, members] : services) {
        updateRatios(members);
        updateEjections(members, total, now);
    }
}

void EndpointSpeeds::updateRatios(const std::vector<ShortName>& members)
{
    // Ratios are relative to the mean of the service: a change of the whole service is learned by the models of expected times.
    double firstEventLogs = 0;
    double pauseLogs = 0;
    double measured = 0;
    std::vector<std::pair<ShortName, State*>> states;
    for (auto name : members) {
        auto state = m_states.find(name);
        if (state == m_states.end())
            continue;
        states.emplace_back(name, &state->second);
        auto sums = m_total.endpoints.contains(name) ? m_total.endpoints.at(name) : EndpointSpeedSums {};
        // The prior of the first-event ratio is the pause ratio: pauses are measured far more often, and both ratios usually agree.
        state->second.pauseRatio = ratioOf(sums.pauseWeight, sums.pauseLog, 1);
        state->second.firstEventRatio = ratioOf(sums.firstEventWeight, sums.firstEventLog, state->second.pauseRatio);
        firstEventLogs += std::log(state->second.firstEventRatio);
        pauseLogs += std::log(state->second.pauseRatio);
        ++measured;
    }
    if (measured == 0)
        return;
    auto firstEventMean = std::exp(firstEventLogs / measured);
    auto pauseMean = std::exp(pauseLogs / measured);
    auto relative = [&](double ratio, double mean, bool hasData) {
        auto value = hasData ? ratio / mean : 1;
        return std::clamp(std::pow(m_options.ratioStep, std::round(std::log(value) / std::log(m_options.ratioStep))), m_options.smallestRatio, m_options.largestRatio);
    };
    for (auto& [name, state] : states) {
        auto sums = m_total.endpoints.contains(name) ? m_total.endpoints.at(name) : EndpointSpeedSums {};
        state->firstEventRatio = relative(state->firstEventRatio, firstEventMean, sums.firstEventWeight + sums.pauseWeight > 0);
        state->pauseRatio = relative(state->pauseRatio, pauseMean, sums.pauseWeight > 0);
        state->serviceMeanRatio = firstEventMean;
        noticeRatio(name, *state);
    }
}

void EndpointSpeeds::noticeRatio(ShortName name, State& state)
{
    constexpr double margin = 0.05; // Hysteresis, so that a ratio at the edge of the range is not reported repeatedly.
    auto isWithin = [&](double distance) {
        auto isRatioWithin = [&](double ratio) { return ratio >= m_options.noticedBelow + distance && ratio <= m_options.noticedAbove - distance; };
        return isRatioWithin(state.firstEventRatio) && isRatioWithin(state.pauseRatio);
    };
    if (state.isRatioNoticed) {
        state.isRatioNoticed = !isWithin(margin);
    } else if (!isWithin(0)) {
        state.isRatioNoticed = true;
        m_changes.push_back({ .endpoint = name, .kind = EndpointSpeedChange::Kind::RatioChanged, .firstEventRatio = state.firstEventRatio, .pauseRatio = state.pauseRatio });
    }
}

bool EndpointSpeeds::isSettling(const State& state, SteadyTime now) const { return state.takenBackAt != SteadyTime {} && now - state.takenBackAt < m_options.settleTime; }

bool EndpointSpeeds::isOutlier(const EndpointSpeedSums& sums, const Counts& service) const
{
    if (sums.requests < m_options.minimumRequests || sums.failingNodes < m_options.minimumFailingNodes)
        return false;
    auto fraction = static_cast<double>(sums.failures) / sums.requests;
    auto otherRequests = service.requests - sums.requests;
    auto othersFraction = otherRequests > 0 ? static_cast<double>(service.failures - sums.failures) / otherRequests : 0;
    return fraction > m_options.maximumFailureFraction && fraction > m_options.outlierFactor * othersFraction;
}

void EndpointSpeeds::updateEjections(const std::vector<ShortName>& members, const EndpointSpeedReport& total, SteadyTime now)
{
    Counts service;
    std::size_t ejectedCount = 0;
    std::vector<std::pair<double, ShortName>> outliers;
    for (auto name : members) {
        auto state = m_states.find(name);
        ejectedCount += state != m_states.end() && state->second.isEjected ? 1 : 0;
        if (auto sums = total.endpoints.find(name); sums != total.endpoints.end()) {
            service.requests += sums->second.requests;
            service.failures += sums->second.failures;
        }
    }
    for (auto name : members) {
        auto state = m_states.find(name);
        auto sums = total.endpoints.find(name);
        if (sums != total.endpoints.end() && state != m_states.end() && !state->second.isEjected && !isSettling(state->second, now) && isOutlier(sums->second, service))
            outliers.emplace_back(static_cast<double>(sums->second.failures) / sums->second.requests, name);
    }
    // Sorted, so that all nodes eject the same endpoints if there are more outliers than may be ejected.
    std::sort(outliers.rbegin(), outliers.rend());
    for (const auto& [fraction, name] : outliers) {
        if ((ejectedCount + 1) * m_options.ejectableDivisor > members.size())
            return;
        ++ejectedCount;
        const auto& sums = total.endpoints.at(name);
        eject(name, m_states.at(name), { .requests = sums.requests, .failures = sums.failures }, now);
    }
}

void EndpointSpeeds::eject(ShortName name, State& state, const Counts& counts, SteadyTime now)
{
    bool isRecent = state.isEjected || (state.takenBackAt != SteadyTime {} && now - state.takenBackAt < m_options.forgetEjectionsAfter);
    auto duration = isRecent && state.nextEjection.count() > 0 ? state.nextEjection : m_options.firstEjection;
    state.nextEjection = std::min(duration * 2, m_options.longestEjection);
    state.ejectedUntil = now + duration;
    if (!state.isEjected)
        m_changes.push_back({ .endpoint = name, .kind = EndpointSpeedChange::Kind::Ejected, .firstEventRatio = state.firstEventRatio, .pauseRatio = state.pauseRatio, .requests = counts.requests, .failures = counts.failures, .duration = duration });
    state.isEjected = true;
    state.isTrying = false;
    state.buckets = {};
}

double EndpointSpeeds::withFast(const State& state, double lasting, SteadyTime now) const
{
    if (state.fastObservations < m_options.fastObservations || now - state.fastAt > m_options.fastExpiry)
        return lasting;
    auto fast = std::exp(state.fastLog) / state.serviceMeanRatio;
    return fast < m_options.fastThreshold ? lasting : std::max(lasting, std::min(fast, m_options.largestRatio));
}

double EndpointSpeeds::firstEventRatio(ShortName endpoint, SteadyTime now) const
{
    auto it = m_options.enabled ? m_states.find(endpoint) : m_states.end();
    return it == m_states.end() ? 1 : withFast(it->second, it->second.firstEventRatio, now);
}

double EndpointSpeeds::lastingFirstEventRatio(ShortName endpoint) const
{
    auto it = m_options.enabled ? m_states.find(endpoint) : m_states.end();
    return it == m_states.end() ? 1 : it->second.firstEventRatio;
}

double EndpointSpeeds::pauseRatio(ShortName endpoint, SteadyTime now) const
{
    auto it = m_options.enabled ? m_states.find(endpoint) : m_states.end();
    return it == m_states.end() ? 1 : withFast(it->second, it->second.pauseRatio, now);
}

bool EndpointSpeeds::isUsable(ShortName endpoint, SteadyTime now) const
{
    auto it = m_options.enabled ? m_states.find(endpoint) : m_states.end();
    if (it == m_states.end() || !it->second.isEjected)
        return true;
    return now >= it->second.ejectedUntil && !it->second.isTrying;
}

std::size_t EndpointSpeeds::ejected() const
{
    return static_cast<std::size_t>(std::count_if(m_states.begin(), m_states.end(), [](const auto& it) { return it.second.isEjected; }));
}

std::vector<EndpointSpeedChange> EndpointSpeeds::takeChanges() { return std::exchange(m_changes, {}); }

} // namespace Onyxnotch
