// Fake weight store with a rate limit for downloads.
#include "modules/admission/admission_control.h"
#include "tests/fakes/fake_program.h"
#include <mutex>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-weight-store [--port PORT] [--rate RATE]

Options:
  --port PORT  Port [default: 0].
  --rate RATE  Downloads a second [default: 50].
)";

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 64 });
    std::mutex mutex;
    TokenBucket bucket(std::stod(arguments.text("--rate")), steadyNow());
    server.route("GET", "/v1/weights/(.+)", [&](const HttpRequest& request) {
        std::lock_guard lock(mutex);
        if (auto wait = bucket.take(steadyNow()))
            return reply(429, { { "retry_after_ms", wait->count() } });
        return reply(200, { { "weights", request.captures[0] } });
    });
    return serve(server, signal);
}
