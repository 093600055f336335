/** @file forwarding_table_base.h Immutable snapshot that segments are
 * forwarded by; made by the control thread, read by the traffic thread. */
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

/** A target with what the balancer knows of its registration. */
struct target_input {
  target_entry entry;
  /** End of the time in which it may get new flows; microseconds, local. Never
   * passes for a registered target. */
  time_us eligible_until = INT64_MAX;
  bool registered = true;  ///< Whether its entry is in the registry.
};

/** What the table is made of. */
struct table_input {
  std::vector<target_input> targets;
  std::shared_ptr<const directory_value> routing;  ///< Null before it is known.
  std::set<std::string> withdrawn_zones;
  std::array<uint64_t, directory_kinds> revisions{};
};

/** A target as the traffic path uses it. */
struct forwarding_target {
  target_entry entry;
  flow_token token = 0;
  time_us eligible_until = 0;  ///< 0 if it may get no new flows.
  double cold_per_s = 0.0;     ///< New flows a second while it is cold.
};

/** @return The token of the target named @p name; depends on nothing else, so
 * that balancers agree on it whatever else they know. Never 0. */
flow_token token_of(const std::string& name);

/** Snapshot of targets and routes. */
class forwarding_table {
 public:
  explicit forwarding_table(const table_input& input);

  /** @return The target that @p token names, or null. */
  const forwarding_target* target_of(flow_token token) const;

  /** @return The route at @p address, or null. */
  const route_entry* route_at(const endpoint& address) const;

  /** @return The targets of @p service that may get new flows. */
  const std::vector<const forwarding_target*>& eligible_targets(
      const std::string& service) const;

  /** @return All targets by token. */
  const std::unordered_map<flow_token, forwarding_target>& targets() const {
    return targets_;
  }

  /** @return Revisions of the directory kinds that it was made from. */
  const std::array<uint64_t, directory_kinds>& revisions() const {
    return revisions_;
  }

  /** @return Version of the routing configuration. */
  uint64_t routing_version() const { return routing_version_; }

  /** @return Time after which an idle flow may be forgotten. */
  time_us idle_timeout() const { return idle_timeout_; }

 private:
  struct endpoint_hash {
    size_t operator()(const endpoint& e) const {
      return (static_cast<size_t>(e.ip) << 16) | e.port;
    }
  };

  void add_target(const target_input& known,
                  const std::set<std::string>& withdrawn);
  void add_routing(const routing_entry& routing);
  void index_openings();

  std::unordered_map<flow_token, forwarding_target> targets_;
  std::unordered_map<flow_token, bool> registered_;
  std::unordered_map<endpoint, route_entry, endpoint_hash> routes_;
  std::unordered_map<std::string, std::vector<const forwarding_target*>>
      openings_;
  std::array<uint64_t, directory_kinds> revisions_{};
  uint64_t routing_version_ = 0;
  time_us idle_timeout_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FORWARDING_TABLE_BASE_H_
