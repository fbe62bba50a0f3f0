#define BOOST_TEST_MODULE endiveyard_planner
#include <boost/test/unit_test.hpp>
