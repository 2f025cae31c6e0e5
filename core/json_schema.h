// JSON parsing and JSON Schema validation (with valijson). Violations are located by JSON pointers.
#pragma once

#include "core/outcome.h"
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Onyxnotch {

// A schema rule that a document violates.
struct SchemaViolation {
    std::string pointer {}; // JSON pointer (RFC 6901) of the invalid value, e.g. "/objects/3/spec".
    std::string reason {};

    bool operator==(const SchemaViolation&) const = default;
};

// Returns an empty list if the document is valid. `schemaText` must be a valid schema: all schemas are built into the programs, so an
// invalid one raises an uncaught exception that terminates the process.
std::vector<SchemaViolation> checkSchema(const std::string& schemaText, const nlohmann::json& document);

// Parses JSON text. Errors: InvalidArgument, with line and column, or if the document is nested deeper than 64 levels.
Result<nlohmann::json> parseJson(const std::string& text);

// Adds members missing from `document` with the "default" values of the schema, recursively through nested objects.
void applySchemaDefaults(const nlohmann::json& schema, nlohmann::json& document);

} // namespace Onyxnotch
