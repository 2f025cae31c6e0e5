#include "core/json_schema.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr int maximumDepth = 64;

    std::string pointerOf(const std::vector<std::string>& context)
    {
        std::string pointer;
        for (const auto& it : context) {
            if (it == "<root>")
                continue;
            // valijson reports each path segment as "[name]" or "[index]".
            auto segment = it.size() > 2 && it.front() == '[' ? it.substr(1, it.size() - 2) : it;
            pointer += "/" + segment;
        }
        return pointer;
    }

} // namespace

std::vector<SchemaViolation> checkSchema(const std::string& schemaText, const Json& document)
{
    auto schemaDocument = Json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);

    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results))
        return {};

    std::vector<SchemaViolation> violations;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        SchemaViolation violation { .pointer = pointerOf(error.context), .reason = error.description };
        violations.push_back(std::move(violation));
    }
    // valijson also reports a failure for each schema that encloses the violated one. Drop these unless there is nothing else.
    auto isEnclosingSchemaError = [](const SchemaViolation& it) { return it.reason.rfind("Failed to validate", 0) == 0; };
    if (!std::all_of(violations.begin(), violations.end(), isEnclosingSchemaError))
        std::erase_if(violations, isEnclosingSchemaError);
    return violations;
}

Result<Json> parseJson(const std::string& text)
{
    auto checkDepth = [](int depth, Json::parse_event_t, Json&) {
        if (depth > maximumDepth)
            throw std::length_error("nested deeper than 64 levels");
        return true;
    };
    try {
        return Json::parse(text, checkDepth);
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, exception.what() };
    }
}

void applySchemaDefaults(const Json& schema, Json& document)
{
    if (!schema.contains("properties") || !document.is_object())
        return;
    for (const auto& [name, member] : schema["properties"].items()) {
        if (!document.contains(name) && member.contains("default"))
            document[name] = member["default"];
        if (document.contains(name))
            applySchemaDefaults(member, document[name]);
    }
}

} // namespace Onyxnotch
