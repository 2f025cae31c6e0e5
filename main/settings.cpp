#include "main/settings.h"

#include "core/file.h"
#include "core/json_schema.h"
#include "core/settings_file.h"
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    // Schema properties that both daemons have. buildSchema() appends the properties of one daemon.
    constexpr const char* commonProperties = R"json(
        "instance": { "type": "string", "pattern": "^[a-z0-9][-a-z0-9.]*$", "description": "The cloud's id of the instance that the process runs on." },
        "zone": { "type": "string", "minLength": 1, "description": "Availability zone of the instance." },
        "region": { "type": "string", "default": "", "description": "Region of the zone." },
        "listen": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "Where the process listens. Port 0 takes any free port, which the log event 'listening' names.",
            "properties": {
                "host": { "type": "string", "default": "127.0.0.1", "description": "Numeric IP address." },
                "httpPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "Port for callers and operators." },
                "peerPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "TCP port for other nodes." },
                "gossipPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "UDP port for other nodes." }
            }
        },
        "advertise": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "What others are told, where it differs from where the process listens.",
            "properties": {
                "host": { "type": "string", "default": "", "description": "Numeric IP address; empty for that of 'listen'." },
                "httpPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "0 for the bound one." },
                "peerPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "0 for the bound one." },
                "gossipPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "0 for the bound one." }
            }
        },
        "seeds": { "type": "array", "items": { "type": "string" }, "default": [], "description": "Peer addresses (HOST:PORT) of nodes to join, best of several zones." },
        "platform": {
            "type": "object", "additionalProperties": false, "required": ["objects", "cloud", "instanceList"],
            "description": "Addresses (HOST:PORT) of the platform's services.",
            "properties": {
                "objects": { "type": "string", "description": "Object API." },
                "cloud": { "type": "string", "description": "Cloud API." },
                "instanceList": { "type": "string", "description": "Instance list." }
            }
        },
        "membership": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "How nodes watch each other.",
            "properties": {
                "probePeriodMs": { "type": "integer", "minimum": 50, "default": 1000, "description": "Time between two probes of this node." },
                "probeTimeoutMs": { "type": "integer", "minimum": 10, "default": 400, "description": "Time after which other nodes are asked to probe as well." },
                "suspicionMs": { "type": "integer", "minimum": 100, "default": 3000, "description": "Time in which a suspected node can show that it is alive." }
            }
        },
        "limits": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "Sizes that no input can exceed.",
            "properties": {
                "members": { "type": "integer", "minimum": 1, "default": 4096, "description": "Nodes that are known; news of more is dropped." },
                "leavingMarks": { "type": "integer", "minimum": 1, "default": 65536, "description": "Marks that are kept; at the limit the first one goes." },
                "peerConnections": { "type": "integer", "minimum": 1, "default": 1024, "description": "Connections of other nodes; one more is closed at once." }
            }
        },
        "watchersPerZone": { "type": "integer", "minimum": 1, "default": 2, "description": "Nodes of a zone that watch the platform; the others hear of changes from them." },
        "logLevel": { "enum": ["debug", "info", "warning", "error"], "default": "info", "description": "Least level that is logged." },
)json";

    constexpr const char* gatewayProperties = R"json(
        "httpThreads": { "type": "integer", "minimum": 4, "maximum": 20000, "default": 2000, "description": "Connections that are served at once; one thread each." },
        "maximumBodyBytes": { "type": "integer", "minimum": 1024, "default": 4194304, "description": "Of a request's body." },
        "operatorKeyDigest": { "type": "string", "default": "", "description": "SHA-256 of the operators' key; empty: status and explain need no key." },
        "addressesValidMs": { "type": "integer", "minimum": 0, "default": 30000, "description": "How long callers may keep an answer about addresses." },
        "ticketLifetimeMs": { "type": "integer", "minimum": 100, "default": 60000, "description": "How long a ticket can be used." },
        "maximumActive": { "type": "integer", "minimum": 1, "default": 1800, "description": "Requests that run at once; more are refused." },
        "reservedForHigherPriority": { "type": "integer", "minimum": 0, "default": 100, "description": "Of those, kept for teams with a priority over 0." },
        "maximumLedgerEntries": { "type": "integer", "minimum": 1, "default": 20000, "description": "Used tickets that are remembered; when it is full, requests are refused." },
        "requestDeadlineMs": { "type": "integer", "minimum": 100, "default": 300000, "description": "Longest time of a request." },
        "retentionMs": { "type": "integer", "minimum": 0, "default": 60000, "description": "How long a finished answer can be read again." },
        "unreadLimitMs": { "type": "integer", "minimum": 100, "default": 30000, "description": "A request that nobody reads for so long is cancelled." },
        "endpointWaitMs": { "type": "integer", "minimum": 0, "default": 5000, "description": "How long a request waits for an endpoint where none serves its model." },
        "drainLimitMs": { "type": "integer", "minimum": 0, "default": 30000, "description": "At a planned stop: time for requests to end before they are handed over." },
        "loadPeriodMs": { "type": "integer", "minimum": 50, "default": 500, "description": "Time between two load reports of an endpoint." },
        "endpointSubset": { "type": "integer", "minimum": 1, "default": 64, "description": "Endpoints of one model that this gateway routes to, and whose load it asks for." },
        "timelyPart": { "type": "number", "minimum": 0, "default": 0.5, "description": "A model request is refused at once where no engine is idle and its first token is expected later than this part of its service's objective; 0: never." },
        "routingPolicy": { "enum": ["cheapest-in-time", "random", "least-reported-load", "two-choices"], "default": "cheapest-in-time", "description": "How endpoints are chosen; all but the default are baselines to measure against." },
        "reclaimPolicy": { "enum": ["least-recomputation", "prefill-again"], "default": "least-recomputation", "description": "What happens to streams of a leaving engine; 'prefill-again' is a baseline to measure against." },
        "batchSlots": { "type": "integer", "minimum": 1, "default": 32, "description": "Streams that routing expects an engine to run at once." },
        "tokenMs": { "type": "number", "minimum": 0.1, "default": 30, "description": "Time between two tokens that routing expects." },
        "prefillTokensPerSecond": { "type": "number", "minimum": 1, "default": 8000, "description": "What routing expects of an engine." },
        "transferTokensPerSecond": { "type": "number", "minimum": 1, "default": 200000, "description": "KV cache between engines, as tokens." },
        "maximumAdoptedLedgers": { "type": "integer", "minimum": 0, "default": 64, "description": "Ledgers of leaving nodes that this node answers for; more are refused, and the leaving node asks another one." },
        "maximumAttempts": { "type": "integer", "minimum": 1, "default": 12, "description": "Engines that one model request is started at." },
        "retriesPerRequest": { "type": "number", "minimum": 0, "default": 0.2, "description": "Retries that the node allows itself, as a part of its requests; beyond that requests are refused." },
        "retryBurst": { "type": "number", "minimum": 1, "default": 10, "description": "Retries that may come at once." },
        "handoverTimeoutMs": { "type": "integer", "minimum": 50, "default": 1000, "description": "Of one message to a successor." }
)json";

    constexpr const char* controllerProperties = R"json(
        "leaseDurationMs": { "type": "integer", "minimum": 500, "default": 10000, "description": "How long a lease holds without a renewal." },
        "leaseRenewMs": { "type": "integer", "minimum": 100, "default": 3000, "description": "Time between renewals." },
        "periodMs": { "type": "integer", "minimum": 50, "default": 500, "description": "Time between two rounds." },
        "refusalMemoryMs": { "type": "integer", "minimum": 0, "default": 30000, "description": "How long an offer that the cloud refused is not tried again." },
        "longestOrderMs": { "type": "integer", "minimum": 100, "default": 8000, "description": "Longest time that an engine takes for an order." },
        "longestTerminationMs": { "type": "integer", "minimum": 100, "default": 2500, "description": "Longest time that the cloud takes to end an instance." },
        "retireMs": { "type": "integer", "minimum": 0, "default": 30000, "description": "Time for streams at an endpoint that is no longer wanted." }
)json";

    // Builds a complete settings schema from the common properties and those of one daemon.
    std::string buildSchema(const std::string& title, const std::string& properties)
    {
        return R"({"$schema":"http://json-schema.org/draft-07/schema#","title":")" + title + R"(","type":"object","additionalProperties":false,"required":["instance","zone","platform"],"properties":{)" + commonProperties + properties + "}}";
    }

    // Reads a member that is an integer number of milliseconds.
    Milliseconds milliseconds(const Json& document, const char* name) { return Milliseconds(document.at(name).get<std::int64_t>()); }

    // Decodes the settings that both daemons have. Errors: InvalidArgument for an invalid address.
    Result<NodeOptions> decodeNodeOptions(const std::string& path, const Json& document, MemberRole role)
    {
        const auto& listen = document.at("listen");
        const auto& advertise = document.at("advertise");
        const auto& membership = document.at("membership");
        NodeOptions options {
            .instance = document.at("instance"),
            .zone = document.at("zone"),
            .region = document.at("region"),
            .role = role,
            .host = listen.at("host"),
            .advertisedHost = advertise.at("host"),
            .peerPort = listen.at("peerPort"),
            .gossipPort = listen.at("gossipPort"),
            .advertisedPeerPort = advertise.at("peerPort"),
            .advertisedGossipPort = advertise.at("gossipPort"),
        };
        options.membership.probePeriod = milliseconds(membership, "probePeriodMs");
        options.membership.probeTimeout = milliseconds(membership, "probeTimeoutMs");
        options.membership.table.suspicionTime = milliseconds(membership, "suspicionMs");
        const auto& limits = document.at("limits");
        options.membership.table.maximumMembers = limits.at("members");
        options.membership.maximumMarks = limits.at("leavingMarks");
        options.maximumPeerConnections = limits.at("peerConnections");
        options.watcher.watchersPerZone = document.at("watchersPerZone");
        auto readAddress = [&](const std::string& pointer, const std::string& text, Address& target) -> Status {
            auto address = parseAddress(text);
            if (!address)
                return Error { ErrorCode::InvalidArgument, path + ": " + pointer + ": " + address.error().message };
            target = address.value();
            return success();
        };
        const auto& platform = document.at("platform");
        BOOST_OUTCOME_TRYV(readAddress("/platform/objects", platform.at("objects"), options.platform.objects));
        BOOST_OUTCOME_TRYV(readAddress("/platform/cloud", platform.at("cloud"), options.platform.cloud));
        BOOST_OUTCOME_TRYV(readAddress("/platform/instanceList", platform.at("instanceList"), options.platform.instanceList));
        for (std::size_t n = 0; n < document.at("seeds").size(); ++n) {
            Address seed;
            BOOST_OUTCOME_TRYV(readAddress("/seeds/" + std::to_string(n), document["seeds"][n], seed));
            options.seeds.push_back(seed);
        }
        return options;
    }

} // namespace

const std::string& gatewaySettingsSchema()
{
    static const std::string schema = buildSchema("Settings of onyxnotch-gateway", gatewayProperties);
    return schema;
}

const std::string& controllerSettingsSchema()
{
    static const std::string schema = buildSchema("Settings of onyxnotch-controller", controllerProperties);
    return schema;
}

Result<GatewayOptions> readGatewaySettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(document, readSettingsFile(path, gatewaySettingsSchema()));
    BOOST_OUTCOME_TRY(node, decodeNodeOptions(path, document, MemberRole::Gateway));
    GatewayOptions options { .node = node };
    const auto& listen = document.at("listen");
    options.http = { .host = listen.at("host"), .port = listen.at("httpPort"), .threads = document.at("httpThreads"), .maximumBodyBytes = document.at("maximumBodyBytes") };
    options.advertisedHttpPort = document.at("advertise").at("httpPort");
    options.api = { .instance = node.instance, .zone = node.zone, .operatorKeyDigest = document.at("operatorKeyDigest"), .addressesValidity = milliseconds(document, "addressesValidMs") };
    options.requests.admission = { .maximumActive = document.at("maximumActive"), .reservedForHigherPriority = document.at("reservedForHigherPriority") };
    options.requests.maximumActiveWithHandovers = 2 * options.requests.admission.maximumActive;
    options.requests.ledgers.ticketLifetime = milliseconds(document, "ticketLifetimeMs");
    options.requests.ledgers.ledger.maximumEntries = document.at("maximumLedgerEntries");
    options.requests.ledgers.maximumAdoptedLedgers = document.at("maximumAdoptedLedgers");
    options.requests.runner.maximumAttempts = document.at("maximumAttempts");
    options.requests.retriesPerRequest = document.at("retriesPerRequest");
    options.requests.retryBurst = document.at("retryBurst");
    options.requests.requestDeadline = milliseconds(document, "requestDeadlineMs");
    options.requests.retention = milliseconds(document, "retentionMs");
    options.requests.runner.unreadLimit = milliseconds(document, "unreadLimitMs");
    options.requests.runner.endpointWait = milliseconds(document, "endpointWaitMs");
    options.requests.runner.reclaim.transferTokensPerSecond = document.at("transferTokensPerSecond");
    options.requests.handover.callTimeout = milliseconds(document, "handoverTimeoutMs");
    options.requests.timelyPart = document.at("timelyPart");
    options.endpointSubset = document.at("endpointSubset");
    options.routingPolicy = document.at("routingPolicy");
    options.requests.runner.reclaim.isMoveAllowed = document.at("reclaimPolicy") == "least-recomputation";
    options.routing.batchSlots = document.at("batchSlots");
    static constexpr double millisecondsPerSecond = 1000;
    options.routing.tokenSeconds = document.at("tokenMs").get<double>() / millisecondsPerSecond;
    options.routing.prefillTokensPerSecond = document.at("prefillTokensPerSecond");
    options.drainLimit = milliseconds(document, "drainLimitMs");
    options.loadPeriod = milliseconds(document, "loadPeriodMs");
    return options;
}

Result<ControllerOptions> readControllerSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(document, readSettingsFile(path, controllerSettingsSchema()));
    BOOST_OUTCOME_TRY(node, decodeNodeOptions(path, document, MemberRole::Controller));
    ControllerOptions options { .node = node };
    const auto& listen = document.at("listen");
    static constexpr unsigned controllerThreads = 8;
    options.http = { .host = listen.at("host"), .port = listen.at("httpPort"), .threads = controllerThreads };
    options.lease = { .duration = milliseconds(document, "leaseDurationMs"), .renewEvery = milliseconds(document, "leaseRenewMs") };
    options.period = milliseconds(document, "periodMs");
    options.refusalRetention = milliseconds(document, "refusalMemoryMs");
    options.zone.orderTimeout = milliseconds(document, "longestOrderMs");
    options.zone.terminationTimeout = milliseconds(document, "longestTerminationMs");
    options.zone.retirementDrainTime = milliseconds(document, "retireMs");
    return options;
}

Result<LogLevel> readLogLevel(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    BOOST_OUTCOME_TRY(document, parseJson(text));
    return parseLogLevel(document.value("logLevel", "info"));
}

} // namespace Onyxnotch
