/** @file forwarding_table_base.h Immutable snapshot of targets and routes by
 * which segments are forwarded; built by the control thread and read by the
 * traffic thread. */
#ifndef TURMERIC_COORDINATION_FORWARDING_TABLE_BASE_H_
#define TURMERIC_COORDINATION_FORWARDING_TABLE_BASE_H_

#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "turmeric/state/directory_type.h"
#include "turmeric/state/segment_type.h"

namespace turmeric {

/** A target and the state of its registration, as input of the table. */
struct target_input {
  target_entry entry;
  /** Time until which it may get new flows, on this machine's clock; 0 if it
   * may get none. A registered target that may get flows has INT64_MAX, which
   * is never reached. */
  time_us eligible_until = INT64_MAX;
  bool registered = true;  ///< Whether its entry is in the registry.
};

/** Input from which a forwarding_table is built. */
struct table_input {
  std::vector<target_input> targets;
  std::shared_ptr<const directory_value> routing;  ///< Null until received.
  std::set<std::string> withdrawn_zones;
  std::array<uint64_t, directory_kinds> revisions{};
};

/** A target as the traffic thread uses it. */
struct forwarding_target {
  target_entry entry;
  flow_token token = 0;
  time_us eligible_until = 0;  ///< 0 if it may get no new flows.
  double cold_per_s = 0.0;     ///< New flows per second while it is cold.
};

/** @return The token of the target named @p name; never 0. It is a hash of the
 * name alone, so that balancers with different directories agree on it. */
flow_token token_of(const std::string& name);

/** Immutable snapshot of targets and routes. */
class forwarding_table {
 public:
  explicit forwarding_table(const table_input& input);

  /** @return The target with this token, or null. It lives as long as the
   * table. */
  const forwarding_target* target_of(flow_token token) const;

  /** @return The route at @p address, or null. */
  const route_entry* route_at(const endpoint& address) const;

  /** @return The targets of @p service that may get new flows, ordered by
   * token. The `eligible_until` of some may have passed since. */
  const std::vector<const forwarding_target*>& eligible_targets(
      const std::string& service) const;

  /** @return The highest priority (lowest number) of the routes to @p service;
   * UINT32_MAX without one. */
  uint32_t highest_priority(const std::string& service) const;

  /** @return All targets by token. */
  const std::unordered_map<flow_token, forwarding_target>& targets() const {
    return targets_;
  }

  /** @return The revision of each directory kind in the table's input. */
  const std::array<uint64_t, directory_kinds>& revisions() const {
    return revisions_;
  }

  /** @return Version of the routing configuration, or 0 without one. */
  uint64_t routing_version() const { return routing_version_; }

  /** @return Time after which an idle flow may be removed, or 0 without a
   * routing configuration. */
  time_us idle_timeout() const { return idle_timeout_; }

 private:
  struct endpoint_hash {
    size_t operator()(const endpoint& e) const {
      return (static_cast<size_t>(e.ip) << 16) | e.port;
    }
  };

  void add_target(const target_input& source,
                  const std::set<std::string>& withdrawn);
  void add_routing(const routing_entry& routing);
  void index_eligible();

  std::unordered_map<flow_token, forwarding_target> targets_;
  std::unordered_map<flow_token, bool> registered_;
  std::unordered_map<endpoint, route_entry, endpoint_hash> routes_;
  std::unordered_map<std::string, std::vector<const forwarding_target*>>
      eligible_;
  std::unordered_map<std::string, uint32_t> priorities_;  ///< By service.
  std::array<uint64_t, directory_kinds> revisions_{};
  uint64_t routing_version_ = 0;
  time_us idle_timeout_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FORWARDING_TABLE_BASE_H_
