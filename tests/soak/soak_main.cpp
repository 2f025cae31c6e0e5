// Runs one soak per seed and prints a summary, the violated guarantees and the log lines about the requests that they concern. Exits with a
// failure if any guarantee was violated.
#include "core/command_line.h"
#include "tests/soak/soak_run.h"
#include <iostream>

namespace {

constexpr const char* usage = R"(onyxnotch-soak: real entry processes under faults in series and overlapping, from a seed.

Usage:
  onyxnotch-soak [--from N] [--seeds N] [--seconds N] [--nodes N] [--endpoints N] [--callers N] [--notices] [--limits] [--steady]

Options:
  --from N       First seed [default: 1].
  --seeds N      How many seeds [default: 1].
  --seconds N    How long faults come in each [default: 12].
  --nodes N      Entry processes [default: 4].
  --endpoints N  Endpoints at the start [default: 8].
  --callers N    Callers [default: 8].
  --notices      Endpoints also say in their answers alone that they leave or want rest.
  --limits       Endpoints also name how many requests a second they take from all nodes together.
  --steady       Endpoints that crashed are replaced, and a stop holds up no other fault.
)";

unsigned long numberOption(const Onyxnotch::CommandLine& arguments, const std::string& name) { return std::stoul(arguments.text(name)); }

} // namespace

int main(int argc, char** argv)
{
    using namespace Onyxnotch;
    CommandLine arguments(usage, argc, argv);
    unsigned broken = 0;
    auto first = numberOption(arguments, "--from");
    for (auto seed = first; seed < first + numberOption(arguments, "--seeds"); ++seed) {
        Tests::SoakOptions options {
            .seed = seed,
            .duration = Milliseconds(1000 * numberOption(arguments, "--seconds")),
            .nodes = static_cast<unsigned>(numberOption(arguments, "--nodes")),
            .endpoints = static_cast<unsigned>(numberOption(arguments, "--endpoints")),
            .callers = static_cast<unsigned>(numberOption(arguments, "--callers")),
            .notices = arguments.flag("--notices"),
            .limits = arguments.flag("--limits"),
            .steady = arguments.flag("--steady"),
        };
        auto result = Tests::SoakRun(options).run();
        std::cout << "seed " << seed << ": " << result.faults << " faults, " << result.requestCount << " asked, " << result.answeredCount << " answered, " << result.refusedCount << " refused, " << result.crashedEndpoints
                  << " endpoints crashed, " << result.broken.size() << " promises broken" << std::endl;
        for (const auto& it : result.broken) {
            ++broken;
            std::cout << "BROKEN, seed " << seed << ": " << it.promise << ", request " << it.id << ": " << it.seen << std::endl;
        }
        for (const auto& line : result.lines)
            std::cout << "  " << line << std::endl;
    }
    return static_cast<int>(broken == 0 ? ExitCode::Success : ExitCode::Failed);
}
