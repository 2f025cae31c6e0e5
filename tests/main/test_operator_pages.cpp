// Checks that the operators' documentation lists every log event and metric that the code emits.
#include "core/file.h"
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <regex>

using namespace Onyxnotch;

namespace {

// Returns a page of the operators' documentation.
std::string readPage(const std::string& name)
{
    auto text = readFile(std::string(ONYXNOTCH_SOURCE_FOLDER) + "/docs/operators/" + name);
    return text ? text.value() : std::string();
}

// Searches all sources for `pattern`, whose first group is a name, and checks that `text` lists each name in a table row.
void checkListed(const std::regex& pattern, const std::string& text, const std::string& name)
{
    unsigned found = 0;
    for (const auto* folder : { "core", "servers", "modules", "main" }) {
        for (const auto& it : std::filesystem::recursive_directory_iterator(std::string(ONYXNOTCH_SOURCE_FOLDER) + "/" + folder)) {
            if (it.path().extension() != ".cpp" && it.path().extension() != ".h")
                continue;
            auto code = readFile(it.path().string()).value();
            for (std::sregex_iterator match(code.begin(), code.end(), pattern); match != std::sregex_iterator(); ++match) {
                ++found;
                BOOST_CHECK_MESSAGE(text.find("| `" + (*match)[1].str() + "` |") != std::string::npos, (*match)[1].str() << " is not listed in " << name);
            }
        }
    }
    BOOST_CHECK_GT(found, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorPages)

BOOST_AUTO_TEST_CASE(every_log_event_is_listed)
{
    checkListed(std::regex("logEvent\\((?:LogLevel::|result)[^\"]*\"([a-z_]+)\""), readPage("log_events.md"), "log_events.md");
}

BOOST_AUTO_TEST_CASE(every_metric_is_listed)
{
    checkListed(std::regex("\"(onyxnotch_[a-z_]+)\""), readPage("metrics.md"), "metrics.md");
}

BOOST_AUTO_TEST_SUITE_END()
