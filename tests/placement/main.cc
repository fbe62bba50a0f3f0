#define BOOST_TEST_MODULE endiveyard_placement
#include <boost/test/unit_test.hpp>
