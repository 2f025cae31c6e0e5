#define BOOST_TEST_MODULE onyxnotch
#include <boost/test/unit_test.hpp>
