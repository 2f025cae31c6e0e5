#include "modules/declaration/configuration.h"
#include "modules/replica/state_replica.h"
#include "tests/property.h"
#include <nlohmann/json.hpp>

using namespace Onyxnotch;

namespace {

using Json = nlohmann::json;

Json objectOf(const std::string& kind, const std::string& name, const Json& spec) { return { { "kind", kind }, { "name", name }, { "spec", spec } }; }

std::vector<DeclarationProblem> checkObjects(const Json& objects)
{
    std::vector<DeclarationProblem> problems;
    auto declaration = readDeclaration({ { "objects", objects } }, problems);
    if (!problems.empty())
        return problems;
    auto result = Configuration().with({ .version = 1, .upserts = declaration.objects });
    return checkRules(result.value(), declaration);
}

ConfigurationChange drainChange(std::uint64_t version, const std::string& instance)
{
    DeclaredObject object { .name = { .kind = ObjectKind::Drain, .name = instance }, .spec = DrainSpec { .instance = instance } };
    return { .version = version, .operationId = "op" + std::to_string(version), .upserts = { object } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Configurations)

BOOST_AUTO_TEST_CASE(problems_of_invalid_declarations_point_to_the_member)
{
    auto firstPointer = [](const Json& objects) {
        auto problems = checkObjects(objects);
        return problems.empty() ? std::string("none") : problems.front().pointer;
    };
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ objectOf("Team", "t", { { "keyDigests", { "short" } } }) })), "/objects/0/spec/keyDigests/0");
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ objectOf("Drain", "UPPER", { { "instance", "i" } }) })), "/objects/0/name");
    auto plain = Json { { "type", "plain" }, { "repeatable", false } };
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ objectOf("Service", "s", plain) })), "/objects/0/spec/endpoints");
    auto model = Json { { "type", "model" }, { "repeatable", false } };
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ objectOf("Service", "s", model) })), "/objects/0/spec/repeatable");
    auto rule = Json { { "services", Json::object() }, { "offers", Json::object() }, { "replicas", 1 }, { "minimumZones", 2 } };
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ objectOf("PlacementRule", "r", rule) })), "/objects/0/spec/minimumZones");
    auto drain = objectOf("Drain", "d", { { "instance", "i" } });
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ drain, drain })), "/objects/1/name");
    BOOST_CHECK_EQUAL(firstPointer(Json::array({ drain })), "none");
}

BOOST_AUTO_TEST_CASE(selectors_match_like_kubernetes_selectors)
{
    Selector selector { .matchLabels = { { "zone", "a" } }, .matchExpressions = { { .key = "class", .operation = SelectorOperator::NotIn, .values = { "x" } }, { .key = "team", .operation = SelectorOperator::Exists } } };
    BOOST_CHECK(selector.matches({ { "zone", "a" }, { "team", "" } }));
    BOOST_CHECK(!selector.matches({ { "zone", "a" }, { "team", "" }, { "class", "x" } }));
    BOOST_CHECK(!selector.matches({ { "zone", "a" } }));
    BOOST_CHECK(!selector.matches({ { "zone", "b" }, { "team", "" } }));
    BOOST_CHECK(Selector().matches({}));
}

BOOST_AUTO_TEST_CASE(objects_survive_a_json_round_trip)
{
    auto service = objectOf("Service", "s", { { "type", "plain" }, { "repeatable", true }, { "endpoints", Json::array({ { { "id", "e" }, { "address", "127.0.0.1:80" } } }) }, { "objective", { { "firstTokenMs", 5 } } } });
    auto object = objectFromJson(service);
    BOOST_REQUIRE(object);
    BOOST_CHECK(objectFromJson(objectToJson(object.value())).value() == object.value());
    BOOST_CHECK(!objectFromJson({ { "kind", "Nothing" }, { "name", "n" }, { "spec", Json::object() } }));
}

// Property: changes and complete documents may arrive late, repeated and in any order. A replica's version never decreases, and its content
// is always that of its version.
BOOST_AUTO_TEST_CASE(a_replica_never_goes_back_to_an_older_version)
{
    Tests::checkProperty("random events", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        static constexpr unsigned count = 12;
        std::vector<Configuration> history { {} };
        std::vector<ConfigurationChange> changes;
        for (unsigned n = 1; n <= count; ++n) {
            changes.push_back(drainChange(n, "i" + std::to_string(n % 5)));
            history.push_back(history.back().with(changes.back()).value());
        }
        StateReplica replica;
        StateReplica peer;
        for (const auto& [action, which] : events) {
            auto before = replica.state()->configuration.version();
            auto n = which % count;
            switch (action % 4) {
            case 0:
                replica.applyChange(changes[n]);
                break;
            case 1:
                replica.applyConfiguration(history[n]);
                break;
            case 2:
                peer.applyChange(changes[peer.state()->configuration.version() % count]);
                break;
            default:
                for (const auto& it : peer.updatesSince(replica.versions()))
                    replica.applyUpdate(it);
            }
            auto after = replica.state()->configuration;
            RC_ASSERT(after.version() >= before);
            RC_ASSERT(after == history[after.version()]);
        }
    });
}

BOOST_AUTO_TEST_CASE(zone_documents_are_only_replaced_by_newer_versions)
{
    StateReplica replica;
    BOOST_CHECK(replica.applyZone({ .zone = "z", .version = 5 }));
    BOOST_CHECK(!replica.applyZone({ .zone = "z", .version = 4 }));
    BOOST_CHECK(!replica.applyZone({ .zone = "z", .version = 5 }));
    BOOST_CHECK(replica.applyZone({ .zone = "z", .version = 6 }));
}

BOOST_AUTO_TEST_SUITE_END()
