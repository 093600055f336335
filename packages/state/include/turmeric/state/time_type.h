/** @file time_type.h Time type of the cores. The cores get the time as an
 * argument and read no clock. */
#ifndef TURMERIC_STATE_TIME_TYPE_H_
#define TURMERIC_STATE_TIME_TYPE_H_

#include <cstdint>
#include <functional>

namespace turmeric {

/** Microseconds, as a duration or on a steady clock with an arbitrary origin.
 */
using time_us = int64_t;

constexpr time_us us_per_ms = 1000;
constexpr time_us us_per_s = 1000 * us_per_ms;

/** Generator of random 64-bit numbers, an argument of the cores. */
using random_source = std::function<uint64_t()>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_TIME_TYPE_H_
