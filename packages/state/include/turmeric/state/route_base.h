/** @file route_base.h Immutable snapshot that the traffic threads read. */
#ifndef TURMERIC_STATE_ROUTE_BASE_H_
#define TURMERIC_STATE_ROUTE_BASE_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "turmeric/state/config_state_base.h"
#include "turmeric/state/member_type.h"
#include "turmeric/state/service_type.h"

namespace turmeric {

/** Where a target stands in the configuration. */
struct target_place {
  std::shared_ptr<const service_config> service;
  const target_config* target = nullptr;
};

/** Targets of a service's buckets. A flow belongs to one bucket for ever; a
 * bucket changes its target only with the configuration. */
struct bucket_table {
  std::vector<target_id> targets;  ///< A power of two; invalid for none.

  /** @return The bucket of @p flow. */
  uint32_t bucket_of(flow_id flow) const {
    return static_cast<uint32_t>(hash_pair(flow.value, 0) &
                                 (targets.size() - 1));
  }
};

/** Spreads buckets evenly over the targets that take new flows. A change of
 * the set moves little more than the buckets of the targets that changed. */
bucket_table make_buckets(const service_config& service,
                          const std::vector<const target_config*>& eligible);

/** Services and targets of one revision. */
struct service_index {
  revision in_force = 0;
  std::unordered_map<service_id, std::shared_ptr<const service_config>>
      services;
  std::unordered_map<service_id, std::shared_ptr<const bucket_table>> buckets;
  std::unordered_map<target_id, target_place> targets;
  std::unordered_set<zone_id> zones_out;
  std::unordered_set<target_id> draining;
  std::unordered_set<member_id> leaving;  ///< Balancers told to stop.
  std::unordered_map<zone_id, revision> zone_changed;  ///< Last set or cleared.
  std::unordered_map<target_id, revision> drain_changed;

  /** @return The place of @p id if it belongs to @p service, else null. */
  const target_place* find(service_id service, target_id id) const;

  /** @return Whether the target may get work that opens a flow. */
  bool takes_new_flows(const target_config& target) const;

  /** @return Whether the target may get work at all. */
  bool reachable(const target_config& target) const;
};

/** Builds indexes, parsing only what changed between revisions. */
class index_builder {
 public:
  /** @return The index of @p state. */
  std::shared_ptr<const service_index> build(const config_state& state);

 private:
  struct cached_service {
    revision changed = 0;
    std::shared_ptr<const service_config> service;
    std::vector<const target_config*> eligible;
    std::shared_ptr<const bucket_table> buckets;
  };
  void add_service(const config_entry& entry, service_index* index);
  void add_buckets(service_index* index);

  std::unordered_map<std::string, cached_service> cache_;
};

/** Everything a traffic thread decides on. Replaced whole, never changed. */
struct route_table {
  std::shared_ptr<const service_index> index;
  std::shared_ptr<const service_index> announced;  ///< Newest one known.
  member_record self;
  std::vector<member_record> members;  ///< Known live or leaving ones.

  /** Balancer that alone starts work on a target of this zone.
   * @return Invalid if the target's zone has no live balancer known here. */
  member_id home_of(const target_config& target) const;

  /** @return The record of @p id, or null. */
  const member_record* find_member(member_id id) const;

  /** @return Some usable member but this one, chosen by @p key, or null. */
  const member_record* any_peer(uint64_t key) const;

  /** @return The @p rank-th best usable member of the own zone for @p key, or
   * null. Rank 0 owns what the key names, rank 1 would own it next. */
  const member_record* owner_in_zone(uint64_t key, size_t rank) const;

  /** @return Some live member of @p zone chosen by @p key, or null. */
  const member_record* contact_in(zone_id zone, uint64_t key) const;

  /** @return As contact_in(), but none that is about to stop. */
  const member_record* usable_contact_in(zone_id zone, uint64_t key) const;

  /** @return All zones with a usable member, the best one for @p key first. */
  std::vector<zone_id> zones_by(uint64_t key) const;
};

/** Chooses a target for a new flow by rendezvous hashing, so that a change of
 * the set moves only the flows of the targets that changed.
 * @return Null if no target is eligible. */
const target_config* choose_target(
    const service_config& service,
    flow_id flow,
    const std::function<bool(const target_config&)>& eligible);

}  // namespace turmeric

#endif  // TURMERIC_STATE_ROUTE_BASE_H_
