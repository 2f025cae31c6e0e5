#include "servers/platform/object_client.h"

#include "core/json_decode.h"
#include "core/net/http_client.h"
#include "core/net/http_status.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    StoredObject objectFromJson(const Json& document)
    {
        return StoredObject {
            .key = document.at("key").get<std::string>(),
            .version = document.at("version").get<std::uint64_t>(),
            .value = document.contains("value") ? document.at("value").dump() : std::string(),
            .removed = document.value("removed", false),
        };
    }

    Error errorFromReply(const HttpReply& reply, const std::string& operation)
    {
        auto text = operation + ": HTTP " + std::to_string(reply.status) + " " + reply.body;
        if (reply.status == HttpStatus::preconditionFailed)
            return Error { ErrorCode::Conflict, text };
        if (reply.status == HttpStatus::tooManyRequests)
            return Error { ErrorCode::Exhausted, text };
        if (reply.status == HttpStatus::notFound)
            return Error { ErrorCode::NotFound, text };
        if (reply.status >= 500)
            return Error { ErrorCode::Ambiguous, text };
        return Error { ErrorCode::InvalidArgument, text };
    }

    template <typename Value, typename Read>
    Result<Value> decodeBody(const HttpReply& reply, Read decode)
    {
        return decodeJson<Value>(reply.body, ErrorCode::Ambiguous, "object API answer", decode);
    }

    ObjectBatch batchFromJson(const Json& document)
    {
        ObjectBatch batch;
        batch.revision = document.at("revision").get<std::uint64_t>();
        for (const auto& it : document.at("objects"))
            batch.objects.push_back(objectFromJson(it));
        return batch;
    }

} // namespace

ObjectClient::ObjectClient(const ObjectClientOptions& options)
    : m_options(options)
{
}

Result<std::optional<StoredObject>> ObjectClient::get(const std::string& key) const
{
    HttpCall call { .path = "/v1/objects/" + key, .connectTimeout = m_options.connectTimeout, .readTimeout = m_options.callTimeout };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_options.address, call));
    if (reply.status == HttpStatus::notFound)
        return std::optional<StoredObject>();
    if (!reply.ok())
        return errorFromReply(reply, "get " + key);
    return decodeBody<std::optional<StoredObject>>(reply, [](const Json& document) { return std::optional(objectFromJson(document)); });
}

Result<ObjectBatch> ObjectClient::list(const std::string& prefix, const std::string& afterKey) const
{
    ObjectBatch allObjects;
    auto after = afterKey;
    while (true) {
        HttpCall call { .path = pathWithQuery("/v1/objects", { { "prefix", prefix }, { "after", after } }), .connectTimeout = m_options.connectTimeout, .readTimeout = m_options.callTimeout };
        BOOST_OUTCOME_TRY(reply, sendHttp(m_options.address, call));
        if (!reply.ok())
            return errorFromReply(reply, "list " + prefix);
        BOOST_OUTCOME_TRY(page, decodeBody<ObjectBatch>(reply, batchFromJson));
        // Watching must start at the first page's revision: changes made while later pages were read are then reported again, not missed.
        if (allObjects.revision == 0)
            allObjects.revision = page.revision;
        if (page.objects.empty())
            return allObjects;
        after = page.objects.back().key;
        allObjects.objects.insert(allObjects.objects.end(), page.objects.begin(), page.objects.end());
    }
}

Result<std::uint64_t> ObjectClient::put(const std::string& key, const std::string& value, const std::string& conditionName, const std::string& condition) const
{
    HttpCall call {
        .method = "PUT",
        .path = "/v1/objects/" + key,
        .headers = { { conditionName, condition } },
        .body = value,
        .connectTimeout = m_options.connectTimeout,
        .readTimeout = m_options.callTimeout,
    };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_options.address, call));
    if (!reply.ok())
        return errorFromReply(reply, "put " + key);
    return decodeBody<std::uint64_t>(reply, [](const Json& document) { return document.at("version").get<std::uint64_t>(); });
}

Result<std::uint64_t> ObjectClient::create(const std::string& key, const std::string& value) const
{
    return put(key, value, "If-None-Match", "*");
}

Result<std::uint64_t> ObjectClient::update(const std::string& key, const std::string& value, std::uint64_t version) const
{
    return put(key, value, "If-Match", std::to_string(version));
}

Status ObjectClient::remove(const std::string& key, std::uint64_t version) const
{
    HttpCall call {
        .method = "DELETE",
        .path = "/v1/objects/" + key,
        .headers = { { "If-Match", std::to_string(version) } },
        .connectTimeout = m_options.connectTimeout,
        .readTimeout = m_options.callTimeout,
    };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_options.address, call));
    if (!reply.ok())
        return errorFromReply(reply, "remove " + key);
    return success();
}

Result<ObjectBatch> ObjectClient::watch(const std::string& prefix, std::uint64_t revision, Milliseconds wait) const
{
    HttpCall call {
        .path = "/v1/watch?prefix=" + prefix + "&revision=" + std::to_string(revision) + "&wait_ms=" + std::to_string(wait.count()),
        .connectTimeout = m_options.connectTimeout,
        .readTimeout = wait + m_options.callTimeout,
    };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_options.address, call));
    if (!reply.ok())
        return errorFromReply(reply, "watch " + prefix);
    return decodeBody<ObjectBatch>(reply, batchFromJson);
}

} // namespace Onyxnotch
