#define BOOST_TEST_MODULE endiveyard_authority
#include <boost/test/unit_test.hpp>
