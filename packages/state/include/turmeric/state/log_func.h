/** @file log_func.h Structured logs: one JSON object a line, on standard
 * output. */
#ifndef TURMERIC_STATE_LOG_FUNC_H_
#define TURMERIC_STATE_LOG_FUNC_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric {

/** Part of the program that a line is from. Each category has its own lowest
 * level, which can be set at run time. */
enum class log_category { control, traffic, platform, admin, end };

/** Severity of a line, in ascending order. */
enum class log_level { debug, info, warning, error, end };

/** @return The name of @p category. */
std::string_view name_of(log_category category);

/** @return The name of @p level. */
std::string_view name_of(log_level level);

/** @return The level called @p name, or `log_level::end` if there is none. */
log_level log_level_from(std::string_view name);

/** @return The category called @p name, or `log_category::end` if there is
 * none. */
log_category log_category_from(std::string_view name);

/** Sets the lowest level that @p category logs; `log_category::end` sets it for
 * all categories. */
void set_log_level(log_category category, log_level level);

/** Sets the instance name that every line contains. Not synchronized with
 * log(). */
void set_log_instance(std::string name);

/** Name and value of a field of a log line. */
using log_field = std::pair<std::string, std::string>;

/** Writes one line if @p level is at least the level set for @p category.
 * Never waits for the reader of standard output: a line that cannot be written
 * at once is lost and counted by log_lines_lost(). */
void log(log_category category,
         log_level level,
         std::string_view message,
         const std::vector<log_field>& fields = {});

/** @return Lines lost so far because the reader of standard output did not
 * keep up. */
uint64_t log_lines_lost();

/** @return Bytes of all lines written so far. */
uint64_t log_bytes_written();

/** Limits the logged events per second and counts those it suppresses. */
class log_limiter {
 public:
  /** @param per_second Events allowed in each second. */
  explicit log_limiter(int per_second) : per_second_(per_second) {}

  /** Counts one event.
   * @param second The current time in whole seconds.
   * @return Whether an event may be logged now. */
  bool allow(int64_t second);

  /** @return Events suppressed since the last call. */
  uint64_t take_suppressed();

 private:
  int per_second_;
  int64_t current_second_ = -1;
  int allowed_ = 0;
  uint64_t suppressed_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_LOG_FUNC_H_
