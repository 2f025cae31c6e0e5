#include "modules/forward/endpoint_notice.h"

#include "core/net/decimal.h"
#include "core/net/http_status.h"
#include "core/net/retry_after.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::string_view retryAfterField = "retry-after";
    constexpr std::size_t maximumUnknownFieldLength = 64; // In bytes of the field name: an endpoint may send a name of any length.

    void parseDraining(EndpointNotice& notice, const std::string& value)
    {
        notice.isDraining = notice.isDraining || value == "1";
        notice.isWellFormed = notice.isWellFormed && (value == "1" || value == "0");
    }

    void parseLimit(EndpointNotice& notice, const std::string& value)
    {
        auto limit = parseDecimal(value);
        notice.hasLimitField = true;
        notice.isWellFormed = notice.isWellFormed && limit;
        if (limit)
            notice.limitPerSecond = std::min(notice.limitPerSecond.value_or(*limit), *limit);
    }

    void parseBackoff(EndpointNotice& notice, const std::string& value)
    {
        auto backoff = parseRetryAfter(value);
        notice.isWellFormed = notice.isWellFormed && backoff;
        if (backoff)
            notice.backoff = std::max(notice.backoff.value_or(*backoff), *backoff);
    }

    bool hasEndpointPrefix(const std::string& name, const WireNames& names)
    {
        auto size = names.endpointFieldPrefix.size();
        return size > 0 && name.size() > size && equalsIgnoringCase(std::string_view(name).substr(0, size), names.endpointFieldPrefix);
    }

} // namespace

EndpointNotice parseNotice(const HttpHead& head, const WireNames& names)
{
    EndpointNotice notice;
    for (const auto& it : head.fields) {
        if (equalsIgnoringCase(it.name, names.leaving))
            parseDraining(notice, it.value);
        else if (equalsIgnoringCase(it.name, names.limit))
            parseLimit(notice, it.value);
        else if (HttpStatus::isRefusalStatus(head.status) && equalsIgnoringCase(it.name, retryAfterField))
            parseBackoff(notice, it.value);
        else if (notice.unknownField.empty() && hasEndpointPrefix(it.name, names) && !equalsIgnoringCase(it.name, names.receipt))
            notice.unknownField = it.name.substr(0, maximumUnknownFieldLength);
    }
    return notice;
}

} // namespace Onyxnotch
