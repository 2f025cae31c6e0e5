#include "core/settings_file.h"

#include "core/file.h"
#include "core/json_schema.h"
#include <nlohmann/json.hpp>

namespace Onyxnotch {

Result<nlohmann::json> readSettingsFile(const std::string& path, const std::string& schema)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    auto document = parseJson(text);
    if (!document)
        return Error { ErrorCode::InvalidArgument, path + ": " + document.error().message };
    auto violations = checkSchema(schema, document.value());
    if (!violations.empty()) {
        std::string message;
        for (const auto& it : violations)
            message += (message.empty() ? "" : "\n") + path + ": " + (it.pointer.empty() ? "/" : it.pointer) + ": " + it.reason;
        return Error { ErrorCode::InvalidArgument, message };
    }
    applySchemaDefaults(nlohmann::json::parse(schema), document.value());
    return document;
}

} // namespace Onyxnotch
