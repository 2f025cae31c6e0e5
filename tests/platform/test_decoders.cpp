#include "platform/decoders.h"

#include "platform/store_pages.h"
#include "tests/property.h"
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(PlatformDecoderTests)

BOOST_AUTO_TEST_CASE(decodes_a_complete_configuration)
{
    auto document = nlohmann::json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","pathPrefix":"/a/","routeKind":"streaming","timeoutMs":15000,"goalMs":1000,"priority":1,
         "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":false,"resumable":true,"itlTargetMs":500},
        {"name":"r2","host":"h.example","pathPrefix":"/b/","routeKind":"non_idempotent","timeoutMs":800,"goalMs":100,"service":"s2","maxAttempts":1}],
        "services":[{"name":"s1","healthPath":"/h","maxConns":370,"runtime":{"slots":64,"kvCapacity":1000,"moves":true,"backups":true},
         "scaling":{"minReplicas":1,"maxReplicas":10,"bootS":4.0,"spotPrice":0.15,"zonePrices":{"z":0.8}}},{"name":"s2","maxConns":110}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
        "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"unit":"token_stream","uncachedTokens":200,"ratePerS":300,"burst":400}],"new":1})");
    auto decoded = Platform::decodeDeclaration(document);
    BOOST_REQUIRE(decoded.has_value());
    const auto& declaration = decoded.value();
    BOOST_TEST(declaration.version == 7U);
    BOOST_TEST((declaration.routes[0].kind == RequestKind::Stream));
    BOOST_TEST(declaration.routes[0].repeatable());
    BOOST_TEST(declaration.routes[0].targets.size() == 2U);
    BOOST_TEST((declaration.routes[1].kind == RequestKind::AtMostOnce));
    BOOST_TEST(declaration.routes[1].targets[0].service == "s2");
    BOOST_TEST(declaration.services[0].engine->memoryTokens == 1000);
    BOOST_TEST((declaration.services[0].scaling->bootTime == Milliseconds(4000)));
    BOOST_TEST(declaration.services[0].scaling->zonePrices.at("z") == 0.8);
    BOOST_TEST(!declaration.services[1].scaling.has_value());
    BOOST_TEST(declaration.teams[0].countsTokens);
    BOOST_TEST(*declaration.teams[0].priority == 1);
    BOOST_TEST((declaration.limits.idleTimeout == Milliseconds(15000)));
}

BOOST_AUTO_TEST_CASE(incomplete_or_mistyped_documents_are_errors)
{
    for (const auto* text : { "{}", R"({"version":1})", R"({"version":1,"routes":[{"name":"r"}],"services":[]})", R"({"version":"x","routes":[],"services":[]})" })
        BOOST_TEST(!Platform::decodeDeclaration(nlohmann::json::parse(text)).has_value());
    BOOST_TEST(!Platform::decodeEndpoint("i", nlohmann::json::parse(R"({"service":"s"})")).has_value());
    BOOST_TEST(!Platform::decodeEndpoint("i", nlohmann::json::parse(R"({"service":"s","address":"nowhere"})")).has_value());
}

BOOST_AUTO_TEST_CASE(decodes_a_draining_endpoint)
{
    auto decoded = Platform::decodeEndpoint("i-1",
        nlohmann::json::parse(R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":6,"state":"draining","version":"v1","sequence":7,"born":1764720000123,"spotEnabled":true,"leaves_ms":2500,"coldLeftMs":0})"));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(decoded.value().leaving);
    BOOST_TEST(decoded.value().reclaimable);
    BOOST_TEST((decoded.value().leavesIn == Milliseconds(2500)));
    BOOST_TEST(decoded.value().address.text() == "10.1.2.3:80");
    BOOST_TEST(decoded.value().born == 1764720000123U);
    BOOST_TEST(decoded.value().version == "v1");
}

namespace {

nlohmann::json validEntry()
{
    return { { "service", "s" }, { "address", "10.1.2.3:80" }, { "zone", "z" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "sequence", 4 } };
}

nlohmann::json validObject(const std::string& name)
{
    return { { "metadata", { { "name", name }, { "revision", 9 } } }, { "spec", validEntry() } };
}

} // namespace

// An endpoint entry with a missing or invalid field must be refused. Before this check existed, an entry without a state counted as
// ready, and one without slots counted as having one slot.
BOOST_AUTO_TEST_CASE(a_malformed_endpoint_entry_is_refused)
{
    const auto valid = validEntry();
    BOOST_TEST(Platform::decodeEndpoint("i", valid).has_value());
    for (const auto& [field, value] : valid.items()) {
        auto missing = validEntry();
        missing.erase(field);
        BOOST_TEST(!Platform::decodeEndpoint("i", missing).has_value(), field << " is missing");
        for (const auto* other : { "null", "[]", "{}", "true", "-1", "\"\"", "\"\xEF\xBF\xBD\"" }) {
            auto changed = validEntry();
            changed[field] = nlohmann::json::parse(other);
            BOOST_TEST(!Platform::decodeEndpoint("i", changed).has_value(), field << " is " << other);
        }
    }
    auto decodesWith = [](const char* field, const nlohmann::json& value) {
        auto changed = validEntry();
        changed[field] = value;
        return Platform::decodeEndpoint("i", changed).has_value();
    };
    for (const auto& [field, value] : std::vector<std::pair<const char*, nlohmann::json>> { { "state", "warming" }, { "slots", 0 }, { "slots", 1e12 }, { "slots", 2.5 }, { "address", "10.1.2.3:0" },
             { "address", "nowhere:80" }, { "address", "10.1.2.3:99999" }, { "service", std::string(100000, 's') }, { "born", "today" }, { "born", -5 }, { "born", 1.5 },
             { "spotEnabled", "yes" }, { "leaves_ms", -1 }, { "leaves_ms", 1e300 } })
        BOOST_TEST(!decodesWith(field, value), field << " is " << value.dump().substr(0, 40));
    BOOST_TEST(decodesWith("born", 1764720000123U));
    BOOST_TEST(decodesWith("sequence", 1U << 30U));
    BOOST_TEST(!Platform::decodeEndpoint("i", "text").has_value());
    BOOST_TEST(!Platform::decodeEndpoint("", validEntry()).has_value());
}

// One malformed entry must not affect the others: an entry without metadata once made its whole page unreadable, and invalid UTF-8 made
// the whole list unreadable.
BOOST_AUTO_TEST_CASE(a_malformed_entry_does_not_affect_other_entries)
{
    std::string text = nlohmann::json { { "modRev", 12 }, { "hasMore", false }, { "entries", { validObject("a"), { { "spec", 1 } }, validObject("b"), 7, { { "metadata", { { "name", "c" } } }, { "spec", validEntry() } } } } }.dump();
    auto page = Platform::decodeListPage(text);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().objects.revision == 12U);
    BOOST_TEST(page.value().objects.objects.size() == 3U);
    BOOST_TEST(page.value().objects.unnamed == 2U);
    BOOST_TEST(page.value().objects.objects.back().value.is_null());
    auto at = text.find("\"v1\"");
    text[at + 1] = '\xC3';
    page = Platform::decodeListPage(text);
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(!Platform::decodeEndpoint("a", page.value().objects.objects[0].value).has_value());
    BOOST_TEST(Platform::decodeEndpoint("b", page.value().objects.objects[1].value).has_value());
}

// Guards against a field that is no valid JSON, such as an escape that stands for no character, hiding all other entries of its page.
BOOST_AUTO_TEST_CASE(a_field_that_is_no_valid_json_affects_only_its_own_entry)
{
    auto deeplyNested = std::string(400000, '[') + std::string(400000, ']');
    for (const auto& value : { std::string(R"("\udcff\udcfe")"), std::string(R"("\ud800")"), std::string(R"("\q")"), std::string("1e400"), std::string("-1e999"), std::string("\"a\x01\n\""), std::string("nothing"), std::string("01"), deeplyNested }) {
        auto broken = validObject("broken").dump();
        auto field = std::string(R"("service":"s")");
        broken.replace(broken.find(field), field.size(), R"("service":)" + value);
        auto page = Platform::decodeListPage("{\"modRev\":3,\"entries\":[" + validObject("a").dump() + "," + broken + "," + validObject("b").dump() + "]}");
        BOOST_REQUIRE(page.has_value());
        const auto& objects = page.value().objects.objects;
        BOOST_REQUIRE(objects.size() == 3U);
        BOOST_TEST(Platform::decodeEndpoint("a", objects[0].value).has_value());
        BOOST_TEST(objects[1].name == "broken");
        BOOST_TEST(!Platform::decodeEndpoint("broken", objects[1].value).has_value());
        BOOST_TEST(Platform::decodeEndpoint("b", objects[2].value).has_value());
        auto changes = Platform::decodeChanges("{\"modRev\":3,\"events\":[{\"deleted\":false,\"object\":" + broken + "},{\"deleted\":true,\"object\":" + validObject("b").dump() + "}]}");
        BOOST_REQUIRE(changes.has_value());
        BOOST_REQUIRE(changes.value().objects.size() == 2U);
        BOOST_TEST(changes.value().objects[0].value.is_null());
        BOOST_TEST(changes.value().objects[1].deleted);
    }
}

// Property: with arbitrary bytes in one field of one entry, in a list or in a change event, all other entries are decoded unchanged. The
// bytes have no quotes, and no backslash that would make the field's closing quote a part of it.
BOOST_AUTO_TEST_CASE(arbitrary_bytes_in_one_entry_leave_the_others_unchanged)
{
    Tests::checkProperty("the others hold", [](std::string value, std::uint8_t which, std::uint16_t escaped) {
        std::replace(value.begin(), value.end(), '"', '.');
        // An escape of four hexadecimal digits, which may stand for half of a character.
        char escape[8];
        std::snprintf(escape, sizeof(escape), "\\u%04x", static_cast<unsigned>(escaped));
        value += escape;
        static constexpr std::array fields { "service", "address", "zone", "version", "state" };
        auto broken = validObject("broken").dump();
        auto field = std::string("\"") + fields[which % fields.size()] + "\":\"";
        auto at = broken.find(field) + field.size();
        broken.replace(at, broken.find('"', at) - at, value);
        auto list = "{\"modRev\":3,\"entries\":[" + validObject("a").dump() + "," + broken + "," + validObject("b").dump() + "]}";
        auto page = Platform::decodeListPage(list);
        RC_ASSERT(page.has_value());
        RC_ASSERT(page.value().objects.objects.size() == 3U);
        RC_ASSERT(page.value().objects.objects.front().value == validEntry());
        RC_ASSERT(page.value().objects.objects.back().value == validEntry());
        auto changes = Platform::decodeChanges("{\"modRev\":3,\"events\":[{\"deleted\":false,\"object\":" + broken + "},{\"deleted\":true,\"object\":" + validObject("b").dump() + "}]}");
        RC_ASSERT(changes.has_value());
        RC_ASSERT(changes.value().objects.back().name == "b");
        RC_ASSERT(changes.value().objects.back().deleted);
    });
}

// Guards against numbers of a configuration that do not fit being converted to other ones: a version of -1 hid all later versions.
BOOST_AUTO_TEST_CASE(a_configuration_with_a_number_that_does_not_fit_is_refused)
{
    auto decodes = [](const char* pointer, const char* value) {
        auto document = nlohmann::json::parse(R"({"version":3,"routes":[{"name":"r","service":"s","priority":1,"maxAttempts":2,"timeoutMs":100}],"services":[{"name":"s","maxConns":5,"runtime":{"slots":4,"kvCapacity":1000},"scaling":{"minReplicas":1,"maxReplicas":3,"bootS":5}}],"tenants":[{"name":"t","apiKeys":["k"],"priority":1}],"limits":{"maxHeaderBytes":1000}})");
        document[nlohmann::json::json_pointer(pointer)] = nlohmann::json::parse(value);
        return Platform::decodeDeclaration(document).has_value();
    };
    for (const auto* pointer : { "/version", "/routes/0/maxAttempts", "/services/0/maxConns", "/services/0/runtime/slots", "/services/0/scaling/minReplicas", "/services/0/scaling/maxReplicas", "/limits/maxHeaderBytes" }) {
        for (const auto* value : { "-1", "-1.5", "1e300", "\"1\"", "[]" })
            BOOST_TEST(!decodes(pointer, value), pointer << " is " << value);
    }
    for (const auto* value : { "1e300", "-1e300", "4294967296" }) {
        BOOST_TEST(!decodes("/routes/0/priority", value), value);
        BOOST_TEST(!decodes("/tenants/0/priority", value), value);
        BOOST_TEST(decodes("/routes/0/timeoutMs", value), value);
        BOOST_TEST(decodes("/services/0/scaling/bootS", value), value);
    }
}

BOOST_AUTO_TEST_SUITE_END()
