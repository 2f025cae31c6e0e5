// Test fixture: one entry node that forwards to one endpoint with scripted answers.
#pragma once

#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>

namespace Onyxnotch::Tests {

using Ending = Fakes::ScriptedResponse::Ending;

// One node that forwards to one endpoint, which answers according to `script`.
struct SingleNodeSite {
    explicit SingleNodeSite(Fakes::ScriptedEndpoint::Script script)
        : endpoint(site.addEndpoint("i-1", std::move(script)))
        , node(start())
    {
    }

    EntryProcess& start()
    {
        site.declare(EntrySite::declaration(1));
        auto& started = site.startNode("node-1");
        BOOST_REQUIRE(EntrySite::waitReady(started));
        return started;
    }

    RawClient::Answer sendRequest(const std::string& bytes) { return EntrySite::ask(node.callers, bytes); }

    EntrySite site;
    Fakes::ScriptedEndpoint& endpoint;
    EntryProcess& node;
};

} // namespace Onyxnotch::Tests
