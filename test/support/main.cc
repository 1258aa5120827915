// Entry point shared by the test executables of all modules.
#define BOOST_TEST_MODULE jacinthdeck
#include <boost/test/unit_test.hpp>
