/** @file route_base.h Immutable routing snapshots for the traffic
 * threads. */
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

/** A target in the configuration, with the service that it belongs to. */
struct indexed_target {
  std::shared_ptr<const service_config> service;
  const target_config* target = nullptr;
};

/** Target of each bucket of a service. The bucket of a flow never changes; the
 * target of a bucket changes only with the configuration. */
struct bucket_table {
  /** By bucket; a power of two of them. Invalid id: none. */
  std::vector<target_id> targets;

  /** @return The bucket of @p flow. */
  uint32_t bucket_of(flow_id flow) const {
    return static_cast<uint32_t>(hash_pair(flow.value, 0) &
                                 (targets.size() - 1));
  }
};

/** Distributes the buckets of @p service evenly over the targets that accept
 * new flows. When the set of targets changes, little more than the buckets of
 * the changed targets move. */
bucket_table make_buckets(const service_config& service,
                          const std::vector<const target_config*>& eligible);

/** Index of the services and targets of one configuration revision. */
struct service_index {
  revision in_force = 0;
  std::unordered_map<service_id, std::shared_ptr<const service_config>>
      services;
  std::unordered_map<service_id, std::shared_ptr<const bucket_table>> buckets;
  std::unordered_map<target_id, indexed_target> targets;
  std::unordered_set<zone_id> withdrawn_zones;
  std::unordered_set<target_id> draining;
  std::unordered_set<member_id> leaving;  ///< Balancers that operators drain.
  /** Last change of the withdrawal. */
  std::unordered_map<zone_id, revision> zone_changed;
  std::unordered_map<target_id, revision> drain_changed;

  /** @return The target @p id if it belongs to @p service, else null. */
  const indexed_target* find(service_id service, target_id id) const;

  /** @return Whether the target may get new flows: neither is it drained nor
   * its availability zone withdrawn. */
  bool accepts_new_flows(const target_config& target) const;

  /** @return Whether the target may get any packets or requests: its
   * availability zone is not withdrawn. */
  bool accepts_traffic(const target_config& target) const;
};

/** Builds an index for each revision. Only the services that changed since the
 * previous one are parsed. */
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

/** All input of a traffic thread's decisions. Immutable: an update replaces the
 * whole table. */
struct route_table {
  std::shared_ptr<const service_index> index;
  /** Of the newest revision; may not be in force yet. */
  std::shared_ptr<const service_index> announced;
  member_record self;
  /** Own record and those of all known peers. */
  std::vector<member_record> members;

  /** Returns the home of @p target: the only balancer that starts requests on
   * it, a usable member of its availability zone.
   * @return Invalid if the availability zone has no usable member in
   * `members`. */
  member_id home_of(const target_config& target) const;

  /** @return The record of @p id, or null. */
  const member_record* find_member(member_id id) const;

  /** @return A usable member other than this one, chosen by the hash with
   * @p key, or null. */
  const member_record* any_peer(uint64_t key) const;

  /** @return The usable member of the own availability zone with the given
   * @p rank in rendezvous hashing of @p key, or null. Rank 0 is the owner of
   * @p key, rank 1 would be its next owner. */
  const member_record* owner_in_zone(uint64_t key, size_t rank) const;

  /** @return A member of @p zone chosen by the hash with @p key, or null. A
   * member that is leaving is a fallback if none is usable. */
  const member_record* member_in_zone(zone_id zone, uint64_t key) const;

  /** @return As member_in_zone(), but never a member that is leaving. */
  const member_record* usable_member_in_zone(zone_id zone, uint64_t key) const;

  /** @return All availability zones with a usable member, in the order of
   * rendezvous hashing of @p key, the best one first. */
  std::vector<zone_id> zones_ranked_by(uint64_t key) const;
};

/** Chooses a target for a new flow by rendezvous hashing: when the set of
 * targets changes, the choice changes only for flows of the changed targets.
 * @return Null if no target is eligible. */
const target_config* choose_target(
    const service_config& service,
    flow_id flow,
    const std::function<bool(const target_config&)>& eligible);

}  // namespace turmeric

#endif  // TURMERIC_STATE_ROUTE_BASE_H_
