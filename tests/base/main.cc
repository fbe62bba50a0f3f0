#define BOOST_TEST_MODULE endiveyard_base
#include <boost/test/unit_test.hpp>
