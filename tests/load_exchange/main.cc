#define BOOST_TEST_MODULE endiveyard_load_exchange
#include <boost/test/unit_test.hpp>
