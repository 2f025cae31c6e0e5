// Runs a rapidcheck property within Boost.Test. The seed is fixed, so that CI reaches the same verdict every time;
// RC_PARAMS="seed=..." in the environment chooses another one.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

namespace Onyxnotch::Tests {

inline void useFixedSeed()
{
    setenv("RC_PARAMS", "seed=20261202 max_success=2000", 0);
}

template <typename Property>
void checkProperty(const char* description, Property property)
{
    useFixedSeed();
    BOOST_TEST_MESSAGE("rapidcheck parameters: " << std::getenv("RC_PARAMS"));
    BOOST_CHECK(rc::check(description, property));
}

} // namespace Onyxnotch::Tests
