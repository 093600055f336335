/** @file directory_type.h What balancers on a platform with its own registry
 * know: targets, the routing configuration and withdrawn availability zones.
 */
#ifndef TURMERIC_STATE_DIRECTORY_TYPE_H_
#define TURMERIC_STATE_DIRECTORY_TYPE_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** Kinds of directory entries; each is listed and watched by itself. */
enum class directory_kind : uint8_t { targets, routing, withdrawals, end };

/** Number of directory kinds. */
constexpr size_t directory_kinds = static_cast<size_t>(directory_kind::end);

/** @return The name of @p kind in logs and metrics. */
std::string_view name_of(directory_kind kind);

/** A target as it registered itself. */
struct target_entry {
  std::string name;
  uint64_t number = 0;  ///< Names this target in front of forwarded segments.
  std::string service;
  std::string zone;
  endpoint address;
  uint32_t slots = 1;      ///< Requests it works on at once.
  bool draining = false;   ///< Takes no new flows.
  uint64_t started = 0;    ///< Unix time of its start in ms; 0 if unknown.
  int64_t cold_until = 0;  ///< End of its cold start; microseconds, local.
  uint64_t created = 0;    ///< Revision at which it was registered.
};

/** Share of a route's new flows that goes to one service. */
struct weighted_service {
  std::string service;
  uint32_t weight = 0;
};

/** What the requests inside a route's flows are like. */
enum class route_kind : uint8_t { safe, unsafe, download, end };

/** @return The name of @p kind in logs and metrics. */
std::string_view name_of(route_kind kind);

/** New flows to one address and port. */
struct route_entry {
  std::string name;
  endpoint address;
  route_kind kind = route_kind::unsafe;
  time_us timeout = 0;
  time_us latency_objective = 0;
  uint32_t priority = 0;  ///< 0 is the most urgent.
  std::vector<weighted_service> services;
};

/** Limits of one service. */
struct service_entry {
  std::string name;
  uint32_t max_flows = 0;   ///< Flows that a target holds.
  double cold_per_s = 0.0;  ///< New flows a second that a cold target bears.
};

/** The whole routing configuration. */
struct routing_entry {
  uint64_t version = 0;
  std::vector<route_entry> routes;
  std::vector<service_entry> services;
  time_us idle_timeout = 0;  ///< A flow idle for longer may be forgotten.
};

/** An availability zone whose targets get no packets. */
struct withdrawal_entry {
  std::string zone;
};

/** One directory entry that could be read. */
using directory_value =
    std::variant<target_entry, routing_entry, withdrawal_entry>;

/** A change of one entry. */
struct directory_change {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  /** Null if removed or unreadable. */
  std::shared_ptr<const directory_value> value;
  std::string problem;  ///< Why the entry is unreadable, else empty.
};

/** Operations on the registry. */
enum class registry_op : uint8_t { list, watch };

/** A call to the registry. */
struct registry_call {
  uint64_t id = 0;
  registry_op op = registry_op::list;
  directory_kind kind = directory_kind::targets;
  uint64_t revision = 0;  ///< watch: changes after this.
  std::string after;      ///< list: continue after this name.
  time_us wait = 0;       ///< watch: longest wait for a change.
  time_us timeout = 0;    ///< The call fails without an answer by then.
};

/** How a call to the registry ended. */
enum class registry_status : uint8_t {
  ok,
  history_gone,  ///< The changes asked for are no longer kept.
  throttled,     ///< Over the rate; try later.
  refused,       ///< Nothing was done.
  unreachable,   ///< No answer.
  unreadable,    ///< An answer that is not in the registry's format.
  end
};

/** @return The name of @p status in logs and metrics. */
std::string_view name_of(registry_status status);

/** The end of a call to the registry. */
struct registry_reply {
  uint64_t id = 0;
  registry_status status = registry_status::unreachable;
  uint64_t revision = 0;  ///< The changes are complete up to this.
  bool more = false;      ///< list: another page follows.
  std::vector<directory_change> changes;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_DIRECTORY_TYPE_H_
