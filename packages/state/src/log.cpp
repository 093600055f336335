/** @file log.cpp Log lines by fmt. */
#include "turmeric/state/log_func.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>

namespace turmeric {
namespace {

constexpr size_t category_count = static_cast<size_t>(log_category::end);
constexpr std::array<std::string_view, category_count> category_names = {
    "control", "traffic", "platform", "admin"};
constexpr std::array<std::string_view, static_cast<size_t>(log_level::end)>
    level_names = {"debug", "info", "warning", "error"};

/** @return The lowest level that is logged, by category. */
std::array<std::atomic<log_level>, category_count>& lowest_levels() {
  static std::array<std::atomic<log_level>, category_count> all = {
      log_level::info, log_level::info, log_level::info, log_level::info};
  return all;
}

std::string& instance_name() {
  static std::string name;
  return name;
}

/** @return The current time in UTC, in ISO 8601 format with milliseconds. */
std::string timestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                      now.time_since_epoch())
                      .count() %
                  1000;
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds), ms);
}

std::atomic<uint64_t> lines_lost{0};
std::atomic<uint64_t> bytes_written{0};

/** Writes @p line, or counts it as lost if that would block. A pipe that poll()
 * reports as writable accepts a whole line at once. */
void write_line(const std::string& line) {
  static std::mutex write_mutex;
  const std::lock_guard<std::mutex> lock(write_mutex);
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  const bool writable = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  if (!writable || write(STDOUT_FILENO, line.data(), line.size()) < 0)
    ++lines_lost;
  else
    bytes_written += line.size();
}

}  // namespace

uint64_t log_lines_lost() {
  return lines_lost;
}

uint64_t log_bytes_written() {
  return bytes_written;
}

std::string_view name_of(log_category category) {
  return category_names[static_cast<size_t>(category)];
}

std::string_view name_of(log_level level) {
  return level_names[static_cast<size_t>(level)];
}

log_level log_level_from(std::string_view name) {
  for (size_t i = 0; i < level_names.size(); ++i) {
    if (level_names[i] == name)
      return static_cast<log_level>(i);
  }
  return log_level::end;
}

log_category log_category_from(std::string_view name) {
  for (size_t i = 0; i < category_names.size(); ++i) {
    if (category_names[i] == name)
      return static_cast<log_category>(i);
  }
  return log_category::end;
}

void set_log_level(log_category category, log_level level) {
  for (size_t i = 0; i < category_count; ++i) {
    if (category == log_category::end ||
        category == static_cast<log_category>(i))
      lowest_levels()[i] = level;
  }
}

void set_log_instance(std::string name) {
  instance_name() = std::move(name);
}

void log(log_category category,
         log_level level,
         std::string_view message,
         const std::vector<log_field>& fields) {
  if (level < lowest_levels()[static_cast<size_t>(category)])
    return;
  std::string line = fmt::format(
      R"({{"time":"{}","level":"{}","category":"{}","instance":{},"message":{})",
      timestamp(), name_of(level), name_of(category),
      Json::valueToQuotedString(instance_name().c_str()),
      Json::valueToQuotedString(std::string(message).c_str()));
  for (const auto& [name, value] : fields) {
    line += fmt::format(R"(,"{}":{})", name,
                        Json::valueToQuotedString(value.c_str()));
  }
  line += "}\n";
  write_line(line);
}

bool log_limiter::allow(int64_t second) {
  if (second != current_second_) {
    current_second_ = second;
    allowed_ = 0;
  }
  if (allowed_ < per_second_) {
    ++allowed_;
    return true;
  }
  ++suppressed_;
  return false;
}

uint64_t log_limiter::take_suppressed() {
  return std::exchange(suppressed_, 0);
}

}  // namespace turmeric
