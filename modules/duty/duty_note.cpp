#include "modules/duty/duty_note.h"

#include "core/json_decode.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    Json toJson(const ScaleMemory& memory)
    {
        Json orders = Json::array();
        for (const auto& it : memory.orders)
            orders.push_back({ { "zone", it.zone }, { "reclaimable", it.reclaimable }, { "endpoints", it.endpoints } });
        return { { "service", memory.service }, { "needed", memory.needed }, { "dry", memory.dry }, { "orders", std::move(orders) } };
    }

    ScaleMemory scaleMemoryFrom(const Json& document)
    {
        ScaleMemory memory { .service = document.at("service"), .needed = document.at("needed"), .dry = document.at("dry") };
        for (const auto& it : document.at("orders"))
            memory.orders.push_back({ .service = memory.service, .zone = it.at("zone"), .reclaimable = it.at("reclaimable"), .endpoints = it.at("endpoints") });
        return memory;
    }

} // namespace

std::string dutyNoteToJson(const DutyNote& note)
{
    Json document { { "scaling", Json::array() } };
    if (note.report)
        document["report"] = usageReportToJson(*note.report);
    for (const auto& it : note.scaling)
        document["scaling"].push_back(toJson(it));
    return document.dump();
}

Result<DutyNote> dutyNoteFromJson(const std::string& text)
{
    if (text.empty())
        return DutyNote {};
    std::optional<std::string> reportText;
    auto note = decodeJson<DutyNote>(text, ErrorCode::InvalidArgument, "note of the duties", [&](const Json& document) {
        if (document.contains("report"))
            reportText = document.at("report").get<std::string>();
        DutyNote read;
        for (const auto& it : document.at("scaling"))
            read.scaling.push_back(scaleMemoryFrom(it));
        return read;
    });
    if (!note || !reportText)
        return note;
    auto report = usageReportFromJson(*reportText);
    if (!report)
        return report.error();
    note.value().report = report.value();
    return note;
}

} // namespace Onyxnotch
