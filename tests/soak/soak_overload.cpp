/** @file soak_overload.cpp Draws load phases and reads what balancers leave. */
#include "soak_overload.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace turmeric::tests {
namespace {

constexpr time_us max_first_delay = us_per_s;
constexpr time_us min_length = 2 * us_per_s;
constexpr time_us max_length = 4 * us_per_s;

}  // namespace

std::vector<load_phase> draw_load_phases(uint64_t seed,
                                         time_us from,
                                         time_us to) {
  std::mt19937_64 random(seed);
  const auto between = [&](time_us least, time_us most) {
    return std::uniform_int_distribution<time_us>(least, most)(random);
  };
  std::vector<load_phase> phases;
  time_us start = from + between(0, max_first_delay);
  do {
    const time_us end = std::min(start + between(min_length, max_length), to);
    phases.push_back({start, end});
    start = end + between(min_length, max_length);
  } while (start + min_length <= to);
  return phases;
}

size_t file_size(const std::string& path) {
  std::error_code error;
  const auto size = std::filesystem::file_size(path, error);
  return error ? 0 : static_cast<size_t>(size);
}

size_t count_lines(const std::string& path,
                   size_t offset,
                   const std::string& text) {
  std::ifstream in(path);
  in.seekg(static_cast<std::streamoff>(offset));
  size_t count = 0;
  for (std::string line; std::getline(in, line);)
    count += line.find(text) != std::string::npos ? 1 : 0;
  return count;
}

size_t peak_memory_kib(pid_t pid) {
  const std::string field = "VmHWM:";
  std::ifstream in(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(in, line);) {
    if (line.compare(0, field.size(), field) == 0)
      return std::strtoull(line.c_str() + field.size(), nullptr, 10);
  }
  return 0;
}

}  // namespace turmeric::tests
