#define BOOST_TEST_MODULE endiveyard_registry
#include <boost/test/unit_test.hpp>
