// Objects of a small site, and what all cases do at the start.
#pragma once

#include "review/common/node.h"
#include "review/common/store.h"

namespace Review {

struct RouteOptions {
    std::string prefix {};
    std::string kind {};
    int attempts { 1 };
    bool isResumable { false };
    int objectiveMilliseconds { 300 };
    int timeoutMilliseconds { 4000 };
};

constexpr auto siteHost = "yard.example";
constexpr auto siteService = "yard-app";

inline std::string siteConfiguration(const RouteOptions& route)
{
    Json routeObject { { "name", "route-1" }, { "host", siteHost }, { "pathPrefix", route.prefix }, { "routeKind", route.kind }, { "service", siteService },
        { "timeoutMs", route.timeoutMilliseconds }, { "goalMs", route.objectiveMilliseconds }, { "priority", 2 }, { "maxAttempts", route.attempts }, { "resumable", route.isResumable } };
    Json service { { "name", siteService }, { "healthPath", "/healthz" }, { "maxConns", 110 } };
    Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } };
    return Json { { "version", 1 }, { "routes", { routeObject } }, { "services", { service } }, { "limits", limits } }.dump();
}

// The entry of a server in the store.
inline std::string serverEntry(const std::string& address, const std::string& state, unsigned slots)
{
    return Json { { "service", siteService }, { "address", address }, { "zone", "kushiro-hall" }, { "version", "1" }, { "slots", slots }, { "state", state }, { "coldLeftMs", 0 }, { "sequence", 1 } }.dump();
}

struct CaseArguments {
    std::string folder {}; // For settings and logs of the processes.
    std::string recordPath {};
    bool hasTrouble { true };
};

inline std::optional<CaseArguments> readArguments(int argc, char** argv)
{
    if (argc != 3)
        return std::nullopt;
    const char* trouble = std::getenv("TROUBLE");
    return CaseArguments { .folder = argv[1], .recordPath = argv[2], .hasTrouble = !trouble || std::string(trouble) != "0" };
}

} // namespace Review
