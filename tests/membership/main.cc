#define BOOST_TEST_MODULE endiveyard_membership
#include <boost/test/unit_test.hpp>
