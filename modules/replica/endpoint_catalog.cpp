#include "modules/replica/endpoint_catalog.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

} // namespace

Json endpointToJson(const Endpoint& endpoint)
{
    return {
        { "id", endpoint.id },
        { "address", endpoint.address.text() },
        { "zone", endpoint.zone },
        { "class", endpoint.machineClass },
        { "market", toString(endpoint.market) },
        { "price_per_hour", endpoint.pricePerHour },
        { "model", endpoint.model },
        { "adapters", endpoint.adapters },
    };
}

Endpoint endpointFromJson(const Json& source)
{
    Endpoint endpoint {
        .id = source.at("id"),
        .address = {},
        .zone = source.at("zone"),
        .machineClass = source.at("class"),
        .market = source.at("market") == "reclaimable" ? Market::Reclaimable : Market::OnDemand,
        .pricePerHour = source.at("price_per_hour"),
        .model = source.at("model"),
        .adapters = source.at("adapters"),
    };
    auto address = parseAddress(source.at("address").get<std::string>());
    if (address)
        endpoint.address = address.value();
    return endpoint;
}

std::string encodeEndpoints(const std::vector<Endpoint>& endpoints)
{
    Json document { { "endpoints", Json::array() } };
    for (const auto& it : endpoints)
        document["endpoints"].push_back(endpointToJson(it));
    return document.dump();
}

Result<std::vector<Endpoint>> decodeEndpoints(const std::string& text)
{
    return decodeJson<std::vector<Endpoint>>(text, ErrorCode::InvalidArgument, "endpoint document", [](const Json& document) {
        std::vector<Endpoint> endpoints;
        for (const auto& it : document.at("endpoints"))
            endpoints.push_back(endpointFromJson(it));
        return endpoints;
    });
}

} // namespace Onyxnotch
