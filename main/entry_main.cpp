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

std::string settingsPath(const CommandLine& arguments)
{
    auto variable = arguments.text("--settings-from");
    if (variable.empty())
        return arguments.text("--settings");
    const char* path = std::getenv(variable.c_str());
    return path ? path : "";
}

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

// Whether a running process can take over the newer settings; listening addresses and names stay as they are until it starts again.
bool needsRestart(const EntrySettings& running, const EntrySettings& newer)
{
    auto fixed = [](const EntrySettings& it) {
        const auto& entry = it.entry;
        return std::tie(entry.node, entry.zone, entry.callers, entry.readiness, entry.control, entry.gossip, it.store, it.cloud, entry.duties.reportsUsage,
            entry.duties.ordersEndpoints, entry.duties.lease.duration, entry.duties.usage.windowMilliseconds);
    };
    return fixed(running) != fixed(newer);
}

// Takes signals on the main thread until the node has drained, and reads the settings again where they have changed.
class SignalLoop {
public:
    SignalLoop(EntryNode& node, std::string path, EntrySettings settings)
        : m_node(node)
        , m_path(std::move(path))
        , m_settings(std::move(settings))
        , m_text(readText())
    {
        wait();
        lookAgain();
    }

    void run() { m_context.run(); }

private:
    // The file may change without a signal.
    void lookAgain()
    {
        constexpr Milliseconds lookPeriod { 5000 }; // Changes of settings are rare, and a look costs a read of some hundred bytes.
        m_timer.expires_after(lookPeriod);
        m_timer.async_wait([this](const asio::error_code& ec) {
            if (ec)
                return;
            if (readText() != m_text)
                reload("file_changed");
            lookAgain();
        });
    }

    // Empty where it cannot be read: readEntrySettings() says why.
    std::string readText() const
    {
        auto text = readFile(m_path);
        return text ? text.value() : std::string();
    }

    void reload(std::string_view cause)
    {
        m_text = readText();
        auto read = readEntrySettings(m_path);
        if (!read) {
            logEvent(LogLevel::Error, "settings_refused", { { "cause", cause }, { "error", read.error().message } });
            return;
        }
        bool restart = needsRestart(m_settings, read.value());
        m_settings.logLevel = read.value().logLevel;
        setMinimumLogLevel(m_settings.logLevel);
        m_node.apply(read.value().entry);
        logEvent(LogLevel::Info, "settings_applied", { { "cause", cause }, { "needs_restart", restart ? 1 : 0 } });
    }

    void wait()
    {
        m_signals.async_wait([this](const asio::error_code& ec, int signal) {
            if (ec)
                return;
            if (signal == SIGHUP) {
                reload("signal");
                wait();
                return;
            }
            m_timer.cancel();
            m_node.stop();
        });
    }

    EntryNode& m_node;
    std::string m_path;
    EntrySettings m_settings; // As the process started, but for the log level.
    std::string m_text; // Of the file, when it was read last.
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
    // A peer that closes early must not end the process.
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
        { { "callers", node.callersAddress().text() }, { "readiness", node.readinessAddress().text() }, { "control", node.controlAddress().text() },
            { "gossip", node.gossipAddress().text() } });
    signals.run();
    node.wait();
    flushLog();
    // Connections to the store may wait for changes that never come.
    std::_Exit(static_cast<int>(ExitCode::Success));
}
