#include "core/command_line.h"
#include "core/file.h"
#include "core/steady_timer.h"
#include "main/entry_settings.h"
#include "platform/cloud_client.h"
#include "platform/decoders.h"
#include "platform/store_client.h"
#include <asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <tuple>

namespace {

using namespace Onyxnotch;

constexpr auto usage = R"(onyxnotch-entry: forwards callers' requests to endpoints on the platform, on every entry instance.

Usage:
  onyxnotch-entry --settings FILE [--check-settings]
  onyxnotch-entry --settings-from VARIABLE [--check-settings]
  onyxnotch-entry (-h | --help)
  onyxnotch-entry --version

Options:
  --settings FILE           Settings in JSON; docs/operators/settings.md lists them.
  --settings-from VARIABLE  The environment variable that holds the settings file's path.
  --check-settings          Check the settings and exit.
  -h --help                 Show this text.
  --version                 Show the version.
)";

// The settings path: from --settings, or from the environment variable that --settings-from names.
std::string settingsPath(const CommandLine& arguments)
{
    auto variable = arguments.text("--settings-from");
    if (variable.empty())
        return arguments.text("--settings");
    const char* path = std::getenv(variable.c_str());
    return path ? path : "";
}

// Connects the node's ports to the platform's adapters.
EntryPorts platformPorts(const EntrySettings& settings)
{
    return {
        .makeStore = [address = settings.store](asio::io_context& context) { return std::make_unique<Platform::StoreClient>(context, address); },
        .makeCloud = [address = settings.cloud](asio::io_context& context) { return std::make_unique<Platform::CloudClient>(context, address); },
        .decodeDeclaration = Platform::decodeDeclaration,
        .decodeEndpoint = Platform::decodeEndpoint,
        .decodeRollout = Platform::decodeRollout,
        .encodeRolloutRecord = Platform::encodeRolloutRecord,
    };
}

// Whether the new settings differ in a member that a running process cannot change, such as names, addresses and duties.
bool needsRestart(const EntrySettings& running, const EntrySettings& newer)
{
    auto restartOnlySettings = [](const EntrySettings& it) {
        const auto& entry = it.entry;
        return std::tie(entry.node, entry.zone, entry.callers, entry.readiness, entry.control, entry.gossip, it.store, it.cloud, entry.duties.reportsUsage,
            entry.duties.ordersEndpoints, entry.duties.lease.duration, entry.duties.usage.windowMilliseconds);
    };
    return restartOnlySettings(running) != restartOnlySettings(newer);
}

// Runs on the main thread. SIGHUP or a changed settings file reloads the settings; SIGTERM or SIGINT stops the node and ends the loop.
class SignalLoop {
public:
    SignalLoop(EntryNode& node, std::string path, EntrySettings settings)
        : m_node(node)
        , m_path(std::move(path))
        , m_settings(std::move(settings))
        , m_fileText(readFileText())
    {
        waitForSignal();
        scheduleFileCheck();
    }

    void run() { m_context.run(); }

private:
    // Checks periodically whether the settings file changed, because a change may come without a signal.
    void scheduleFileCheck()
    {
        constexpr Milliseconds fileCheckPeriod { 5000 }; // Changes are rare; each check reads a file of a few hundred bytes.
        m_timer.expires_after(fileCheckPeriod);
        m_timer.async_wait([this](const asio::error_code& ec) {
            if (ec)
                return;
            if (readFileText() != m_fileText)
                reload("file_changed");
            scheduleFileCheck();
        });
    }

    // Returns an empty string if the file cannot be read; readEntrySettings() then reports the error.
    std::string readFileText() const
    {
        auto text = readFile(m_path);
        return text ? text.value() : std::string();
    }

    // Applies the settings file. Invalid settings are logged and ignored.
    void reload(std::string_view cause)
    {
        m_fileText = readFileText();
        auto read = readEntrySettings(m_path);
        if (!read) {
            logEvent(LogLevel::Error, "settings_refused", { { "cause", cause }, { "error", read.error().message } });
            return;
        }
        bool isRestartNeeded = needsRestart(m_settings, read.value());
        m_settings.logLevel = read.value().logLevel;
        setMinimumLogLevel(m_settings.logLevel);
        m_node.apply(read.value().entry);
        logEvent(LogLevel::Info, "settings_applied", { { "cause", cause }, { "needs_restart", isRestartNeeded ? 1 : 0 } });
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const asio::error_code& ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP) {
                reload("signal");
                waitForSignal();
                return;
            }
            m_timer.cancel();
            m_node.stop();
        });
    }

    EntryNode& m_node;
    std::string m_path;
    EntrySettings m_settings; // Settings from the process start, except for the log level, which follows reloads.
    std::string m_fileText; // Content of the settings file when it was last read.
    asio::io_context m_context { 1 };
    SteadyTimer m_timer { m_context };
    asio::signal_set m_signals { m_context, SIGTERM, SIGINT, SIGHUP };
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    auto path = settingsPath(arguments);
    auto settings = readEntrySettings(path);
    if (!settings) {
        std::cerr << settings.error().message << std::endl;
        return static_cast<int>(ExitCode::Usage);
    }
    if (arguments.flag("--check-settings")) {
        std::cout << path << ": settings are valid" << std::endl;
        return static_cast<int>(ExitCode::Success);
    }
    // Writing to a connection that the peer closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto& options = settings.value().entry;
    startLog({ .component = "entry", .instance = options.node, .zone = options.zone, .minimumLevel = settings.value().logLevel, .buffered = true });
    EntryNode node(options, platformPorts(settings.value()));
    SignalLoop signals(node, path, settings.value());
    auto started = node.start();
    if (!started) {
        logEvent(LogLevel::Error, "start_failed", { { "error", started.error().message } });
        flushLog();
        return static_cast<int>(ExitCode::Unavailable);
    }
    logEvent(LogLevel::Info, "listening",
        { { "callers", node.clientsAddress().text() }, { "readiness", node.readinessAddress().text() }, { "control", node.controlAddress().text() },
            { "gossip", node.gossipAddress().text() } });
    signals.run();
    node.wait();
    flushLog();
    // Skips destructors, which would wait for pending store watches.
    std::_Exit(static_cast<int>(ExitCode::Success));
}
