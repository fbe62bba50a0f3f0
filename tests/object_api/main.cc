#define BOOST_TEST_MODULE endiveyard_object_api
#include <boost/test/unit_test.hpp>
