// What an endpoint says of itself in the head of an answer, beside the answer.
#pragma once

#include "core/clock.h"
#include "core/net/http_parser.h"
#include "modules/forward/wire_names.h"
#include <optional>
#include <string>

namespace Onyxnotch {

struct AnswerNotice {
    bool leaves { false }; // It leaves, whatever its entry says.
    std::optional<Milliseconds> rest {}; // It turned the request away and wants nothing from this node for so long.
    std::optional<double> limitPerSecond {}; // It takes so many requests from all nodes together, for as long as it says so.
    bool namesLimit { false }; // The field is there, whatever it holds.
    bool isUnderstood { true }; // False where a field of the kind holds something else; what else is there counts.
    std::string unknownField {}; // The first one of the family whose meaning this node does not know.

    bool operator==(const AnswerNotice&) const = default;
};

// Of several fields the strictest holds. A rest is read only from an answer that turns the request away (429 or 503).
AnswerNotice readNotice(const HttpHead&, const WireNames&);

} // namespace Onyxnotch
