// The list of model engines that controllers publish, one JSON document for each availability zone, and its encoding.
#pragma once

#include "core/json_decode.h"
#include "core/net/address.h"
#include "core/outcome.h"
#include "modules/declaration/selector.h"
#include "servers/platform/cloud_client.h"
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

// A model engine. Accepts requests once its model is loaded.
struct Endpoint {
    std::string id {}; // Cloud id of the instance that runs the engine; a replacement instance has a different id.
    Address address {};
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    double pricePerHour { 0 };
    std::string model {}; // Name of the loaded model version; empty while it loads.
    std::vector<std::string> adapters {};

    bool operator==(const Endpoint&) const = default;
};

// The endpoints of an availability zone. `version` is assigned by the object service and increases with each change.
struct ZoneEndpoints {
    std::string zone {};
    std::uint64_t version { 0 };
    std::vector<Endpoint> endpoints {};

    bool operator==(const ZoneEndpoints&) const = default;
};

nlohmann::json endpointToJson(const Endpoint&);
// Throws nlohmann::json::exception if a field is missing or has the wrong type. Call it from a decodeJson() function only, which
// converts the exception to an error.
Endpoint endpointFromJson(const nlohmann::json&);

std::string encodeEndpoints(const std::vector<Endpoint>&);
Result<std::vector<Endpoint>> decodeEndpoints(const std::string& text);

} // namespace Onyxnotch
