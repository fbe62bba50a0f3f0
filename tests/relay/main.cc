#define BOOST_TEST_MODULE endiveyard_relay
#include <boost/test/unit_test.hpp>
