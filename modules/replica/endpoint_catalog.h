// The endpoints that exist, as the controllers publish them: one document for each availability zone.
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

// A model engine that can be given work once its model is loaded.
struct Endpoint {
    std::string id {}; // The cloud instance id: a replacement has another one.
    Address address {};
    std::string zone {};
    std::string machineClass {};
    Market market { Market::OnDemand };
    double pricePerHour { 0 };
    std::string model {}; // Name of the loaded model version; empty while it loads.
    std::vector<std::string> adapters {};

    bool operator==(const Endpoint&) const = default;
};

// The endpoints of a zone at one version. Versions come from the object service and only grow.
struct ZoneEndpoints {
    std::string zone {};
    std::uint64_t version { 0 };
    std::vector<Endpoint> endpoints {};

    bool operator==(const ZoneEndpoints&) const = default;
};

nlohmann::json endpointToJson(const Endpoint&);
// Throws nlohmann::json::exception on another shape; for use within decodeJson.
Endpoint endpointFromJson(const nlohmann::json&);

std::string encodeEndpoints(const std::vector<Endpoint>&);
Result<std::vector<Endpoint>> decodeEndpoints(const std::string& text);

} // namespace Onyxnotch
