#include "servers/platform/cloud_client.h"

#include "core/json_decode.h"
#include "core/net/http_client.h"
#include "core/net/http_status.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds callTimeout { 2000 };

    Market marketFromText(const std::string& text)
    {
        return text == "reclaimable" ? Market::Reclaimable : Market::OnDemand;
    }

    CloudInstance instanceFromJson(const Json& document)
    {
        CloudInstance instance {
            .id = document.at("id"),
            .clientToken = document.at("client_token"),
            .zone = document.at("zone"),
            .machineClass = document.at("class"),
            .market = marketFromText(document.at("market")),
            .address = {},
            .running = document.at("state") == "running",
        };
        auto address = parseAddress(document.at("address").get<std::string>());
        if (address)
            instance.address = address.value();
        return instance;
    }

    // Sends the request and decodes its JSON response with `decode`. HTTP 409 means that the cloud has no capacity.
    template <typename Value, typename Read>
    Result<Value> call(const Address& address, HttpCall request, Read decode)
    {
        if (request.readTimeout < callTimeout)
            request.readTimeout = callTimeout;
        BOOST_OUTCOME_TRY(reply, sendHttp(address, request));
        if (reply.status == HttpStatus::conflict)
            return Error { ErrorCode::Exhausted, "cloud: no capacity: " + reply.body };
        if (!reply.ok())
            return Error { ErrorCode::Ambiguous, "cloud: HTTP " + std::to_string(reply.status) + " " + reply.body };
        return decodeJson<Value>(reply.body, ErrorCode::Ambiguous, "cloud answer", decode);
    }

} // namespace

std::string toString(Market market)
{
    return market == Market::Reclaimable ? "reclaimable" : "on-demand";
}

CloudClient::CloudClient(const Address& cloud, const Address& instanceList)
    : m_cloud(cloud)
    , m_instanceList(instanceList)
{
}

Result<std::vector<Offer>> CloudClient::offers() const
{
    return call<std::vector<Offer>>(m_cloud, { .path = "/v1/offers" }, [](const Json& document) {
        std::vector<Offer> offers;
        for (const auto& it : document.at("offers"))
            offers.push_back({ .zone = it.at("zone"), .machineClass = it.at("class"), .market = marketFromText(it.at("market")), .pricePerHour = it.at("price_per_hour") });
        return offers;
    });
}

Result<CloudInstance> CloudClient::start(const Offer& offer, const std::string& clientToken) const
{
    Json order { { "client_token", clientToken }, { "zone", offer.zone }, { "class", offer.machineClass }, { "market", toString(offer.market) } };
    return call<CloudInstance>(m_cloud, { .method = "POST", .path = "/v1/instances", .headers = {}, .body = order.dump() }, instanceFromJson);
}

Result<std::vector<CloudInstance>> CloudClient::instances() const
{
    return call<std::vector<CloudInstance>>(m_cloud, { .path = "/v1/instances" }, [](const Json& document) {
        std::vector<CloudInstance> instances;
        for (const auto& it : document.at("instances"))
            instances.push_back(instanceFromJson(it));
        return instances;
    });
}

Status CloudClient::terminate(const std::string& instance) const
{
    BOOST_OUTCOME_TRY(done, call<bool>(m_cloud, { .method = "DELETE", .path = "/v1/instances/" + instance }, [](const Json&) { return true; }));
    (void)done;
    return success();
}

Result<std::vector<ReclaimNotice>> CloudClient::notices(std::uint64_t after, Milliseconds wait) const
{
    HttpCall request { .path = "/v1/notices?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count()), .readTimeout = wait + callTimeout };
    return call<std::vector<ReclaimNotice>>(m_cloud, request, [](const Json& document) {
        std::vector<ReclaimNotice> notices;
        for (const auto& it : document.at("notices"))
            notices.push_back({ .sequence = it.at("sequence"), .instance = it.at("instance"), .timeLeft = Milliseconds(it.at("time_left_ms").get<std::int64_t>()) });
        return notices;
    });
}

Result<std::vector<ListedInstance>> CloudClient::listedInstances() const
{
    return call<std::vector<ListedInstance>>(m_instanceList, { .path = "/v1/instances" }, [](const Json& document) {
        std::vector<ListedInstance> instances;
        for (const auto& it : document.at("instances"))
            instances.push_back({ .id = it.at("id"), .leaving = it.at("state") == "leaving" });
        return instances;
    });
}

} // namespace Onyxnotch
