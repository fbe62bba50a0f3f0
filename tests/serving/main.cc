#define BOOST_TEST_MODULE endiveyard_serving
#include <boost/test/unit_test.hpp>
