#include "modules/request/request_table.h"

namespace Onyxnotch {

bool RequestTable::add(const std::shared_ptr<ActiveRequest>& request)
{
    std::lock_guard lock(m_mutex);
    return m_requests.emplace(request->description().id, request).second;
}

std::shared_ptr<ActiveRequest> RequestTable::find(const std::string& id) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_requests.find(id);
    return it == m_requests.end() ? nullptr : it->second;
}

void RequestTable::remove(const std::string& id)
{
    std::lock_guard lock(m_mutex);
    m_requests.erase(id);
}

std::vector<std::shared_ptr<ActiveRequest>> RequestTable::all() const
{
    std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<ActiveRequest>> requests;
    requests.reserve(m_requests.size());
    for (const auto& [id, request] : m_requests)
        requests.push_back(request);
    return requests;
}

void RequestTable::expire(SteadyTime now, Milliseconds retention)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_requests, [&](const auto& it) {
        auto finished = it.second->finishedAt();
        return finished != SteadyTime() && now - finished > retention;
    });
}

} // namespace Onyxnotch
