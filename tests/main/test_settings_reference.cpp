#include "core/file.h"
#include "main/settings_reference.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(SettingsReference)

BOOST_AUTO_TEST_CASE(the_settings_page_matches_the_schemas)
{
    auto page = readFile(std::string(ONYXNOTCH_SOURCE_FOLDER) + "/docs/operators/settings.md");
    BOOST_REQUIRE(page);
    BOOST_CHECK_MESSAGE(page.value() == settingsReference(), "write it anew with: onyxnotch settings-reference > docs/operators/settings.md");
}

BOOST_AUTO_TEST_SUITE_END()
