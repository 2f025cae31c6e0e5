// JSON Schema checks by valijson, with errors that name the place by JSON pointer.
#pragma once

#include "core/outcome.h"
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Onyxnotch {

// One rule that a document breaks.
struct SchemaViolation {
    std::string pointer {}; // RFC 6901, for instance "/objects/3/spec".
    std::string reason {};

    bool operator==(const SchemaViolation&) const = default;
};

// Empty where the document holds to the schema. `schemaText` must be a valid schema: it is our own, so a fault in it stops the process.
std::vector<SchemaViolation> checkSchema(const std::string& schemaText, const nlohmann::json& document);

// Parses JSON text; errors give line and column. Refuses documents nested deeper than 64 levels.
Result<nlohmann::json> parseJson(const std::string& text);

// Fills members that `document` lacks with the "default" of the schema, through nested objects.
void applySchemaDefaults(const nlohmann::json& schema, nlohmann::json& document);

} // namespace Onyxnotch
