// Reads a whole kind of the store's objects, page by page.
#pragma once

#include "modules/control/object_store.h"
#include <asio/io_context.hpp>

namespace Onyxnotch {

struct PagedListOptions {
    // A page that the store refuses is asked for again, not the whole list anew: where 300 nodes start at once with six pages each, and the
    // store lets a part of all reads through, hardly a list would come to its end.
    unsigned triesOfPage { 20 };
    Milliseconds shortestPause { 50 }; // Between them, spread so that a fleet's nodes don't come in step,
    Milliseconds longestPause { 400 }; // and doubled up to this.
};

// Errors: those of the first page, and of a later one that is refused all the time.
asio::awaitable<Result<StoreObjects>> listAll(asio::io_context&, ObjectStore&, StoreKind, PagedListOptions options = {});

} // namespace Onyxnotch
