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

bool operator==(const weighted_service& a, const weighted_service& b) {
  return a.service == b.service && a.weight == b.weight;
}

bool operator==(const route_entry& a, const route_entry& b) {
  const auto fields = [](const route_entry& r) {
    return std::tie(r.name, r.address, r.kind, r.timeout, r.latency_objective,
                    r.priority, r.services);
  };
  return fields(a) == fields(b);
}

bool operator==(const service_entry& a, const service_entry& b) {
  return a.name == b.name && a.max_flows == b.max_flows &&
         a.cold_per_s == b.cold_per_s;
}

bool operator==(const routing_entry& a, const routing_entry& b) {
  return a.version == b.version && a.routes == b.routes &&
         a.services == b.services && a.idle_timeout == b.idle_timeout;
}

}  // namespace turmeric
