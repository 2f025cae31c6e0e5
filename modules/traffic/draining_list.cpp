#include "modules/traffic/draining_list.h"

namespace Onyxnotch {

std::shared_ptr<const EndpointList> withDrainingEndpoints(const std::shared_ptr<const EndpointList>& list, const std::vector<EndpointIncarnation>& leaving)
{
    if (!list)
        return list;
    std::shared_ptr<EndpointList> marked;
    for (const auto& life : leaving) {
        auto it = list->endpoints.find(life.id);
        if (it == list->endpoints.end() || it->second.born != life.born || it->second.leaving)
            continue;
        if (!marked)
            marked = std::make_shared<EndpointList>(*list);
        marked->endpoints.at(life.id).leaving = true;
    }
    return marked ? marked : list;
}

} // namespace Onyxnotch
