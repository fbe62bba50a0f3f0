#define BOOST_TEST_MODULE endiveyard_settings
#include <boost/test/unit_test.hpp>
