// Fake instance list service that returns outdated data: the instances that the cloud API reported some time ago.
#include "core/net/http_client.h"
#include "tests/fakes/fake_program.h"
#include <deque>
#include <mutex>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

constexpr auto usage = R"(Usage: onyxnotch-fake-instance-list --cloud ADDRESS [--port PORT] [--lag-ms LAG]

Options:
  --cloud ADDRESS  Cloud API.
  --port PORT      Port [default: 0].
  --lag-ms LAG     Age of what is answered [default: 1000].
)";

// Takes a snapshot of the cloud API at each call and returns the newest snapshot that is at least `lag` old.
class InstanceList {
public:
    InstanceList(const Address& cloud, Milliseconds lag)
        : m_cloud(cloud)
        , m_lag(lag)
    {
    }

    HttpResponse list()
    {
        auto current = sendHttp(m_cloud, { .path = "/v1/instances" });
        std::lock_guard lock(m_mutex);
        auto now = steadyNow();
        if (current && current.value().ok())
            m_snapshots.emplace_back(now, current.value().body);
        while (m_snapshots.size() > 1 && now - m_snapshots[1].first >= m_lag)
            m_snapshots.pop_front();
        bool isOldEnough = !m_snapshots.empty() && now - m_snapshots.front().first >= m_lag;
        return { .body = isOldEnough ? m_snapshots.front().second : R"({"instances":[]})" };
    }

private:
    Address m_cloud;
    Milliseconds m_lag;
    std::mutex m_mutex;
    std::deque<std::pair<SteadyTime, std::string>> m_snapshots;
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 64 });
    InstanceList instances(parseAddress(arguments.text("--cloud")).value(), Milliseconds(std::stol(arguments.text("--lag-ms"))));
    server.route("GET", "/v1/instances", [&](const HttpRequest&) { return instances.list(); });
    return serve(server, signal);
}
