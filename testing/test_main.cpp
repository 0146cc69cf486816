#define BOOST_TEST_MODULE baobab
#include <boost/test/unit_test.hpp>
