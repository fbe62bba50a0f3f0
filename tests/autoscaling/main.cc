#define BOOST_TEST_MODULE endiveyard_autoscaling
#include <boost/test/unit_test.hpp>
