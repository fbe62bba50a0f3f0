#define BOOST_TEST_MODULE endiveyard_clients
#include <boost/test/unit_test.hpp>
