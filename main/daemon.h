// What the daemons' main functions have in common: arguments, settings, logs, the order of start and stop.
#pragma once

#include "core/command_line.h"
#include "main/settings.h"
#include <cstdlib>
#include <iostream>

namespace Onyxnotch {

// Reads the settings with `read`, runs a `Daemon` until it is stopped, and returns the exit code.
template <typename Daemon, typename Options>
int runDaemon(const std::string& component, const std::string& usage, int argc, char** argv, Result<Options> (*read)(const std::string&))
{
    CommandLine arguments(usage, argc, argv);
    auto path = arguments.text("--settings");
    auto options = read(path);
    if (!options) {
        std::cerr << options.error().message << std::endl;
        return static_cast<int>(ExitCode::Usage);
    }
    if (arguments.flag("--check-settings")) {
        std::cout << path << ": settings are valid" << std::endl;
        return static_cast<int>(ExitCode::Success);
    }
    auto level = readLogLevel(path);
    const auto& node = options.value().node;
    startLog({ .component = component, .instance = node.instance, .zone = node.zone, .minimumLevel = level ? level.value() : LogLevel::Info });
    StopSignal signal;
    Daemon daemon(options.value());
    auto started = daemon.start();
    if (!started) {
        logEvent(LogLevel::Error, "start_failed", { { "error", started.error().message } });
        return static_cast<int>(ExitCode::Unavailable);
    }
    logEvent(LogLevel::Info, "listening", { { "http", daemon.httpAddress().text() }, { "peer", daemon.peerAddress().text() } });
    daemon.runUntilStopped(signal);
    logEvent(LogLevel::Info, "stopped");
    // Everything that others need has been handed over. Destructors would only wait for long polls of the platform's services, and
    // an instance on notice has no time for that.
    std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace Onyxnotch
