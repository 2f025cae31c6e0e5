// What the stand-ins of the platform have in common: a port, a line that names it, a stop signal.
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

// The parsed body; an empty object where it is none.
inline Json bodyOf(const HttpRequest& request)
{
    auto document = Json::parse(request.body, nullptr, false);
    return document.is_object() ? document : Json::object();
}

inline long numberOf(const HttpRequest& request, const std::string& name, long otherwise)
{
    auto text = request.queryValue(name);
    return text.empty() ? otherwise : std::strtol(text.c_str(), nullptr, 10);
}

// Serves until a stop signal, after writing {"listening":"HOST:PORT"} to standard output.
inline int serve(HttpServer& server, StopSignal& signal)
{
    auto started = server.start();
    if (!started) {
        std::cerr << started.error().message << std::endl;
        return static_cast<int>(ExitCode::Unavailable);
    }
    std::cout << Json { { "listening", server.address().text() } }.dump() << std::endl;
    signal.wait();
    // Connections may be held open by streams that never end: a stand-in just goes.
    std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace Onyxnotch::Fakes
