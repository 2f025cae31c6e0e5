// Reads all objects of a kind from the store, page by page.
#pragma once

#include "modules/control/object_store.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

struct PagedListOptions {
    ReadFreshness freshness { ReadFreshness::Latest };
    // If the store is unavailable for a page, only that page is read again, not the complete list: when 300 nodes start together and read
    // six pages each, and the store accepts only a part of the reads, hardly any node would ever complete its list.
    unsigned maxPageAttempts { 20 };
    // Delay before the first retry; randomized, so that the nodes of a fleet don't retry simultaneously.
    Milliseconds initialRetryDelay { 50 };
    Milliseconds maxRetryDelay { 400 }; // The delay doubles with each retry up to this value.
};

// Errors: those of reading the first page, which is not retried, and of a later page after its last attempt.
asio::awaitable<Result<StoreObjects>> listAll(asio::io_context&, ObjectStore&, StoreKind, PagedListOptions options = {});

} // namespace Onyxnotch
