// Common main function of the daemons (gateway and controller): parses arguments, reads settings, starts the log, and runs the daemon until
// it is stopped by a signal.
#pragma once

#include "core/command_line.h"
#include "main/settings.h"
#include <cstdlib>
#include <iostream>

namespace Onyxnotch {

// Reads the settings with `readOptions` and runs a `Daemon` until a stop signal. Returns the exit code if the daemon does not start or only
// checks its settings; otherwise ends the process.
template <typename Daemon, typename Options>
int runDaemon(const std::string& component, const std::string& usage, int argc, char** argv, Result<Options> (*readOptions)(const std::string&))
{
    CommandLine arguments(usage, argc, argv);
    auto path = arguments.text("--settings");
    auto options = readOptions(path);
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
    // The daemon has handed over everything that other nodes need. Running destructors would only wait for pending long polls of the
    // platform's services, and an instance that the cloud is about to terminate has no time for that.
    std::_Exit(static_cast<int>(ExitCode::Success));
}

} // namespace Onyxnotch
