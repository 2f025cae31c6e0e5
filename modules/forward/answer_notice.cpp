#include "modules/forward/answer_notice.h"

#include "core/net/decimal.h"
#include "core/net/http_status.h"
#include "core/net/retry_after.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::string_view restField = "retry-after";
    constexpr std::size_t longestUnknownField = 64; // Of its name: an endpoint may send anything.

    void readLeaving(AnswerNotice& notice, const std::string& value)
    {
        notice.leaves = notice.leaves || value == "1";
        notice.isUnderstood = notice.isUnderstood && (value == "1" || value == "0");
    }

    void readLimit(AnswerNotice& notice, const std::string& value)
    {
        auto limit = parseDecimal(value);
        notice.namesLimit = true;
        notice.isUnderstood = notice.isUnderstood && limit;
        if (limit)
            notice.limitPerSecond = std::min(notice.limitPerSecond.value_or(*limit), *limit);
    }

    void readRest(AnswerNotice& notice, const std::string& value)
    {
        auto rest = parseRetryAfter(value);
        notice.isUnderstood = notice.isUnderstood && rest;
        if (rest)
            notice.rest = std::max(notice.rest.value_or(*rest), *rest);
    }

    bool isOfFamily(const std::string& name, const WireNames& names)
    {
        auto size = names.endpointFamily.size();
        return size > 0 && name.size() > size && equalsIgnoringCase(std::string_view(name).substr(0, size), names.endpointFamily);
    }

} // namespace

AnswerNotice readNotice(const HttpHead& head, const WireNames& names)
{
    AnswerNotice notice;
    for (const auto& it : head.fields) {
        if (equalsIgnoringCase(it.name, names.leaving))
            readLeaving(notice, it.value);
        else if (equalsIgnoringCase(it.name, names.limit))
            readLimit(notice, it.value);
        else if (HttpStatus::turnsAway(head.status) && equalsIgnoringCase(it.name, restField))
            readRest(notice, it.value);
        else if (notice.unknownField.empty() && isOfFamily(it.name, names) && !equalsIgnoringCase(it.name, names.receipt))
            notice.unknownField = it.name.substr(0, longestUnknownField);
    }
    return notice;
}

} // namespace Onyxnotch
