// Reads the settings files of onyxnotch-gateway and onyxnotch-controller: JSON that is validated against a schema, which also defines the
// defaults.
#pragma once

#include "core/log.h"
#include "modules/gateway/gateway.h"
#include "modules/placement/controller.h"

namespace Onyxnotch {

// The JSON Schemas of the settings files. docs/operators/settings.md is generated from them.
const std::string& gatewaySettingsSchema();
const std::string& controllerSettingsSchema();

// Read and validate a file. Errors: InvalidArgument, with the file and the JSON pointer of the invalid key.
Result<GatewayOptions> readGatewaySettings(const std::string& path);
Result<ControllerOptions> readControllerSettings(const std::string& path);

// Reads the log level from the same settings file.
Result<LogLevel> readLogLevel(const std::string& path);

} // namespace Onyxnotch
