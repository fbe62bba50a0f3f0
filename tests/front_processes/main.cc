#define BOOST_TEST_MODULE endiveyard_front_processes
#include <boost/test/unit_test.hpp>
