/** @file time_type.h Time as the cores see it: passed in, never read. */
#ifndef TURMERIC_STATE_TIME_TYPE_H_
#define TURMERIC_STATE_TIME_TYPE_H_

#include <cstdint>
#include <functional>

namespace turmeric {

/** Microseconds on a steady clock whose origin does not matter. */
using time_us = int64_t;

constexpr time_us us_per_ms = 1000;
constexpr time_us us_per_s = 1000 * us_per_ms;

/** Source of random 64-bit numbers, passed into the cores. */
using random_source = std::function<uint64_t()>;

}  // namespace turmeric

#endif  // TURMERIC_STATE_TIME_TYPE_H_
