#define BOOST_TEST_MODULE endiveyard_fleet
#include <boost/test/unit_test.hpp>
