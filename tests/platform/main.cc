#define BOOST_TEST_MODULE endiveyard_platform
#include <boost/test/unit_test.hpp>
