#include "core/deflate.h"

#include "tests/property.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Deflate)

BOOST_AUTO_TEST_CASE(decompression_restores_compressed_text)
{
    constexpr std::size_t maximumBytes = 1U << 20U;
    Tests::checkProperty("any bytes", [](const std::string& bytes) {
        RC_ASSERT(decompressText(compressText(bytes), maximumBytes).value() == bytes);
    });
    std::string list;
    for (int n = 0; n < 1000; ++n)
        list += R"({"service":"s","address":"10.0.0.)" + std::to_string(n) + R"(:80","state":"ready"},)";
    auto compressed = compressText(list);
    BOOST_TEST(compressed.size() * 8 < list.size());
    BOOST_TEST(decompressText(compressed, maximumBytes).value() == list);
}

BOOST_AUTO_TEST_CASE(invalid_and_too_long_text_is_rejected)
{
    BOOST_TEST(!decompressText("no such text", 1000));
    BOOST_TEST(!decompressText("", 1000));
    auto compressed = compressText(std::string(100000, 'x'));
    BOOST_TEST(!decompressText(compressed, 1000));
    BOOST_TEST(!decompressText(compressed.substr(0, compressed.size() / 2), 1U << 20U));
    Tests::checkProperty("any bytes end in an answer", [](const std::string& bytes) {
        auto result = decompressText(bytes, 100000);
        bool isBounded = !result || result.value().size() <= 100000U;
        RC_ASSERT(isBounded);
    });
}

BOOST_AUTO_TEST_SUITE_END()
