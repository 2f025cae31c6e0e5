// Shared code of the fake programs: JSON requests and responses, printing the listening address, and serving until a stop signal.
#pragma once

#include "core/command_line.h"
#include "core/json_decode.h"
#include "core/net/http_server.h"
#include "core/stop_signal.h"
#include <iostream>
#include <nlohmann/json.hpp>

namespace Onyxnotch::Fakes {

using Json = nlohmann::json;

inline HttpResponse reply(int status, const Json& body) { return { .status = status, .body = body.dump() }; }

// The parsed JSON body of a request; an empty object if the body is not a JSON object.
inline Json jsonBody(const HttpRequest& request)
{
    auto document = Json::parse(request.body, nullptr, false);
    return document.is_object() ? document : Json::object();
}

// The value of a query parameter as a number; `otherwise` if it is missing.
inline long queryNumber(const HttpRequest& request, const std::string& name, long otherwise)
{
    auto text = request.queryValue(name);
    return text.empty() ? otherwise : std::strtol(text.c_str(), nullptr, 10);
}

// Starts the server, writes {"listening":"HOST:PORT"} to standard output, and serves until a stop signal.
inline int serve(HttpServer& server, StopSignal& signal)
{
    auto started = server.start();
    if (!started) {
        std::cerr << started.error().message << std::endl;
        return static_cast<int>(ExitCode::Unavailable);
    }
    std::cout << Json { { "listening", server.address().text() } }.dump() << std::endl;
    signal.wait();
    // Exit without waiting for connections, since some streams never end.
    std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace Onyxnotch::Fakes
