#define BOOST_TEST_MODULE endiveyard_instance
#include <boost/test/unit_test.hpp>
