// Fake plain service. Counts how often each request id has been executed.
#include "tests/fakes/fake_program.h"
#include <condition_variable>
#include <map>
#include <mutex>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-plain-service [--port PORT]

Options:
  --port PORT  Port [default: 0].
)";

class PlainService {
public:
    void addRoutes(HttpServer& server)
    {
        server.route("GET", "/control/runs", [this](const HttpRequest&) { return runs(); });
        // {"hold":true}: calls block until it is reset. {"refuse":true}: calls are refused as not started; {"retry_after":"2"} sets the
        // Retry-After field of refusals, in seconds. {"limit":"2"}: responses advertise a limit of 2 calls per second.
        server.route("POST", "/control", [this](const HttpRequest& it) { return control(jsonBody(it)); });
        server.route("POST", "/.*", [this](const HttpRequest& it) { return run(it); });
    }

private:
    HttpResponse run(const HttpRequest& request)
    {
        std::unique_lock lock(m_mutex);
        if (m_refuse) {
            auto refusal = reply(503, { { "error", "not now" } });
            refusal.headers.emplace("Onyxnotch-Not-Started", "1");
            if (!m_retryAfter.empty())
                refusal.headers.emplace("Retry-After", m_retryAfter);
            ++m_runs["refused"];
            return refusal;
        }
        auto id = request.header("idempotency-key");
        auto count = ++m_runs[id];
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return !m_hold; });
        auto answer = reply(200, { { "ran", count }, { "path", request.path }, { "body", request.body } });
        if (!m_limit.empty())
            answer.headers.emplace("Onyxnotch-Limit", m_limit);
        return answer;
    }

    HttpResponse control(const Json& command)
    {
        std::lock_guard lock(m_mutex);
        m_hold = command.value("hold", m_hold);
        m_refuse = command.value("refuse", m_refuse);
        m_retryAfter = command.value("retry_after", m_retryAfter);
        m_limit = command.value("limit", m_limit);
        m_changed.notify_all();
        return reply(200, command);
    }

    HttpResponse runs()
    {
        std::lock_guard lock(m_mutex);
        return reply(200, m_runs);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, long> m_runs;
    bool m_hold { false };
    bool m_refuse { false };
    std::string m_retryAfter {};
    std::string m_limit {};
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 128 });
    PlainService service;
    service.addRoutes(server);
    return serve(server, signal);
}
