#define BOOST_TEST_MODULE endiveyard_routing
#include <boost/test/unit_test.hpp>
