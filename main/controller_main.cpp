#include "main/daemon.h"

namespace {

constexpr auto usage = R"(onyxnotch-controller: places what is declared: orders instances, loads models, publishes endpoints.

Usage:
  onyxnotch-controller --settings FILE [--check-settings]
  onyxnotch-controller (-h | --help)
  onyxnotch-controller --version

Options:
  --settings FILE   Settings in JSON; docs/operators/settings.md lists them.
  --check-settings  Check the settings and exit.
  -h --help         Show this text.
  --version         Show the version.
)";

} // namespace

int main(int argc, char** argv)
{
    return Onyxnotch::runDaemon<Onyxnotch::Controller, Onyxnotch::ControllerOptions>("controller", usage, argc, argv, Onyxnotch::readControllerSettings);
}
