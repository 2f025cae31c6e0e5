// The whole path on one machine, as misc/demo.sh shows it: declares, calls, reclaims an instance in the middle of an answer.
#include "tests/fakes/expected_answer.h"
#include "tests/harness/cluster.h"
#include <iostream>
#include <sstream>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

class Demo {
public:
    int run()
    {
        step("Starting the platform's stand-ins, 3 engines, 3 gateways and 2 controllers in 3 availability zones");
        check(m_cluster.deploy(3), "the declaration is applied and 3 endpoints are loaded");
        auto client = m_cluster.client();
        check(client.refreshAddresses(1).has_value(), "an address tells which addresses to use");

        step("A short confirmation");
        auto prompt = std::string("Confirm slot 14 for lot 2207, frozen scallops, dock 3");
        auto answer = client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = 12 });
        std::cout << answer.text << std::endl;
        checkWhole(answer, prompt, 12);

        step("A call that may not be repeated: a pallet release");
        auto release = client.call("release", "/pallets/2207/release", R"({"pallet":2207})", false);
        std::cout << release.text << std::endl;
        check(release.outcome == RequestOutcome::Completed, "the release ran");
        check(m_cluster.serviceRuns()[release.requestId] == 1, "it ran once");

        step("A long plan rebuild; the instance that generates it is reclaimed in the middle, with 3 seconds of notice");
        reclaimWhileStreaming(client);

        step("Why: onyxnotch explain");
        auto explained = runProgram("onyxnotch", { "explain", m_lastRequest, "--gateway", m_cluster.gateway(0).http.text() });
        std::cout << explained.output;
        check(explained.exitCode == 0, "the request can be explained");

        step("What runs: onyxnotch status");
        auto status = runProgram("onyxnotch", { "status", "--gateway", m_cluster.gateway(0).http.text(), "--objects", m_cluster.objects().text() });
        auto document = Json::parse(status.output, nullptr, false);
        check(status.exitCode == 0 && document.is_object(), "the status can be read");
        std::cout << document.value("members", Json::array()).size() << " members, " << document.value("endpoints", Json::array()).size() << " endpoints, plan of "
                  << document.value("plan", Json::object()).value("slots", Json::array()).size() << " slots, configuration version " << document.value("configuration_version", 0) << std::endl;
        std::cout << (m_ok ? "\nEvery answer was whole." : "\nFAILED") << std::endl;
        return m_ok ? 0 : 1;
    }

private:
    static void step(const std::string& text) { std::cout << "\n== " << text << std::endl; }

    void check(bool holds, const std::string& what)
    {
        std::cout << (holds ? "ok: " : "NOT OK: ") << what << std::endl;
        m_ok = m_ok && holds;
    }

    void checkWhole(const ClientAnswer& answer, const std::string& prompt, unsigned tokens)
    {
        bool whole = answer.outcome == RequestOutcome::Completed && answer.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), tokens);
        check(whole, "the answer is whole (" + toString(answer.outcome) + ", " + std::to_string(answer.text.size()) + " bytes)");
    }

    void reclaimWhileStreaming(Client& client)
    {
        static constexpr unsigned tokens = 400;
        auto prompt = std::string("Rebuild the weekly corridor plan for Rosario");
        unsigned seen = 0;
        auto answer = client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = tokens }, [&](const std::string& text) {
            std::cout << text << std::flush;
            if (++seen == 20)
                reclaimRunningEndpoint();
        });
        std::cout << std::endl;
        m_lastRequest = answer.requestId;
        checkWhole(answer, prompt, tokens);
    }

    // Reclaims the instance of the engine that generates at this moment.
    void reclaimRunningEndpoint()
    {
        auto list = m_cluster.get(m_cluster.cloud(), "/v1/instances");
        for (const auto& instance : list["instances"]) {
            auto* engine = m_cluster.findEngine(instance["id"]);
            if (!engine || m_cluster.get(engine->address, "/control").value("running", 0) == 0)
                continue;
            std::cout << "\n[reclaiming " << instance["id"].get<std::string>() << "]" << std::endl;
            m_cluster.post(m_cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ instance["id"] }) }, { "time_left_ms", 3000 } });
            return;
        }
        check(false, "an engine is running the request");
    }

    Cluster m_cluster { { .engineArguments = { "--token-us", "20000" } } };
    bool m_ok { true };
    std::string m_lastRequest;
};

} // namespace

int main() { return Demo().run(); }
