// Reads a whole kind of the store's objects, page by page.
#pragma once

#include "modules/control/object_store.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

struct PagedListOptions {
    // A page that the store refuses is asked for again, not the whole list anew: after a start of 300 nodes all at once, with six pages
    // each, a third of all reads was let through, and hardly a list came to its end within 30 s.
    unsigned triesOfPage { 20 };
    Milliseconds shortestPause { 50 }; // Between them, spread so that a fleet's nodes don't come in step,
    Milliseconds longestPause { 400 }; // and doubled up to this.
};

// Errors: those of the first page, and of a later one that is refused all the time.
asio::awaitable<Result<StoreObjects>> listAll(asio::io_context&, ObjectStore&, StoreKind, PagedListOptions options = {});

} // namespace Onyxnotch
