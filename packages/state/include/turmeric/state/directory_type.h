/** @file directory_type.h Entries of the registry on platforms that have one
 * (targets, routing configuration, withdrawn availability zones) and calls to
 * the registry. */
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

/** Kinds of directory entries. Each is listed and watched separately. */
enum class directory_kind : uint8_t { targets, routing, withdrawals, end };

/** Number of directory kinds. */
constexpr size_t directory_kinds = static_cast<size_t>(directory_kind::end);

/** @return The name of @p kind in logs and metrics. */
std::string_view name_of(directory_kind kind);

/** A place in the registry's history.
 *
 * A registry that was restored from an older copy starts a new era and gives
 * out revisions again, so that a revision alone does not tell which of two
 * states is newer.
 */
struct registry_version {
  uint64_t era = 0;  ///< 0 if unknown, for instance from an older balancer.
  uint64_t revision = 0;
};

/** @return Whether the era of both is known and differs. */
inline bool in_different_eras(const registry_version& a,
                              const registry_version& b) {
  return a.era != 0 && b.era != 0 && a.era != b.era;
}

/** @return Whether @p a is newer than @p b. Revisions are compared if an era is
 * unknown. */
inline bool is_newer(const registry_version& a, const registry_version& b) {
  return in_different_eras(a, b) ? a.era > b.era : a.revision > b.revision;
}

/** A target's registration. */
struct target_entry {
  std::string name;
  /** Identifies the target in the header of forwarded segments. */
  uint64_t number = 0;
  std::string service;
  std::string zone;
  endpoint address;
  uint32_t slots = 1;     ///< Requests that it processes concurrently.
  bool draining = false;  ///< Gets no new flows.
  /** Start of its process, Unix time in ms; 0 if unknown. */
  uint64_t started_unix_ms = 0;
  /** End of its slow start in microseconds, local clock; 0 if none. In
   * messages: the remaining time. */
  int64_t cold_until = 0;
  uint64_t created = 0;  ///< Registry revision of its registration.
};

/** A service of a route, with its share of the route's new flows. */
struct weighted_service {
  std::string service;
  uint32_t weight = 0;
};

bool operator==(const weighted_service& a, const weighted_service& b);

/** Kind of the requests in the flows of a route. Requests of kinds other than
 * `safe` and `download` run at most once. */
enum class route_kind : uint8_t { safe, unsafe, download, upload, end };

/** @return The name of @p kind in logs and metrics. */
std::string_view name_of(route_kind kind);

/** Route of the new flows to one address and port. */
struct route_entry {
  std::string name;
  endpoint address;
  route_kind kind = route_kind::unsafe;
  time_us timeout = 0;
  time_us latency_objective = 0;
  uint32_t priority = 0;  ///< 0 is the highest.
  std::vector<weighted_service> services;
};

bool operator==(const route_entry& a, const route_entry& b);
inline bool operator!=(const route_entry& a, const route_entry& b) {
  return !(a == b);
}

/** Limits of one service. */
struct service_entry {
  std::string name;
  uint32_t max_flows = 0;   ///< Most flows of one target.
  double cold_per_s = 0.0;  ///< New flows per second to a target in slow start.
};

bool operator==(const service_entry& a, const service_entry& b);

/** The complete routing configuration. */
struct routing_entry {
  uint64_t version = 0;
  std::vector<route_entry> routes;
  std::vector<service_entry> services;
  /** After this time without packets a flow may be dropped. */
  time_us idle_timeout = 0;
};

bool operator==(const routing_entry& a, const routing_entry& b);
inline bool operator!=(const routing_entry& a, const routing_entry& b) {
  return !(a == b);
}

/** A withdrawn availability zone: its targets get no packets. */
struct withdrawal_entry {
  std::string zone;
};

/** Decoded value of one directory entry. */
using directory_value =
    std::variant<target_entry, routing_entry, withdrawal_entry>;

/** Change of one entry. */
struct directory_change {
  std::string name;
  uint64_t revision = 0;
  bool removed = false;
  /** Null if the entry was removed or cannot be decoded. */
  std::shared_ptr<const directory_value> value;
  std::string read_error;  ///< Why the entry cannot be decoded, else empty.
  /** Parts of the value that could not be decoded, with the reason. They were
   * left out or have their default. */
  std::vector<std::string> unread_parts;
};

/** Operations on the registry. */
enum class registry_op : uint8_t { list, watch };

/** What a call to the registry is made for. */
enum class registry_call_cause : uint8_t {
  list,      ///< All entries, as none are known or the history is gone.
  watch,     ///< The next change; waits for it.
  catch_up,  ///< The changes since the known revision, at once.
  retry,     ///< The same after a failed call.
  end
};

/** @return The name of @p cause in logs and metrics. */
std::string_view name_of(registry_call_cause cause);

/** A call to the registry. */
struct registry_call {
  uint64_t id = 0;
  registry_op op = registry_op::list;
  registry_call_cause cause = registry_call_cause::list;
  directory_kind kind = directory_kind::targets;
  uint64_t revision = 0;  ///< watch: return the changes after this revision.
  std::string after;      ///< list: return the entries after this name.
  /** watch: the registry answers after this at the latest. */
  time_us wait = 0;
  /** Without an answer within this time the call fails. */
  time_us timeout = 0;
};

/** Outcome of a call to the registry. */
enum class registry_status : uint8_t {
  ok,
  history_gone,  ///< The registry no longer has the requested changes.
  throttled,     ///< Rate limit exceeded; retry later.
  refused,       ///< The call was rejected and had no effect.
  unreachable,   ///< No answer.
  unreadable,    ///< The answer is not in the registry's format.
  outdated,      ///< The answer is of an older era than one seen before.
  end
};

/** @return The name of @p status in logs and metrics. */
std::string_view name_of(registry_status status);

/** Result of a call to the registry. */
struct registry_reply {
  uint64_t id = 0;
  registry_status status = registry_status::unreachable;
  /** Era of the registry; 0 if the answer does not name a readable one. */
  uint64_t era = 0;
  uint64_t revision = 0;  ///< `changes` is complete up to this revision.
  bool has_more = false;  ///< list: there is another page.
  size_t nameless = 0;    ///< Entries left out: their names are unreadable.
  std::vector<directory_change> changes;
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_DIRECTORY_TYPE_H_
