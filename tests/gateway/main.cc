#define BOOST_TEST_MODULE endiveyard_gateway
#include <boost/test/unit_test.hpp>
