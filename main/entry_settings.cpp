#include "main/entry_settings.h"

#include "core/settings_file.h"
#include "platform/duty_names.h"
#include "platform/wire_names.h"
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr const char* schemaText = R"json({
    "type": "object", "additionalProperties": false, "title": "onyxnotch-entry",
    "required": ["instance", "zone", "listen", "store"],
    "properties": {
        "instance": { "type": "string", "minLength": 1, "description": "Name of the instance that the process runs on, unlike any other's." },
        "zone": { "type": "string", "minLength": 1, "description": "Availability zone of the instance." },
        "listen": {
            "type": "object", "additionalProperties": false, "required": ["callers", "readiness", "control"],
            "description": "Addresses (HOST:PORT) where the process listens. Port 0 takes any free port, which the log event 'listening' names.",
            "properties": {
                "callers": { "type": "string", "description": "For requests." },
                "readiness": { "type": "string", "description": "For the balancer's question whether the process takes requests." },
                "control": { "type": "string", "description": "For other nodes (configuration) and for metrics." }
            }
        },
        "gossipPort": { "type": "integer", "minimum": 0, "maximum": 65535, "default": 0, "description": "UDP port for other nodes, the same on all." },
        "seeds": { "type": "array", "items": { "type": "string" }, "default": [], "description": "Addresses of a few nodes; their host counts, with the gossip port." },
        "store": { "type": "string", "description": "Address of the platform's object store." },
        "cloud": { "type": "string", "default": "", "description": "Address of the platform's cloud API. Without it the process has no duties." },
        "duties": { "type": "array", "items": { "type": "string" }, "default": [], "description": "The platform's names of the duties that one node at a time has." },
        "limits": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "What the process may use.",
            "properties": {
                "processorCores": { "type": "number", "minimum": 0, "default": 0, "description": "Of the processor, in cores; 0 where it is not known. In a large fleet the larger nodes relay what nodes tell each other." },
                "descriptors": { "type": "integer", "minimum": 64, "default": 4096, "description": "Open files and sockets." },
                "memoryMegabytes": { "type": "number", "minimum": 32, "default": 256, "description": "Memory of the process. A quarter of it may hold bodies of requests, and a quarter responses." }
            }
        },
        "retries": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "Further tries that all nodes together may make for a service.",
            "properties": {
                "perRequest": { "type": "number", "minimum": 0, "default": 0.2, "description": "As a part of its requests." },
                "reserve": { "type": "number", "minimum": 0, "default": 10, "description": "Beyond that, in each window." },
                "windowSeconds": { "type": "number", "minimum": 1, "default": 10, "description": "Length of a window. The retries are limited in every span of this length." }
            }
        },
        "teamLimits": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "What the platform tolerates above the limit of a team, over all nodes. Without it, nodes neither pace what they admit nor have a reserve after a start.",
            "properties": {
                "overshoot": { "type": "number", "minimum": 0, "maximum": 1, "default": 0, "description": "As a part of what the limit allows in a window." },
                "slackTokens": { "type": "number", "minimum": 0, "default": 0, "description": "Tokens beyond that in each window, for a limit in tokens." },
                "windowSeconds": { "type": "number", "minimum": 0.1, "default": 8, "description": "Length of the window." }
            }
        },
        "returnTurns": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "When callers whose requests were refused for lack of capacity are told to return.",
            "properties": {
                "enabled": { "type": "boolean", "default": true, "description": "Whether they return in turns that all nodes calculate alike, while a service is short of capacity. Off, each node estimates the time on its own." }
            }
        },
        "queueing": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "Requests that wait for a free place at an endpoint instead of being refused.",
            "properties": {
                "enabled": { "type": "boolean", "default": true, "description": "Whether requests wait at all." },
                "maximumEntries": { "type": "integer", "minimum": 1, "default": 256, "description": "Requests that may wait at one node." },
                "maximumWaitShare": { "type": "number", "minimum": 0, "maximum": 1, "default": 0.5, "description": "Longest wait, as a part of the objective of the route." }
            }
        },
        "rollouts": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "What a new version of a service may get before it is known to be good. Without it, all versions are used alike and no roll-out is carried out.",
            "properties": {
                "canaryShare": { "type": "number", "minimum": 0, "maximum": 1, "default": 0, "description": "Part of the service's requests between an order and its deadline. 0: no roll-outs." },
                "canarySlack": { "type": "number", "minimum": 0, "default": 0, "description": "Requests beyond that." }
            }
        },
        "suspects": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "Requests under which endpoints end.",
            "properties": {
                "livesUntilBlocked": { "type": "integer", "minimum": 0, "default": 3, "description": "How many endpoints may end under one request before no node sends it on. 0: no request is ever suspected." },
                "blockedSeconds": { "type": "number", "minimum": 1, "default": 600, "description": "For how long it is blocked at least, before one node after the other may try it again. Doubled each time that a trial ends an endpoint." }
            }
        },
        "endpointSpeeds": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "How fast endpoints of a service are, and how often they fail, as all nodes measure it.",
            "properties": {
                "enabled": { "type": "boolean", "default": true, "description": "Whether endpoints are chosen by it. Off, all endpoints of a service count as equally fast, and each node finds failing ones by itself." }
            }
        },
        "sharedAdmission": {
            "type": "object", "additionalProperties": false, "default": {},
            "description": "What all nodes together admit while a service is short of capacity: more urgent requests first, and fair shares of teams.",
            "properties": {
                "enabled": { "type": "boolean", "default": false, "description": "Off, each node admits what it expects to be on time." }
            }
        },
        "relays": { "type": "boolean", "default": true, "description": "Whether the nodes of a large fleet hear of each other by relays of their zones. Off, each tells as many others as it can." },
        "everyNodeUpTo": { "type": "integer", "minimum": 1, "default": 16, "description": "Up to so many nodes each one tells every other, and follows the store itself. A larger fleet uses relays." },
        "graceSeconds": { "type": "number", "minimum": 0.5, "default": 8, "description": "Time from the stop signal to the kill." },
        "leaseMs": { "type": "number", "minimum": 500, "default": 3000, "description": "How long a duty's lease holds without a renewal." },
        "startWaitMs": { "type": "integer", "minimum": 0, "default": 100, "description": "How long callers wait, after the start, for the configuration and the endpoints to be read, before they are refused." },
        "usageDueSeconds": { "type": "number", "minimum": 2, "default": 10, "description": "Time after a window's end in which its usage report is due." },
        "usageWindowSeconds": { "type": "number", "minimum": 0.1, "default": 5, "description": "Length of a window of the usage reports." },
        "logLevel": { "enum": ["debug", "info", "warning", "error"], "default": "info", "description": "Least level that is logged." }
    }
})json";

    constexpr unsigned reservedDescriptors = 300; // For files, connections to the store, and connections to endpoints that are starting.
    constexpr double clientDescriptorShare = 0.6; // Share of the remaining descriptors for client connections; the others are for endpoints.

    // Shares of the memory for buffered request bodies and for responses; the remainder is for everything else, such as socket buffers.
    constexpr double bodyMemoryShare = 0.25;
    constexpr double responseMemoryShare = 0.25;
    constexpr double bytesInMegabyte = 1048576;
    constexpr double percentInCore = 100;

    Milliseconds milliseconds(const Json& value) { return Milliseconds(static_cast<std::int64_t>(value.get<double>())); }
    Milliseconds millisecondsFromSeconds(const Json& value) { return Milliseconds(static_cast<std::int64_t>(value.get<double>() * 1000)); }

    Result<EntrySettings> decode(const Json& document)
    {
        EntrySettings settings;
        auto& entry = settings.entry;
        entry.node = document["instance"];
        entry.zone = document["zone"];
        const auto& listen = document["listen"];
        struct AddressSetting {
            const Json& text;
            Address& address;
        };
        for (auto& it : { AddressSetting { listen["callers"], entry.callers }, AddressSetting { listen["readiness"], entry.readiness },
                 AddressSetting { listen["control"], entry.control }, AddressSetting { document["store"], settings.store } }) {
            auto address = parseAddress(it.text.get<std::string>());
            if (!address)
                return address.error();
            it.address = address.value();
        }
        auto cloudText = document["cloud"].get<std::string>();
        bool hasCloud = !cloudText.empty();
        if (hasCloud) {
            BOOST_OUTCOME_TRY(cloud, parseAddress(cloudText));
            settings.cloud = cloud;
        }
        entry.gossip = { .host = entry.control.host, .port = document["gossipPort"] };
        for (const auto& it : document["seeds"]) {
            auto address = parseAddress(it.get<std::string>());
            if (!address)
                return address.error();
            if (address.value().host != entry.gossip.host)
                entry.seeds.push_back({ .host = address.value().host, .port = entry.gossip.port });
        }
        entry.processorPercent = static_cast<std::uint32_t>(document["limits"]["processorCores"].get<double>() * percentInCore);
        auto descriptors = document["limits"]["descriptors"].get<unsigned>();
        entry.forward.names = Platform::wireNames();
        entry.forward.zone = entry.zone;
        entry.forward.maximumClients = static_cast<unsigned>((std::max(descriptors, reservedDescriptors + 64) - reservedDescriptors) * clientDescriptorShare);
        auto memoryBytes = document["limits"]["memoryMegabytes"].get<double>() * bytesInMegabyte;
        entry.forward.maximumBufferedBodyBytes = static_cast<std::size_t>(memoryBytes * bodyMemoryShare);
        entry.forward.maximumResponseBytes = static_cast<std::size_t>(memoryBytes * responseMemoryShare);
        entry.forward.startupWait = milliseconds(document["startWaitMs"]);
        entry.forward.usageWindowMilliseconds = static_cast<unsigned>(millisecondsFromSeconds(document["usageWindowSeconds"]).count());
        entry.retries = { .perRequest = document["retries"]["perRequest"], .reserve = document["retries"]["reserve"], .window = millisecondsFromSeconds(document["retries"]["windowSeconds"]) };
        const auto& teamLimits = document["teamLimits"];
        entry.teamLimitTolerance = { .overshoot = teamLimits["overshoot"], .slackTokens = teamLimits["slackTokens"], .window = millisecondsFromSeconds(teamLimits["windowSeconds"]) };
        const auto& queueing = document["queueing"];
        entry.forward.queueing = { .enabled = queueing["enabled"], .maximumEntries = queueing["maximumEntries"], .maximumWaitShare = queueing["maximumWaitShare"] };
        auto& rollouts = entry.rollouts;
        rollouts.plan.canaryShare = document["rollouts"]["canaryShare"];
        rollouts.plan.canarySlack = document["rollouts"]["canarySlack"];
        rollouts.enabled = rollouts.plan.canaryShare > 0;
        entry.forward.rollouts = rollouts.enabled;
        entry.forward.suspects = { .node = entry.node, .livesUntilBlocked = document["suspects"]["livesUntilBlocked"], .blockedFor = millisecondsFromSeconds(document["suspects"]["blockedSeconds"]) };
        entry.forward.endpointSpeeds = document["endpointSpeeds"]["enabled"];
        entry.forward.returnTurns.enabled = document["returnTurns"]["enabled"];
        entry.forward.sharedAdmission = document["sharedAdmission"]["enabled"];
        entry.relays = document["relays"];
        entry.watching.everyNodeUpTo = document["everyNodeUpTo"];
        entry.grace = millisecondsFromSeconds(document["graceSeconds"]);
        auto lease = milliseconds(document["leaseMs"]);
        entry.duties.node = entry.node;
        // Three renewals per lease duration, so that one failed renewal does not lose the duty.
        entry.duties.lease = { .duration = lease, .renewEvery = lease / 3 };
        entry.duties.usage.windowMilliseconds = entry.forward.usageWindowMilliseconds;
        entry.duties.usage.dueMilliseconds = static_cast<std::uint64_t>(millisecondsFromSeconds(document["usageDueSeconds"]).count());
        auto duties = document["duties"].get<std::vector<std::string>>();
        entry.duties.reportsUsage = hasCloud && Platform::includesUsageReports(duties);
        entry.duties.ordersEndpoints = hasCloud && Platform::includesEndpointOrders(duties);
        settings.logLevel = parseLogLevel(document["logLevel"].get<std::string>());
        return settings;
    }

} // namespace

const std::string& entrySettingsSchema()
{
    static const std::string text = schemaText;
    return text;
}

Result<EntrySettings> readEntrySettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(document, readSettingsFile(path, entrySettingsSchema()));
    return decode(document);
}

} // namespace Onyxnotch
