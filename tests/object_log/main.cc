#define BOOST_TEST_MODULE endiveyard_object_log
#include <boost/test/unit_test.hpp>
