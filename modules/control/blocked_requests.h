// Persists blocked requests (requests that no node sends on, because endpoints ended while running them) in the platform's store, so that
// they stay blocked when all nodes restart at the same time. Without this, each blocked request could end three more endpoints before it is
// blocked again. Uses a fixed number of store objects, because objects are never deleted: a request is assigned to an object by its hash
// and overwrites an older request there. Used on the control thread only.
#pragma once

#include "core/wakeup.h"
#include "modules/control/object_store.h"
#include "modules/suspects/suspect_update.h"
#include <asio/io_context.hpp>
#include <deque>
#include <functional>

namespace Onyxnotch {

// A blocked request as it is stored.
struct StoredBlockedRequest {
    RequestDigest request {};
    std::uint16_t round { 0 }; // How many times the request was blocked before; a higher round replaces a lower one.
    std::uint64_t blockedAt { 0 }; // Milliseconds since 1970, by the clock that the nodes agree on.

    bool operator==(const StoredBlockedRequest&) const = default;
};

struct BlockedRequestsOptions {
    unsigned slotCount { 256 }; // Number of store objects; far more than the requests that are blocked at any time.
    // While the store is unreachable. Beyond this the oldest are discarded; other nodes write them too.
    std::size_t maxPendingWrites { 256 };
    Milliseconds initialRetryDelay { 200 }; // Base of the delay before retrying a failed store call; doubled from the first failure on.
    Milliseconds maxRetryDelay { 3000 }; // Upper bound of the delay.
};

class BlockedRequests {
public:
    using Receiver = std::function<void(std::vector<StoredBlockedRequest>)>;

    // `receiver` is called once, soon after run() starts, with all requests found in the store; not called if there are none.
    BlockedRequests(asio::io_context&, ObjectStore&, Receiver receiver, const BlockedRequestsOptions& options = {});

    // Reads the stored requests once, then writes queued changes. Runs until the process ends.
    asio::awaitable<void> run();
    // Queues a blocked request to be stored.
    void keep(const StoredBlockedRequest&);
    // Queues the removal of a request that is no longer blocked.
    void drop(const RequestDigest&);

private:
    struct PendingWrite {
        StoredBlockedRequest blocked {};
        bool isRemoval { false };
    };

    void enqueue(const PendingWrite&);
    std::string objectNameFor(const RequestDigest&) const;
    asio::awaitable<bool> write(const PendingWrite&);
    asio::awaitable<Status> putObject(const std::string& name, const std::optional<StoreObject>& existing, const nlohmann::json& value);

    asio::io_context& m_context;
    ObjectStore& m_store;
    Receiver m_receiver;
    BlockedRequestsOptions m_options;
    std::deque<PendingWrite> m_pendingWrites {};
    Wakeup m_newWrite;
};

} // namespace Onyxnotch
