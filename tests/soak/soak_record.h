// What callers and endpoints saw in a soak, and which promises that breaks.
#pragma once

#include "core/clock.h"
#include "core/net/http_status.h"
#include "tests/fakes/platform_stand_in.h"
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Onyxnotch::Tests {

enum class SoakKind {
    Once, // May run once.
    Safe, // May run again, at two endpoints in all.
    Stream, // May run once.
    Resumable, // May go on at a second endpoint.
    Crashing, // Ends each endpoint that runs it.
};

// A request as it reached an endpoint.
struct SoakArrival {
    std::string id {};
    std::string target {};
    SoakKind kind { SoakKind::Once };
    bool ran { false };
    SteadyTime at {};
    std::string endpoint {};
    Milliseconds timeLeft { 0 }; // Of the caller's, as the node wrote it when it sent the request.
    bool isWhole { true }; // False where only its head has come so far.
    bool saysLeaving { false }; // Its answer says that the endpoint leaves.
    std::optional<double> limitPerSecond {}; // Its answer names what the endpoint takes from all nodes together.
    Milliseconds rest { 0 }; // It is turned away, and the endpoint wants nothing from the node for so long.
};

// What its caller got.
struct SoakOutcome {
    std::string id {};
    SoakKind kind { SoakKind::Once };
    unsigned node { 0 }; // That it was asked of.
    int status { 0 }; // 0 where the connection ended without an answer.
    bool whole { false };
    bool isOwnBody { true }; // What it got is what an endpoint makes of this request, or a part of it.
    SteadyTime askedAt {};
    SteadyTime answeredAt {};
};

struct BrokenPromise {
    std::string promise {};
    std::string id {};
    std::string seen {};
};

class SoakRecord {
public:
    static constexpr Milliseconds callersTime { 1500 }; // For which callers wait.

    void add(const SoakArrival& arrival)
    {
        std::lock_guard lock(m_mutex);
        m_arrivals.push_back(arrival);
    }

    void add(const SoakOutcome& outcome)
    {
        std::lock_guard lock(m_mutex);
        m_outcomes.push_back(outcome);
    }

    // From then on for `contact` longer, that node is not in touch with the others.
    void noteDisturbance(unsigned node, SteadyTime at)
    {
        std::lock_guard lock(m_mutex);
        m_disturbances[node].push_back(at);
    }

    // An endpoint crashed under the request to that path: another path is another request. Several copies may run there as it does.
    void noteCrash(const std::string& target, const std::string& endpoint, SteadyTime at)
    {
        std::lock_guard lock(m_mutex);
        auto& crashes = m_crashes[target];
        if (std::none_of(crashes.begin(), crashes.end(), [&](const auto& it) { return it.endpoint == endpoint; }))
            crashes.push_back({ .endpoint = endpoint, .at = at });
    }

    std::size_t answered() const
    {
        return count([](const auto& it) { return it.status == HttpStatus::ok && it.whole; });
    }
    std::size_t refused() const
    {
        return count([](const auto& it) { return it.status == HttpStatus::serviceUnavailable || it.status == HttpStatus::tooManyRequests; });
    }
    std::size_t asked() const
    {
        return count([](const auto&) { return true; });
    }
    std::size_t crashes() const
    {
        std::lock_guard lock(m_mutex);
        std::size_t sum = 0;
        for (const auto& [target, crashes] : m_crashes)
            sum += crashes.size();
        return sum;
    }

    std::vector<BrokenPromise> check() const
    {
        std::vector<BrokenPromise> broken;
        checkRuns(broken);
        checkOutcomes(broken);
        checkCrashing(broken);
        checkNotices(broken);
        checkLimits(broken);
        return broken;
    }

    // A window's report is the same whoever sends it again, and fences never fall.
    static std::vector<BrokenPromise> checkDuties(const std::vector<Fakes::CloudCall>& calls)
    {
        std::vector<BrokenPromise> broken;
        std::map<std::uint64_t, nlohmann::json> counts;
        std::uint64_t highest = 0;
        std::map<std::uint64_t, std::string> holders;
        for (const auto& it : calls) {
            if (it.fence < highest)
                broken.push_back({ "one holder of a duty", "fence " + std::to_string(it.fence), it.holder + " called after fence " + std::to_string(highest) });
            highest = std::max(highest, it.fence);
            auto holder = holders.try_emplace(it.fence, it.holder).first->second;
            if (holder != it.holder)
                broken.push_back({ "one holder of a duty", "fence " + std::to_string(it.fence), holder + " and " + it.holder });
            auto window = it.body.value("windowId", std::uint64_t(0));
            auto known = counts.try_emplace(window, it.body["counts"]).first->second;
            if (known != it.body["counts"])
                broken.push_back({ "one report of a window", std::to_string(window), known.dump() + " and " + it.body["counts"].dump() });
        }
        return broken;
    }

private:
    struct Crash {
        std::string endpoint {};
        SteadyTime at {};
    };

    static constexpr Milliseconds contact { 3000 }; // For news to spread.
    static constexpr Milliseconds drainTime { 2000 }; // From an answer that says so until nothing new may reach the endpoint.
    static constexpr Milliseconds restBegins { 500 }; // After an answer that asks for rest.
    static constexpr unsigned allowedWhileResting = 2; // From one node.
    static constexpr Milliseconds limitSpan { 4000 }; // Of any such length,
    static constexpr double limitSlackPart = 1.5; // this part of what the endpoint takes,
    static constexpr double limitSlack = 5; // and so many more.
    static constexpr Milliseconds heardBefore { 500 }; // A node that passed a limit on later need not keep to it yet.
    static constexpr unsigned endedUntilKnown = 3;
    static constexpr unsigned allowedAfterwards = 3;
    static constexpr unsigned mostTold = 6; // Of the late ones that were turned away, for who reads of a broken promise.

    template <typename Predicate>
    std::size_t count(Predicate predicate) const
    {
        std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), predicate));
    }

    std::map<std::string, unsigned> runs() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto& it : m_arrivals)
            counts[it.id] += it.ran ? 1 : 0;
        return counts;
    }

    // Where it arrived and when, for who reads of a broken promise.
    std::string arrivalsOf(const std::string& id) const
    {
        std::string text;
        SteadyTime first {};
        for (const auto& it : m_arrivals) {
            if (it.id != id)
                continue;
            first = first == SteadyTime {} ? it.at : first;
            text += ", at " + it.endpoint + " after " + std::to_string(toMilliseconds(it.at - first).count()) + " ms" + (it.isWhole ? "" : " (its head alone)") + (it.ran ? "" : " (turned away)");
        }
        return text;
    }

    void checkRuns(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, SoakKind> kinds;
        for (const auto& it : m_arrivals)
            kinds[it.id] = it.kind;
        for (const auto& [id, ran] : runs()) {
            bool once = kinds[id] == SoakKind::Once || kinds[id] == SoakKind::Stream;
            unsigned most = once ? 1 : 2;
            if (ran > most)
                broken.push_back({ once ? "at most once" : "no more tries than the route allows", id, "ran " + std::to_string(ran) + " times" + arrivalsOf(id) });
        }
    }

    void checkOutcomes(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        auto ran = runs();
        for (const auto& it : m_outcomes) {
            bool promised = it.status == HttpStatus::serviceUnavailable || it.status == HttpStatus::tooManyRequests;
            if (promised && ran[it.id] > 0)
                broken.push_back({ "not run is true", it.id, "status " + std::to_string(it.status) + ", but it ran" });
            if (!it.isOwnBody)
                broken.push_back({ "no mixed answers", it.id, "another body" });
            if (it.status == HttpStatus::notFound || it.status == HttpStatus::unauthorized)
                broken.push_back({ "no older configuration", it.id, "status " + std::to_string(it.status) });
        }
    }

    // Counted only where the node that was asked was not disturbed within the time that news take.
    void checkCrashing(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, unsigned> askedOf;
        for (const auto& it : m_outcomes)
            askedOf[it.id] = it.node;
        for (const auto& [target, crashes] : m_crashes) {
            if (crashes.size() >= endedUntilKnown)
                checkCrashing(broken, target, crashes[endedUntilKnown - 1].at + contact, askedOf);
        }
    }

    void checkCrashing(std::vector<BrokenPromise>& broken, const std::string& target, SteadyTime known, std::map<std::string, unsigned>& askedOf) const
    {
        unsigned late = 0;
        std::string told;
        for (const auto& it : m_arrivals) {
            if (it.kind != SoakKind::Crashing || it.target != target || !askedOf.contains(it.id))
                continue;
            auto node = askedOf[it.id];
            bool isLate = it.at > known && !isDisturbed(node, it.at - contact + SteadyTime::duration(1), it.at);
            late += isLate ? 1 : 0;
            if (it.ran || (isLate && late <= mostTold))
                told += "; at " + std::to_string(toMilliseconds(it.at - known).count()) + " ms at " + it.endpoint + " from node " + std::to_string(node) + (it.ran ? ", ran" : ", turned away") + disturbedAround(node, it.at);
        }
        if (late > allowedAfterwards)
            broken.push_back({ "a request that ends endpoints is stopped", target, std::to_string(late) + " more arrivals" + told });
    }

    bool isDisturbed(unsigned node, SteadyTime from, SteadyTime to) const
    {
        auto known = m_disturbances.find(node);
        return known != m_disturbances.end() && std::any_of(known->second.begin(), known->second.end(), [&](auto at) { return at >= from && at <= to; });
    }

    // What endpoints said of themselves binds the node that heard it, unless it was killed or suspended since.
    void checkNotices(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, const SoakOutcome*> outcomes;
        for (const auto& it : m_outcomes)
            outcomes[it.id] = &it;
        std::map<std::pair<std::string, unsigned>, std::vector<const SoakArrival*>> arrivals;
        for (const auto& it : m_arrivals) {
            if (outcomes.contains(it.id))
                arrivals[{ it.endpoint, outcomes[it.id]->node }].push_back(&it);
        }
        for (const auto& [key, it] : arrivals) {
            checkLeft(broken, key.second, it, outcomes);
            checkRested(broken, key.second, it, outcomes);
        }
    }

    // What all nodes that had passed it on send to an endpoint, from three seconds after its first word for as long as it says so.
    void checkLimits(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, const SoakOutcome*> outcomes;
        for (const auto& it : m_outcomes)
            outcomes[it.id] = &it;
        std::map<std::string, std::vector<const SoakArrival*>> arrivals;
        for (const auto& it : m_arrivals) {
            if (it.isWhole && outcomes.contains(it.id))
                arrivals[it.endpoint].push_back(&it);
        }
        for (const auto& [endpoint, it] : arrivals)
            checkLimit(broken, it, outcomes);
    }

    // Of one endpoint, in the order of their coming.
    void checkLimit(std::vector<BrokenPromise>& broken, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        std::optional<SteadyTime> namedAt;
        std::map<unsigned, SteadyTime> toldAt; // By node.
        std::vector<const SoakArrival*> counted;
        for (const auto* it : arrivals) {
            const auto& outcome = *outcomes.at(it->id);
            if (!it->limitPerSecond) {
                namedAt.reset();
                toldAt.clear();
                counted.clear();
                continue;
            }
            namedAt = namedAt.value_or(it->at);
            auto told = toldAt.find(outcome.node);
            bool knows = told != toldAt.end() && it->at > told->second + heardBefore && !isDisturbed(outcome.node, std::max(told->second, it->at - contact), it->at);
            if (knows)
                counted.push_back(it);
            if (outcome.whole && outcome.status == HttpStatus::ok)
                toldAt.try_emplace(outcome.node, outcome.answeredAt);
            std::erase_if(counted, [&](const auto* other) { return it->at - other->at > limitSpan; });
            double perSecond = 0;
            for (const auto* other : counted)
                perSecond = std::max(perSecond, *other->limitPerSecond);
            auto allowed = limitSlackPart * perSecond * std::chrono::duration<double>(limitSpan).count() + limitSlack;
            if (it->at < *namedAt + contact || static_cast<double>(counted.size()) <= allowed)
                continue;
            broken.push_back({ "an endpoint gets no more than it names", it->id, it->endpoint + " got " + std::to_string(counted.size()) + " in four seconds of " + std::to_string(allowed) });
            return;
        }
    }

    // Of one endpoint from one node, in the order of their coming. The first word since the node's last disturbance counts.
    void checkLeft(std::vector<BrokenPromise>& broken, unsigned node, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        const SoakArrival* word = nullptr;
        for (const auto* it : arrivals) {
            if (word && isDisturbed(node, word->at, it->at))
                word = nullptr;
            if (word && it->at > outcomes.at(word->id)->answeredAt + drainTime) {
                broken.push_back({ "nothing new reaches an endpoint that says that it leaves", it->id, it->endpoint + " said so in the answer to " + word->id });
                return;
            }
            const auto& outcome = *outcomes.at(it->id);
            if (!word && it->saysLeaving && outcome.whole && outcome.status == HttpStatus::ok)
                word = it;
        }
    }

    void checkRested(std::vector<BrokenPromise>& broken, unsigned node, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        const SoakArrival* word = nullptr;
        unsigned arrived = 0;
        std::string times;
        for (const auto* it : arrivals) {
            if (word && it->at < word->at + word->rest) {
                bool isLate = it->at > word->at + restBegins;
                arrived += isLate ? 1 : 0;
                if (isLate)
                    times += ", sent after " + std::to_string(toMilliseconds(sentAt(*it, *outcomes.at(it->id)) - word->at).count()) + " ms and there after " + std::to_string(toMilliseconds(it->at - word->at).count()) + " ms";
                if (arrived <= allowedWhileResting || isDisturbed(node, word->at, it->at))
                    continue;
                broken.push_back({ "an endpoint that asks for rest gets it", word->id, word->endpoint + " got " + std::to_string(arrived) + " from one node" + times + disturbedAround(node, word->at) });
                return;
            }
            word = it->rest.count() > 0 ? it : nullptr;
            arrived = 0;
            times.clear();
        }
    }

    // When the node was disturbed, for who reads of a broken promise.
    std::string disturbedAround(unsigned node, SteadyTime at) const
    {
        std::string text;
        auto known = m_disturbances.find(node);
        for (auto it : known == m_disturbances.end() ? std::vector<SteadyTime> {} : known->second) {
            auto offset = toMilliseconds(it - at);
            if (offset > -contact && offset < contact)
                text += ", node disturbed at " + std::to_string(offset.count()) + " ms";
        }
        return text;
    }

    // When the node sent it, by the time that it says is left of the caller's.
    static SteadyTime sentAt(const SoakArrival& arrival, const SoakOutcome& outcome) { return outcome.askedAt + callersTime - arrival.timeLeft; }

    mutable std::mutex m_mutex {};
    std::vector<SoakArrival> m_arrivals {};
    std::vector<SoakOutcome> m_outcomes {};
    std::map<unsigned, std::vector<SteadyTime>> m_disturbances {}; // By node.
    std::map<std::string, std::vector<Crash>> m_crashes {};
};

} // namespace Onyxnotch::Tests
