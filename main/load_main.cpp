#include "core/command_line.h"
#include "core/file.h"
#include "modules/load/load_runner.h"
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

using namespace Onyxnotch;

constexpr auto usage = R"(onyxnotch-load: plays a seeded trace of requests against gateways and prints what callers saw, as JSON.

Usage:
  onyxnotch-load --workload NAME (--gateway ADDRESS)... --key-file FILE [--seconds COUNT] [--seed SEED] [--rate-factor FACTOR]
  onyxnotch-load (-h | --help)
  onyxnotch-load --version

Options:
  --workload NAME       cold-yards or despacho-litoral.
  --gateway ADDRESS     Gateway to call, HOST:PORT; may be given several times.
  --key-file FILE       Bearer keys, one a line, one for each team.
  --seconds COUNT       Length of the trace [default: 10].
  --seed SEED           Seed of the trace [default: 1].
  --rate-factor FACTOR  Times the workload's own rate [default: 1].
  -h --help             Show this text.
  --version             Show the version.
)";

std::vector<std::string> nonEmptyLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (!line.empty())
            lines.push_back(line);
    }
    return lines;
}

int fail(const Error& error)
{
    std::cerr << error.message << std::endl;
    return static_cast<int>(ExitCode::Usage);
}

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    auto workload = workloadNamed(arguments.text("--workload"));
    if (!workload)
        return fail(workload.error());
    auto keys = readFile(arguments.text("--key-file"));
    if (!keys)
        return fail(keys.error());
    LoadOptions options { .teamKeys = nonEmptyLines(keys.value()) };
    for (const auto& it : arguments.list("--gateway")) {
        auto address = parseAddress(it);
        if (!address)
            return fail(address.error());
        options.gateways.push_back(address.value());
    }
    if (options.teamKeys.empty())
        return fail({ ErrorCode::InvalidArgument, "the key file is empty" });
    static constexpr long maximumSeconds = 600;
    static constexpr double millisecondsPerSecond = 1000;
    auto seconds = std::clamp(std::strtol(arguments.text("--seconds").c_str(), nullptr, 10), 1L, maximumSeconds);
    workload.value().requestsPerSecond *= std::strtod(arguments.text("--rate-factor").c_str(), nullptr);
    auto trace = makeTrace(workload.value(), std::strtoull(arguments.text("--seed").c_str(), nullptr, 10), Milliseconds(seconds * 1000));
    auto summary = runLoad(options, trace);
    nlohmann::json line {
        { "workload", workload.value().name },
        { "sent", summary.sent },
        { "completed", summary.completed },
        { "on_target", summary.onTarget },
        { "refused", summary.refused },
        { "lost", summary.lost },
        { "unknown", summary.unknown },
        { "dropped", summary.dropped },
        { "first_token_p95_ms", summary.firstTokenP95 * millisecondsPerSecond },
        { "between_tokens_p95_ms", summary.betweenTokensP95 * millisecondsPerSecond },
    };
    std::cout << line.dump() << std::endl;
    return static_cast<int>(summary.lost == 0 ? ExitCode::Success : ExitCode::Failed);
}
