#define BOOST_TEST_MODULE endiveyard_control
#include <boost/test/unit_test.hpp>
