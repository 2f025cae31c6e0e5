#include "modules/control/list_change.h"

#include "core/log.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::size_t mostLines = 200; // A whole list of 3,000, as each node reads it at its start, is no news to anybody.

} // namespace

ListChange listChange(const EndpointList* before, const EndpointList& list)
{
    ListChange change;
    for (const auto& [id, endpoint] : list.endpoints) {
        auto known = before ? before->endpoints.find(id) : list.endpoints.end();
        if (!before || known == before->endpoints.end() || known->second.leaving != endpoint.leaving || known->second.born != endpoint.born)
            change.listed.push_back(endpoint);
    }
    if (!before)
        return change;
    for (const auto& [id, endpoint] : before->endpoints) {
        if (!list.endpoints.contains(id))
            change.gone.push_back(endpoint);
    }
    return change;
}

void logListChange(const ListChange& change, const EndpointList& list, const ListOrigin& origin)
{
    if (change == ListChange {})
        return;
    auto leaving = std::count_if(change.listed.begin(), change.listed.end(), [](const auto& it) { return it.leaving; });
    logEvent(LogLevel::Info, "endpoints_changed",
        { { "source", origin.source }, { "revision", origin.revision }, { "endpoints", list.endpoints.size() }, { "new", static_cast<long>(change.listed.size()) - leaving },
            { "leaving", leaving }, { "gone", change.gone.size() } });
    if (!origin.readsStore || change.listed.size() + change.gone.size() > mostLines)
        return;
    for (const auto& it : change.listed) {
        logEvent(LogLevel::Info, "endpoint_listed",
            { { "endpoint", it.id }, { "born", it.born }, { "service", it.service }, { "version", it.version }, { "endpoint_zone", it.zone }, { "address", it.address.text() }, { "leaving", it.leaving ? 1 : 0 },
                { "leaves_in_ms", it.leavesIn ? it.leavesIn->count() : -1L }, { "reclaimable", it.reclaimable ? 1 : 0 } });
    }
    for (const auto& it : change.gone)
        logEvent(LogLevel::Info, "endpoint_gone", { { "endpoint", it.id }, { "service", it.service } });
}

} // namespace Onyxnotch
