// Fills deploy/entry_settings.json.template like the platform does, with complete and with minimal fields, and checks that
// onyxnotch-entry accepts the resulting settings file.
#include "core/file.h"
#include "main/entry_settings.h"
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace Onyxnotch;

namespace {

using Json = nlohmann::json;

// Implements the part of the platform's template language that the file uses: {{value}}, {{#section}}, {{^inverted section}} and
// {{,}}, which writes a comma after each list entry that is not the final one.
class TemplateFiller {
public:
    explicit TemplateFiller(Json fields)
        : m_fields(std::move(fields))
    {
    }

    std::string fill(const std::string& text) const { return fillText(text, nullptr, false); }

private:
    const Json* find(const std::string& path) const
    {
        const Json* at = &m_fields;
        std::istringstream names(path);
        for (std::string name; std::getline(names, name, '.');) {
            bool isNumber = !name.empty() && name.find_first_not_of("0123456789") == std::string::npos;
            if (at->is_array() && isNumber && std::stoul(name) < at->size())
                at = &(*at)[std::stoul(name)];
            else if (at->is_object() && at->contains(name))
                at = &(*at)[name];
            else
                return nullptr;
        }
        return at;
    }

    static std::string valueText(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

    std::string fillText(const std::string& text, const Json* entry, bool isLast) const
    {
        std::string filled;
        std::size_t at = 0;
        for (auto open = text.find("{{"); open != std::string::npos; open = text.find("{{", at)) {
            filled += text.substr(at, open - at);
            auto close = text.find("}}", open);
            auto name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            bool section = name[0] == '#' || name[0] == '^';
            if (!section) {
                const auto* value = name == "." ? entry : find(name);
                filled += name == "," ? (isLast ? "" : ",") : value ? valueText(*value)
                                                                    : "";
                continue;
            }
            auto end = "{{/" + name.substr(1) + "}}";
            auto stop = text.find(end, at);
            filled += fillSection(name[0] == '#', text.substr(at, stop - at), find(name.substr(1)));
            at = stop + end.size();
        }
        return filled + text.substr(at);
    }

    std::string fillSection(bool fillIfPresent, const std::string& text, const Json* value) const
    {
        bool isPresent = value && !value->is_null() && *value != Json(false) && !(value->is_array() && value->empty());
        if (isPresent != fillIfPresent)
            return "";
        if (!fillIfPresent || !value->is_array())
            return fillText(text, value, true);
        std::string filled;
        for (std::size_t n = 0; n < value->size(); ++n)
            filled += fillText(text, &(*value)[n], n + 1 == value->size());
        return filled;
    }

    Json m_fields;
};

Json minimalFields()
{
    return { { "nodeName", "n-1" }, { "zone", "z" }, { "listen", { { "frontend", "10.0.0.1:80" }, { "readiness", "10.0.0.1:81" }, { "controlPlane", "10.0.0.1:82" } } },
        { "portRange", { 7600, 7615 } }, { "platform", { { "address", "10.0.1.1:90" } } }, { "limits", { { "maxFds", 4100 } } } };
}

Result<EntrySettings> settingsFor(const Json& fields)
{
    auto text = readFile(std::string(ONYXNOTCH_SOURCE_FOLDER) + "/deploy/entry_settings.json.template");
    BOOST_REQUIRE(text);
    auto path = std::filesystem::temp_directory_path() / ("onyxnotch-template-" + std::to_string(::getpid()) + ".json");
    std::ofstream(path) << TemplateFiller(fields).fill(text.value());
    auto settings = readEntrySettings(path.string());
    std::filesystem::remove(path);
    return settings;
}

std::string messageOf(const Result<EntrySettings>& settings) { return settings ? std::string() : settings.error().message; }

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTemplate)

BOOST_AUTO_TEST_CASE(every_template_field_reaches_the_settings)
{
    auto fields = minimalFields();
    fields["seedNodes"] = { "10.0.0.1:82", "10.0.0.2:82" };
    fields["limits"]["memoryMb"] = 160;
    fields["bounds"] = { { "retrySlack", 58 }, { "retryWindowS", 8 }, { "retryBudgetRatio", 0.25 }, { "graceS", 8 }, { "leaseMs", 3000 }, { "reportWindowS", 5 } };
    fields["cloudApi"] = { { "address", "10.0.1.2:91" }, { "duties", { "metering", "autoscale" } } };
    auto settings = settingsFor(fields);
    BOOST_REQUIRE_MESSAGE(settings, messageOf(settings));
    const auto& entry = settings.value().entry;
    BOOST_TEST(entry.node == "n-1");
    BOOST_TEST(entry.seeds.size() == 1U);
    BOOST_TEST(entry.retries.reserve == 58);
    BOOST_TEST(entry.retries.perRequest == 0.25);
    BOOST_TEST(entry.retries.window == Milliseconds(8000));
    BOOST_TEST(entry.grace.count() == 8000);
    BOOST_TEST(entry.forward.usageWindowMilliseconds == 5000U);
    BOOST_TEST(entry.forward.maximumBufferedBodyBytes == std::size_t { 40 } << 20U);
    BOOST_TEST(entry.forward.maximumResponseBytes == std::size_t { 40 } << 20U);
    BOOST_TEST(entry.duties.reportsUsage);
    BOOST_TEST(entry.duties.ordersEndpoints);
}

// Guards against two faults of the template: "{{bounds.graceS}}000" turned 7.5 seconds into 7.5 milliseconds, and an omitted field left
// text that is not valid JSON.
BOOST_AUTO_TEST_CASE(fractional_and_missing_fields_are_accepted)
{
    auto minimal = settingsFor(minimalFields());
    BOOST_REQUIRE_MESSAGE(minimal, messageOf(minimal));
    BOOST_TEST(minimal.value().entry.retries.perRequest == 0);
    BOOST_TEST(!minimal.value().entry.duties.reportsUsage);
    auto fields = minimalFields();
    fields["bounds"] = { { "graceS", 7.5 }, { "reportWindowS", 2.5 } };
    auto settings = settingsFor(fields);
    BOOST_REQUIRE_MESSAGE(settings, messageOf(settings));
    BOOST_TEST(settings.value().entry.grace.count() == 7500);
    BOOST_TEST(settings.value().entry.forward.usageWindowMilliseconds == 2500U);
}

BOOST_AUTO_TEST_SUITE_END()
