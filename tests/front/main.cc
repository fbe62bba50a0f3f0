#define BOOST_TEST_MODULE endiveyard_front
#include <boost/test/unit_test.hpp>
