// The part of the request thread that shares the admission load with the other nodes.
#include "modules/entry/entry_requests.h"

#include "core/log.h"

namespace Onyxnotch {

AdmissionView EntryNode::RequestSide::admissionView() const
{
    AdmissionView result;
    auto configuration = view.configuration();
    if (!configuration)
        return result;
    for (const auto& [name, it] : forward.endpoints.usableCapacity()) {
        const auto* service = configuration->findService(name);
        result.services[name] = { .slots = it.slots, .busySlots = it.inFlight, .engineSeconds = service && service->engine ? static_cast<double>(it.endpoints) : 0 };
    }
    // A team's weight is its limit divided by the mean limit of the teams whose limits count the same unit (tokens or requests).
    std::map<bool, std::pair<double, unsigned>> limitsByUnit; // Sum and number of the limits, by whether they count tokens.
    const auto& teams = configuration->declaration().teams;
    for (const auto& it : teams) {
        auto& [sum, count] = limitsByUnit[it.countsTokens];
        sum += it.ratePerSecond;
        count += it.ratePerSecond > 0 ? 1 : 0;
    }
    for (const auto& it : teams) {
        const auto& [sum, count] = limitsByUnit[it.countsTokens];
        result.teamWeights[digestOf(it.name, {}, {}, {}).team] = it.ratePerSecond > 0 ? it.ratePerSecond * count / sum : 1;
    }
    return result;
}

void EntryNode::RequestSide::updateAdmission(SteadyTime now, double seconds)
{
    // Nodes on which the setting is on send their reports to this one as well.
    admissionSum.purgeExpired(now);
    if (!forward.options.sharedAdmission)
        return;
    forward.admissionMeter.tick(seconds);
    auto own = forward.admissionMeter.load();
    for (auto& [service, it] : own.services)
        it.shortNodes = forward.admission.isShort(service) ? 1 : 0;
    own.limitSize();
    admissionSum.setOwn(std::move(own));
    sendSumUpdates(exchange, relay, usesRelays(), MessageType::AdmissionLoad, admissionSum, now);
    auto total = admissionSum.total(now);
    forward.admission.update(total.sum, total.nodes, admissionView(), now);
    reportAdmission();
}

void EntryNode::RequestSide::reportAdmission()
{
    for (const auto& it : forward.admission.takeChanges()) {
        if (it.isShort && !it.wasShort)
            logEvent(LogLevel::Warning, "admission_short", { { "service", it.service }, { "level_priority", it.level.priority }, { "level_chance", it.level.chance }, { "demand", it.demand }, { "capacity", it.capacity } });
        else if (it.isShort)
            logEvent(LogLevel::Info, "admission_level", { { "service", it.service }, { "level_priority", it.level.priority }, { "level_chance", it.level.chance }, { "demand", it.demand }, { "capacity", it.capacity } });
        else
            logEvent(LogLevel::Info, "admission_short_ended", { { "service", it.service }, { "demand", it.demand } });
        forward.metrics.set("onyxnotch_entry_short_services", it.isShort ? 1 : 0, { { "service", it.service } });
        if (!it.isShort)
            forward.metrics.set("onyxnotch_entry_admission_chance", 1, { { "service", it.service } });
    }
    for (const auto& service : forward.admission.shortServices()) {
        auto level = forward.admission.level(service);
        forward.metrics.set("onyxnotch_entry_admission_priority", level.priority, { { "service", service } });
        forward.metrics.set("onyxnotch_entry_admission_chance", level.chance, { { "service", service } });
        forward.metrics.set("onyxnotch_entry_admission_capacity", forward.admission.capacity(service), { { "service", service } });
    }
}

} // namespace Onyxnotch
