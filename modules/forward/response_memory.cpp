#include "modules/forward/response_memory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Onyxnotch {

ResponseMemory::Reservation::Reservation(ResponseMemory& memory, std::shared_ptr<EndpointState> endpoint, std::function<void()> end)
    : m_memory(memory)
    , m_endpoint(std::move(endpoint))
    , m_end(std::move(end))
{
}

ResponseMemory::Reservation::~Reservation() { record(0); }

void ResponseMemory::Reservation::resize(std::size_t bytes)
{
    if (m_isEnded || bytes == m_bytes)
        return;
    bool isGrowing = bytes > m_bytes;
    record(bytes);
    while (isGrowing && m_memory.m_used > m_memory.m_limit)
        m_memory.endLargest();
}

void ResponseMemory::Reservation::record(std::size_t bytes)
{
    auto before = std::exchange(m_bytes, bytes);
    m_memory.m_used = m_memory.m_used - before + bytes;
    m_endpoint->responseBytes = m_endpoint->responseBytes - before + bytes;
    if (before == 0 && bytes > 0)
        m_memory.m_reservations.insert(this);
    else if (before > 0 && bytes == 0)
        m_memory.m_reservations.erase(this);
}

// Called only while some reservation has a size above 0.
void ResponseMemory::endLargest()
{
    auto isSmaller = [](const Reservation* left, const Reservation* right) {
        return std::tie(left->m_endpoint->responseBytes, left->m_bytes) < std::tie(right->m_endpoint->responseBytes, right->m_bytes);
    };
    auto* largest = *std::max_element(m_reservations.begin(), m_reservations.end(), isSmaller);
    largest->record(0);
    largest->m_isEnded = true;
    largest->m_end();
}

} // namespace Onyxnotch
