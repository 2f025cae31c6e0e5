// Settings files of the programs: JSON, checked against a schema that also holds every default.
#pragma once

#include "core/log.h"
#include "modules/gateway/gateway.h"
#include "modules/placement/controller.h"

namespace Onyxnotch {

// The schemas; docs/operators/settings.md is made from them.
const std::string& gatewaySettingsSchema();
const std::string& controllerSettingsSchema();

// Errors: InvalidArgument, naming the file and the key as a JSON pointer.
Result<GatewayOptions> readGatewaySettings(const std::string& path);
Result<ControllerOptions> readControllerSettings(const std::string& path);

// The log options that stand in the same file.
Result<LogLevel> readLogLevel(const std::string& path);

} // namespace Onyxnotch
