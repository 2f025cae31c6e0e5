#include "main/settings_reference.h"

#include "main/entry_settings.h"
#include "main/settings.h"
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    // Describes the type and range of a schema member.
    std::string describeType(const Json& member)
    {
        if (member.contains("enum")) {
            std::string text;
            for (const auto& it : member["enum"])
                text += (text.empty() ? "" : ", ") + it.get<std::string>();
            return "one of " + text;
        }
        auto text = member.value("type", "");
        if (member.contains("minimum"))
            text += " from " + member["minimum"].dump();
        if (member.contains("maximum"))
            text += " to " + member["maximum"].dump();
        return text;
    }

    // Appends a table row for each property of the schema, nested ones included; `prefix` is the key path of the schema.
    void addRows(const Json& schema, const std::string& prefix, std::string& table)
    {
        for (const auto& [name, member] : schema["properties"].items()) {
            auto key = prefix + name;
            auto defaultText = member.contains("properties") ? std::string() : member.contains("default") ? "`" + member["default"].dump() + "`"
                                                                                                          : "required";
            for (const auto& cell : { "`" + key + "`", describeType(member), defaultText, member.value("description", "") })
                table += "| " + cell + " ";
            table += "|\n";
            if (member.contains("properties"))
                addRows(member, key + ".", table);
        }
    }

    // Returns the heading and the table of one program.
    std::string programSection(const std::string& program, const std::string& schema)
    {
        std::string text = "\n## " + program + "\n\n| key | type | default | meaning |\n|---|---|---|---|\n";
        addRows(Json::parse(schema), {}, text);
        return text;
    }

} // namespace

std::string settingsReference()
{
    return "# Settings\n\nMade by `onyxnotch settings-reference`; a test keeps it up to date. Settings are one JSON file a process; `--check-settings` checks it and names each wrong key.\n"
        + programSection("onyxnotch-gateway", gatewaySettingsSchema()) + programSection("onyxnotch-controller", controllerSettingsSchema())
        + programSection("onyxnotch-entry", entrySettingsSchema());
}

} // namespace Onyxnotch
