#define BOOST_TEST_MODULE endiveyard_bookings
#include <boost/test/unit_test.hpp>
