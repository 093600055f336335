/** @file clock.cpp System clocks and random numbers. */
#include "turmeric/transport/clock_func.h"

#include <time.h>

#include <chrono>
#include <memory>
#include <random>

namespace turmeric {
namespace {

template <typename Clock>
time_us microseconds_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

}  // namespace

time_us steady_now() {
  return microseconds_now<std::chrono::steady_clock>();
}

time_us boot_now() {
  constexpr time_us ns_per_us = 1000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * us_per_s + now.tv_nsec / ns_per_us;
}

time_us wall_now() {
  return microseconds_now<std::chrono::system_clock>();
}

random_source system_random() {
  std::random_device device;
  const uint64_t seed = (static_cast<uint64_t>(device()) << 32) | device();
  auto engine = std::make_shared<std::mt19937_64>(seed);
  return [engine] { return (*engine)(); };
}

}  // namespace turmeric
