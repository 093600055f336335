/** @file unit_main.cpp Entry point of the unit tests. */
#define BOOST_TEST_MODULE turmericstream
#include <boost/test/unit_test.hpp>
