/** @file clock_func.h Clocks that the adapters pass into the cores. */
#ifndef TURMERIC_TRANSPORT_CLOCK_FUNC_H_
#define TURMERIC_TRANSPORT_CLOCK_FUNC_H_

#include "turmeric/state/time_type.h"

namespace turmeric {

/** @return Microseconds on the steady clock, for intervals and timers. */
time_us steady_now();

/** @return Microseconds since boot, including time in system suspend. */
time_us boot_now();

/** @return Microseconds since the Unix epoch. */
time_us wall_now();

/** @return A pseudo-random generator with a seed from the system. Copies share
 * one state; it is not thread-safe. */
random_source system_random();

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_CLOCK_FUNC_H_
