#define BOOST_TEST_MODULE endiveyard_peer
#include <boost/test/unit_test.hpp>
