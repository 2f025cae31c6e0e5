// Demo of the complete system on one machine, run by misc/demo.sh: applies a declaration, sends requests, and reclaims an instance while it
// generates an answer.
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
        checkComplete(answer, prompt, 12);

        step("A call that may not be repeated: a pallet release");
        auto release = client.call("release", "/pallets/2207/release", R"({"pallet":2207})", false);
        std::cout << release.text << std::endl;
        check(release.outcome == RequestOutcome::Completed, "the release ran");
        check(m_cluster.serviceRuns()[release.requestId] == 1, "it ran once");

        step("A long plan rebuild; the instance that generates it is reclaimed in the middle, with 3 seconds of notice");
        reclaimWhileStreaming(client);

        step("Why: onyxnotch explain");
        auto explained = runProgram("onyxnotch", { "explain", m_lastRequestId, "--gateway", m_cluster.gateway(0).http.text() });
        std::cout << explained.output;
        check(explained.exitCode == 0, "the request can be explained");

        step("What runs: onyxnotch status");
        auto status = runProgram("onyxnotch", { "status", "--gateway", m_cluster.gateway(0).http.text(), "--objects", m_cluster.objects().text() });
        auto document = Json::parse(status.output, nullptr, false);
        check(status.exitCode == 0 && document.is_object(), "the status can be read");
        std::cout << document.value("members", Json::array()).size() << " members, " << document.value("endpoints", Json::array()).size() << " endpoints, plan of "
                  << document.value("plan", Json::object()).value("slots", Json::array()).size() << " slots, configuration version " << document.value("configuration_version", 0) << std::endl;
        std::cout << (m_succeeded ? "\nEvery answer was whole." : "\nFAILED") << std::endl;
        return m_succeeded ? 0 : 1;
    }

private:
    static void step(const std::string& text) { std::cout << "\n== " << text << std::endl; }

    void check(bool succeeded, const std::string& what)
    {
        std::cout << (succeeded ? "ok: " : "NOT OK: ") << what << std::endl;
        m_succeeded = m_succeeded && succeeded;
    }

    void checkComplete(const ClientAnswer& answer, const std::string& prompt, unsigned tokens)
    {
        bool isComplete = answer.outcome == RequestOutcome::Completed && answer.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), tokens);
        check(isComplete, "the answer is whole (" + toString(answer.outcome) + ", " + std::to_string(answer.text.size()) + " bytes)");
    }

    void reclaimWhileStreaming(Client& client)
    {
        static constexpr unsigned tokens = 400;
        auto prompt = std::string("Rebuild the weekly corridor plan for Rosario");
        unsigned receivedTokens = 0;
        auto answer = client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = tokens }, [&](const std::string& text) {
            std::cout << text << std::flush;
            if (++receivedTokens == 20)
                reclaimRunningEndpoint();
        });
        std::cout << std::endl;
        m_lastRequestId = answer.requestId;
        checkComplete(answer, prompt, tokens);
    }

    // Reclaims the instance of the engine that is generating the answer.
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
    bool m_succeeded { true };
    std::string m_lastRequestId;
};

} // namespace

int main() { return Demo().run(); }
