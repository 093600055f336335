/** @file soak_overload.h Load phases, and what is checked after them. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_OVERLOAD_H_
#define TURMERIC_TESTS_SOAK_SOAK_OVERLOAD_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "turmeric/state/time_type.h"

namespace turmeric::tests {

/** Times since the start of a run. */
struct load_phase {
  time_us from = 0;
  time_us to = 0;
};

/** Draws at least one load phase between @p from and @p to, some seconds long
 * with some seconds between two. */
std::vector<load_phase> draw_load_phases(uint64_t seed,
                                         time_us from,
                                         time_us to);

/** @return 0 if there is no such file. */
size_t file_size(const std::string& path);

/** @return Lines of a file after @p offset that contain @p text. */
size_t count_lines(const std::string& path,
                   size_t offset,
                   const std::string& text);

/** @return The peak resident memory of a process; 0 if it does not run. */
size_t peak_memory_kib(pid_t pid);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_OVERLOAD_H_
