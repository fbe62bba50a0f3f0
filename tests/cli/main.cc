#define BOOST_TEST_MODULE endiveyard_cli
#include <boost/test/unit_test.hpp>
