#define BOOST_TEST_MODULE endiveyard_admission
#include <boost/test/unit_test.hpp>
