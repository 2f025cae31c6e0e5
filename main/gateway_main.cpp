#include "main/daemon.h"

namespace {

constexpr auto usage = R"(onyxnotch-gateway: answers callers, routes their requests to endpoints, hands over when its instance leaves.

Usage:
  onyxnotch-gateway --settings FILE [--check-settings]
  onyxnotch-gateway (-h | --help)
  onyxnotch-gateway --version

Options:
  --settings FILE   Settings in JSON; docs/operators/settings.md lists them.
  --check-settings  Check the settings and exit.
  -h --help         Show this text.
  --version         Show the version.
)";

} // namespace

int main(int argc, char** argv)
{
    return Onyxnotch::runDaemon<Onyxnotch::Gateway, Onyxnotch::GatewayOptions>("gateway", usage, argc, argv, Onyxnotch::readGatewaySettings);
}
