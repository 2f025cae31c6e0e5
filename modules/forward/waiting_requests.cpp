#include "modules/forward/waiting_requests.h"

#include <algorithm>

namespace Onyxnotch {

WaitingRequests::WaitingRequests(asio::io_context& context, const QueueingOptions& options)
    : m_context(context)
    , m_queue({ .maximumEntries = options.maximumEntries })
{
}

std::shared_ptr<QueueWaiter> WaitingRequests::enter(QueueEntry& entry, SteadyTime now)
{
    entry.id = ++m_lastId;
    auto displaced = m_queue.enter(entry, now);
    if (displaced == entry.id)
        return nullptr;
    if (displaced) {
        auto waiter = m_waiters.at(*displaced);
        waiter->isDisplaced = true;
        waiter->timer.cancel();
    }
    auto waiter = std::make_shared<QueueWaiter>(m_context);
    waiter->id = entry.id;
    m_waiters[entry.id] = waiter;
    return waiter;
}

void WaitingRequests::leave(const QueueWaiter& waiter)
{
    m_queue.remove(waiter.id);
    m_waiters.erase(waiter.id);
}

void WaitingRequests::wakeNext(const std::string& service)
{
    auto id = m_queue.next(service, steadyNow());
    if (id)
        m_waiters.at(*id)->timer.cancel();
}

void WaitingRequests::wakeNextOfEachService()
{
    for (const auto& [service, size] : m_queue.sizeByService())
        wakeNext(service);
}

void WaitingRequests::wakeAll()
{
    for (const auto& [id, waiter] : m_waiters)
        waiter->timer.cancel();
}

void WaitingRequests::onPlaceReleased(const std::string& service, const std::string& team)
{
    m_queue.onPlaceReleased(service, team);
    wakeNext(service);
}

void WaitingRequests::setDemand(const std::map<std::string, ServiceDemand>& own, const std::map<std::string, ServiceDemand>& heard, unsigned heardNodes)
{
    m_heardNodes = heardNodes;
    m_shares.clear();
    for (const auto& [service, demand] : own) {
        auto total = heard.find(service);
        if (total != heard.end() && total->second.requestsPerSecond > 0)
            m_shares[service] = std::min(1.0, demand.requestsPerSecond / total->second.requestsPerSecond);
    }
}

double WaitingRequests::share(const std::string& service, unsigned nodes) const
{
    // The average of a node whose demand has just begun is still too low.
    constexpr double leastPartOfEvenShare = 0.25;
    auto even = 1.0 / std::max(1U, nodes);
    auto known = m_shares.find(service);
    if (nodes <= 1 || known == m_shares.end())
        return even;
    auto heardPart = std::min(1.0, m_heardNodes * even);
    return std::max(known->second * heardPart, even * leastPartOfEvenShare);
}

} // namespace Onyxnotch
