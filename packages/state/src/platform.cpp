/** @file platform.cpp Names used in the platform's object API. */
#include "turmeric/state/platform_type.h"

#include <fmt/format.h>

#include <array>

namespace turmeric {

std::string_view name_of(platform_op op) {
  static constexpr std::array<std::string_view, 5> names = {
      "get", "list", "create", "update", "watch"};
  static_assert(names.size() == static_cast<size_t>(platform_op::end));
  return names[static_cast<size_t>(op)];
}

std::string_view name_of(platform_status status) {
  static constexpr std::array<std::string_view, 6> names = {
      "ok", "not_found", "exists", "mismatch", "gone", "unavailable"};
  static_assert(names.size() == static_cast<size_t>(platform_status::end));
  return names[static_cast<size_t>(status)];
}

std::string change_log_object_name(uint64_t number) {
  return fmt::format("{}{:016}", change_log_prefix, number);
}

}  // namespace turmeric
