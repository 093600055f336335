/** @file log_func.h Structured logs: one JSON object a line, on standard
 * output. */
#ifndef TURMERIC_STATE_LOG_FUNC_H_
#define TURMERIC_STATE_LOG_FUNC_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmeric {

/** What a line is about. Each has a level of its own, set at run time. */
enum class log_category { control, traffic, platform, admin, end };

/** How urgent a line is. */
enum class log_level { debug, info, warning, error, end };

/** @return The name of @p category. */
std::string_view name_of(log_category category);

/** @return The name of @p level. */
std::string_view name_of(log_level level);

/** Reads a level's name. @return `log_level::end` if there is none. */
log_level log_level_from(std::string_view name);

/** Reads a category's name. @return `log_category::end` if there is none. */
log_category log_category_from(std::string_view name);

/** Sets the least level that @p category writes; `end` sets all. */
void set_log_level(log_category category, log_level level);

/** Names the instance in every line. */
void set_log_instance(std::string name);

/** A named value of a log line. */
using log_field = std::pair<std::string, std::string>;

/** Writes one line unless the category's level is higher. */
void log(log_category category,
         log_level level,
         std::string_view message,
         const std::vector<log_field>& fields = {});

/** @return Lines lost so far because the reader of standard output did not
 * keep up; log() never waits for it. */
uint64_t log_lines_lost();

/** @return Bytes of all lines written so far. */
uint64_t log_bytes_written();

/** Lets a few events a second through and counts the rest. */
class log_limiter {
 public:
  /** @param per_second Events let through a second. */
  explicit log_limiter(int per_second) : per_second_(per_second) {}

  /** @param second The current second.
   * @return Whether an event may be logged now. */
  bool allow(int64_t second);

  /** @return Events held back since the last call. */
  uint64_t take_suppressed();

 private:
  int per_second_;
  int64_t second_ = -1;
  int used_ = 0;
  uint64_t suppressed_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_LOG_FUNC_H_
