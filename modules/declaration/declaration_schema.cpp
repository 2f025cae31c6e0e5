#include "modules/declaration/configuration.h"

namespace Onyxnotch {

// Each kind has its own branch under "allOf", so that a validation error points to the member of the spec and not to the entire object.
const std::string& declarationSchema()
{
    static const std::string schema = R"json({
    "$schema": "http://json-schema.org/draft-07/schema#",
    "title": "An onyxnotch declaration",
    "type": "object",
    "required": ["objects"],
    "additionalProperties": false,
    "properties": {
        "objects": { "type": "array", "maxItems": 10000, "items": { "$ref": "#/definitions/object" } }
    },
    "definitions": {
        "name": { "type": "string", "pattern": "^[a-z0-9]([-a-z0-9.]{0,61}[a-z0-9])?$" },
        "labels": { "type": "object", "maxProperties": 64, "additionalProperties": { "type": "string", "maxLength": 256 } },
        "selector": {
            "type": "object",
            "additionalProperties": false,
            "properties": {
                "matchLabels": { "$ref": "#/definitions/labels" },
                "matchExpressions": {
                    "type": "array",
                    "items": {
                        "type": "object",
                        "required": ["key", "operator"],
                        "additionalProperties": false,
                        "properties": {
                            "key": { "type": "string" },
                            "operator": { "enum": ["In", "NotIn", "Exists", "DoesNotExist"] },
                            "values": { "type": "array", "items": { "type": "string" } }
                        }
                    }
                }
            }
        },
        "object": {
            "type": "object",
            "required": ["kind", "name", "spec"],
            "additionalProperties": false,
            "properties": {
                "kind": { "enum": ["Adapter", "Drain", "ModelVersion", "PlacementRule", "Service", "Team"] },
                "name": { "$ref": "#/definitions/name" },
                "labels": { "$ref": "#/definitions/labels" },
                "changedAt": { "type": "integer" },
                "spec": { "type": "object" }
            },
            "allOf": [
                { "if": { "properties": { "kind": { "const": "Adapter" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/adapter" } } } },
                { "if": { "properties": { "kind": { "const": "Drain" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/drain" } } } },
                { "if": { "properties": { "kind": { "const": "ModelVersion" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/modelVersion" } } } },
                { "if": { "properties": { "kind": { "const": "PlacementRule" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/placementRule" } } } },
                { "if": { "properties": { "kind": { "const": "Service" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/service" } } } },
                { "if": { "properties": { "kind": { "const": "Team" } } }, "then": { "properties": { "spec": { "$ref": "#/definitions/team" } } } }
            ]
        },
        "adapter": {
            "required": ["model", "weights"],
            "additionalProperties": false,
            "properties": { "model": { "type": "string" }, "weights": { "type": "string" } }
        },
        "drain": {
            "required": ["instance"],
            "additionalProperties": false,
            "properties": { "instance": { "type": "string" } }
        },
        "modelVersion": {
            "required": ["model", "version", "weights"],
            "additionalProperties": false,
            "properties": { "model": { "type": "string" }, "version": { "type": "integer", "minimum": 1 }, "weights": { "type": "string" } }
        },
        "placementRule": {
            "required": ["services", "offers", "replicas"],
            "additionalProperties": false,
            "properties": {
                "services": { "$ref": "#/definitions/selector" },
                "offers": { "$ref": "#/definitions/selector" },
                "replicas": { "type": "integer", "minimum": 0, "maximum": 20000 },
                "minimumZones": { "type": "integer", "minimum": 1, "maximum": 100 },
                "checksFences": { "type": "boolean" }
            }
        },
        "service": {
            "required": ["type"],
            "additionalProperties": false,
            "properties": {
                "type": { "enum": ["model", "plain"] },
                "models": { "$ref": "#/definitions/selector" },
                "adapter": { "type": "string" },
                "repeatable": { "type": "boolean" },
                "endpoints": {
                    "type": "array",
                    "items": {
                        "type": "object",
                        "required": ["id", "address"],
                        "additionalProperties": false,
                        "properties": { "id": { "type": "string" }, "address": { "type": "string" }, "zone": { "type": "string" } }
                    }
                },
                "objective": {
                    "type": "object",
                    "additionalProperties": false,
                    "properties": {
                        "firstTokenMs": { "type": "integer", "minimum": 1 },
                        "betweenTokensMs": { "type": "integer", "minimum": 1 },
                        "part": { "type": "number", "minimum": 0, "maximum": 1 }
                    }
                }
            }
        },
        "team": {
            "required": ["keyDigests"],
            "additionalProperties": false,
            "properties": {
                "keyDigests": { "type": "array", "maxItems": 16, "items": { "type": "string", "pattern": "^[0-9a-f]{64}$" } },
                "services": { "$ref": "#/definitions/selector" },
                "requestsPerSecond": { "type": "number", "minimum": 0 },
                "priority": { "type": "integer", "minimum": -100, "maximum": 100 }
            }
        }
    }
})json";
    return schema;
}

} // namespace Onyxnotch
