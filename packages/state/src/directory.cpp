/** @file directory.cpp Name tables of directory types. */
#include "turmeric/state/directory_type.h"

namespace turmeric {
namespace {

constexpr std::array<std::string_view, directory_kinds> kind_names = {
    "targets", "routing", "withdrawals"};
constexpr std::array<std::string_view, static_cast<size_t>(route_kind::end)>
    route_kind_names = {"safe", "unsafe", "download", "upload"};
constexpr std::array<std::string_view,
                     static_cast<size_t>(registry_status::end)>
    status_names = {"ok",          "history_gone", "throttled", "refused",
                    "unreachable", "unreadable",   "outdated"};
constexpr std::array<std::string_view,
                     static_cast<size_t>(registry_call_cause::end)>
    cause_names = {"list", "watch", "catch_up", "retry"};

}  // namespace

std::string_view name_of(directory_kind kind) {
  return kind_names[static_cast<size_t>(kind)];
}

std::string_view name_of(route_kind kind) {
  return route_kind_names[static_cast<size_t>(kind)];
}

std::string_view name_of(registry_call_cause cause) {
  return cause_names[static_cast<size_t>(cause)];
}

std::string_view name_of(registry_status status) {
  return status_names[static_cast<size_t>(status)];
}

}  // namespace turmeric
