#define BOOST_TEST_MODULE endiveyard_telemetry
#include <boost/test/unit_test.hpp>
