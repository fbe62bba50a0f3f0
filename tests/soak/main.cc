#define BOOST_TEST_MODULE endiveyard_soak
#include <boost/test/unit_test.hpp>
