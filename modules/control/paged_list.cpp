#include "modules/control/paged_list.h"

#include "core/steady_timer.h"
#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <random>

namespace Onyxnotch {

namespace {

    // Reads a page after the first one; retries while the store is unavailable, up to `maxPageAttempts` times.
    asio::awaitable<Result<StorePage>> readLaterPage(asio::io_context& context, ObjectStore& store, StoreKind kind, const std::string& afterName, const PagedListOptions& options)
    {
        static thread_local std::minstd_rand random { std::random_device {}() };
        auto retryDelay = options.initialRetryDelay;
        for (unsigned attempt = 1;; ++attempt) {
            auto page = co_await store.listPage(kind, afterName, options.freshness);
            bool isUnavailable = !page && page.error().code == ErrorCode::Unavailable;
            if (!isUnavailable || attempt >= options.maxPageAttempts)
                co_return page;
            co_await sleepFor(context, Milliseconds(std::uniform_int_distribution<std::int64_t>(retryDelay.count() / 2, retryDelay.count())(random)));
            retryDelay = std::min(retryDelay * 2, options.maxRetryDelay);
        }
    }

} // namespace

asio::awaitable<Result<StoreObjects>> listAll(asio::io_context& context, ObjectStore& store, StoreKind kind, PagedListOptions options)
{
    auto page = co_await store.listPage(kind, {}, options.freshness);
    if (!page)
        co_return page.error();
    // The result has the revision of the first page: a watch from it returns the changes made while the later pages were read.
    StoreObjects all = std::move(page.value().objects);
    bool more = page.value().more;
    std::string afterName;
    while (more && !all.objects.empty() && all.objects.back().name != afterName) {
        afterName = all.objects.back().name;
        auto next = co_await readLaterPage(context, store, kind, afterName, options);
        if (!next)
            co_return next.error();
        for (auto& it : next.value().objects.objects)
            all.objects.push_back(std::move(it));
        all.unnamed += next.value().objects.unnamed;
        more = next.value().more;
    }
    co_return all;
}

} // namespace Onyxnotch
