#include "modules/duty/duty_checkpoint.h"

#include "core/json_decode.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    Json toJson(const ScalingCheckpoint& snapshot)
    {
        Json orders = Json::array();
        for (const auto& it : snapshot.orders)
            orders.push_back({ { "zone", it.zone }, { "reclaimable", it.reclaimable }, { "endpoints", it.endpoints } });
        return { { "service", snapshot.service }, { "needed", snapshot.needed }, { "dry", snapshot.isSupplyExhausted }, { "orders", std::move(orders) } };
    }

    ScalingCheckpoint scalingCheckpointFrom(const Json& document)
    {
        ScalingCheckpoint snapshot { .service = document.at("service"), .needed = document.at("needed"), .isSupplyExhausted = document.at("dry") };
        for (const auto& it : document.at("orders"))
            snapshot.orders.push_back({ .service = snapshot.service, .zone = it.at("zone"), .reclaimable = it.at("reclaimable"), .endpoints = it.at("endpoints") });
        return snapshot;
    }

} // namespace

std::string dutyCheckpointToJson(const DutyCheckpoint& checkpoint)
{
    Json document { { "scaling", Json::array() } };
    if (checkpoint.report)
        document["report"] = usageReportToJson(*checkpoint.report);
    for (const auto& it : checkpoint.scaling)
        document["scaling"].push_back(toJson(it));
    return document.dump();
}

Result<DutyCheckpoint> dutyCheckpointFromJson(const std::string& text)
{
    if (text.empty())
        return DutyCheckpoint {};
    std::optional<std::string> reportText;
    auto checkpoint = decodeJson<DutyCheckpoint>(text, ErrorCode::InvalidArgument, "duty checkpoint", [&](const Json& document) {
        if (document.contains("report"))
            reportText = document.at("report").get<std::string>();
        DutyCheckpoint decoded;
        for (const auto& it : document.at("scaling"))
            decoded.scaling.push_back(scalingCheckpointFrom(it));
        return decoded;
    });
    if (!checkpoint || !reportText)
        return checkpoint;
    auto report = usageReportFromJson(*reportText);
    if (!report)
        return report.error();
    checkpoint.value().report = report.value();
    return checkpoint;
}

} // namespace Onyxnotch
