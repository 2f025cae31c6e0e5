#include "modules/control/list_change.h"

#include "core/log.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    // Above this only the counts are logged: lines for a complete list of 3,000, which each node reads at its start, would be of no use.
    constexpr std::size_t maxEndpointLines = 200;

} // namespace

EndpointListChange endpointListChange(const EndpointList* before, const EndpointList& list)
{
    EndpointListChange change;
    for (const auto& [id, endpoint] : list.endpoints) {
        auto known = before ? before->endpoints.find(id) : list.endpoints.end();
        if (!before || known == before->endpoints.end() || known->second.leaving != endpoint.leaving || known->second.born != endpoint.born)
            change.updated.push_back(endpoint);
    }
    if (!before)
        return change;
    for (const auto& [id, endpoint] : before->endpoints) {
        if (!list.endpoints.contains(id))
            change.removed.push_back(endpoint);
    }
    return change;
}

void logEndpointListChange(const EndpointListChange& change, const EndpointList& list, const EndpointListOrigin& origin)
{
    if (change == EndpointListChange {})
        return;
    auto leaving = std::count_if(change.updated.begin(), change.updated.end(), [](const auto& it) { return it.leaving; });
    logEvent(LogLevel::Info, "endpoints_changed",
        { { "source", origin.source }, { "revision", origin.revision }, { "endpoints", list.endpoints.size() }, { "new", static_cast<long>(change.updated.size()) - leaving },
            { "leaving", leaving }, { "gone", change.removed.size() }, { "age_ms", origin.age.count() } });
    if (!origin.readsStore || change.updated.size() + change.removed.size() > maxEndpointLines)
        return;
    for (const auto& it : change.updated) {
        logEvent(LogLevel::Info, "endpoint_listed",
            { { "endpoint", it.id }, { "born", it.born }, { "service", it.service }, { "version", it.version }, { "endpoint_zone", it.zone }, { "address", it.address.text() }, { "leaving", it.leaving ? 1 : 0 },
                { "leaves_in_ms", it.leavesIn ? it.leavesIn->count() : -1L }, { "reclaimable", it.reclaimable ? 1 : 0 } });
    }
    for (const auto& it : change.removed)
        logEvent(LogLevel::Info, "endpoint_gone", { { "endpoint", it.id }, { "service", it.service } });
}

} // namespace Onyxnotch
