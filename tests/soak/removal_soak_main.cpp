// Runs the removal soak once per seed, prints a line for each round, and exits with a failure if a request was late.
#include "core/command_line.h"
#include "tests/soak/removal_soak.h"
#include <iostream>

namespace {

constexpr const char* usage = R"(onyxnotch-removal-soak: how long requests reach removed endpoints, over a fleet of real entry processes.

Usage:
  onyxnotch-removal-soak [--from N] [--seeds N] [--nodes N] [--endpoints N] [--rounds N] [--fault NAME] [--announced YESNO]

Options:
  --from N           First seed [default: 1].
  --seeds N          How many seeds [default: 1].
  --nodes N          Entry processes [default: 20].
  --endpoints N      Endpoints at a time [default: 24].
  --rounds N         Batches of endpoints that are replaced [default: 3].
  --fault NAME       The fault of all rounds (none, cut-watches, kill-watchers, kill-relays, freeze-watchers-and-relays, kill-many,
                     starve); drawn for each round if it is not given, but for cut-watches.
  --announced YESNO  Whether endpoints say that they are draining before their entries vanish (yes, no); drawn if it is not given.
)";

unsigned numberOption(const Onyxnotch::CommandLine& arguments, const std::string& name) { return static_cast<unsigned>(std::stoul(arguments.text(name))); }

void print(std::uint64_t seed, const Onyxnotch::Tests::RemovalRound& round)
{
    std::cout << "seed " << seed << ": " << nameOf(round.fault) << ", " << round.removed << (round.isAnnounced ? " draining" : " removed") << ", " << round.nodes << " nodes, last request after " << round.median.count()
              << " ms (median), " << round.longest.count() << " ms (longest), " << round.lateRequests << " late" << std::endl;
    for (const auto& line : round.lines)
        std::cout << "  " << line << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    using namespace Onyxnotch;
    CommandLine arguments(usage, argc, argv);
    std::size_t late = 0;
    auto fault = arguments.text("--fault");
    auto announced = arguments.text("--announced");
    auto first = numberOption(arguments, "--from");
    for (std::uint64_t seed = first; seed < first + numberOption(arguments, "--seeds"); ++seed) {
        Tests::RemovalSoakOptions options {
            .seed = seed,
            .nodes = numberOption(arguments, "--nodes"),
            .endpoints = numberOption(arguments, "--endpoints"),
            .rounds = numberOption(arguments, "--rounds"),
            .fault = Tests::removalFaultNamed(fault),
            .isAnnounced = announced.empty() ? std::nullopt : std::optional(announced == "yes"),
        };
        for (const auto& round : Tests::runRemovalSoak(options)) {
            print(seed, round);
            late += round.lateRequests;
        }
    }
    return static_cast<int>(late == 0 ? ExitCode::Success : ExitCode::Failed);
}
