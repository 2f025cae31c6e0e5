// The connections on which one request was sent.
#pragma once

#include "core/net/async_connection.h"
#include <algorithm>
#include <memory>
#include <vector>

namespace Onyxnotch {

// An endpoint may repeat a response late, at the place of the next one. The copy has the request's id, so it can be told apart from the
// response to any other request, but not from the response to a second send of the same request on the same connection.
class SentConnections {
public:
    void add(const std::shared_ptr<AsyncConnection>& connection) { m_connections.push_back(connection); }

    bool contains(const std::shared_ptr<AsyncConnection>& connection) const
    {
        return std::any_of(m_connections.begin(), m_connections.end(), [&](const auto& it) { return it.lock() == connection; });
    }

private:
    std::vector<std::weak_ptr<AsyncConnection>> m_connections {}; // Weak, so that a closed connection is freed.
};

} // namespace Onyxnotch
