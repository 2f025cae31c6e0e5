// Runs rapidcheck properties within Boost.Test. The seed is fixed, so that results are reproducible in CI; the environment variable
// RC_PARAMS="seed=..." overrides it.
#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <rapidcheck.h>

namespace Onyxnotch::Tests {

inline void setDefaultParameters()
{
    setenv("RC_PARAMS", "seed=20261202 max_success=2000", 0);
}

template <typename Property>
void checkProperty(const char* description, Property property)
{
    setDefaultParameters();
    BOOST_TEST_MESSAGE("rapidcheck parameters: " << std::getenv("RC_PARAMS"));
    BOOST_CHECK(rc::check(description, property));
}

} // namespace Onyxnotch::Tests
