#define BOOST_TEST_MODULE endiveyard_duties
#include <boost/test/unit_test.hpp>
