#include "modules/control/paged_list.h"

#include "core/steady_timer.h"
#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <random>

namespace Onyxnotch {

namespace {

    // A page behind the first one, asked for until it is not refused any more.
    asio::awaitable<Result<StorePage>> laterPage(asio::io_context& context, ObjectStore& store, StoreKind kind, const std::string& behind, const PagedListOptions& options)
    {
        static thread_local std::minstd_rand random { std::random_device {}() };
        auto pause = options.shortestPause;
        for (unsigned tries = 1;; ++tries) {
            auto page = co_await store.listPage(kind, behind);
            bool refused = !page && page.error().code == ErrorCode::Unavailable;
            if (!refused || tries >= options.triesOfPage)
                co_return page;
            co_await sleepFor(context, Milliseconds(std::uniform_int_distribution<std::int64_t>(pause.count() / 2, pause.count())(random)));
            pause = std::min(pause * 2, options.longestPause);
        }
    }

} // namespace

asio::awaitable<Result<StoreObjects>> listAll(asio::io_context& context, ObjectStore& store, StoreKind kind, PagedListOptions options)
{
    auto page = co_await store.listPage(kind, {});
    if (!page)
        co_return page.error();
    // Changes behind the first page's revision are told again by the watch.
    StoreObjects all = std::move(page.value().objects);
    bool more = page.value().more;
    std::string behind;
    while (more && !all.objects.empty() && all.objects.back().name != behind) {
        behind = all.objects.back().name;
        auto next = co_await laterPage(context, store, kind, behind, options);
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
