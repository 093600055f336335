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

struct indexed_target {
  std::shared_ptr<const service_config> service;
  const target_config* target = nullptr;
};

/** Target of each bucket of a service. The bucket of a flow never changes; the
 * target of a bucket changes only with the configuration. */
struct bucket_table {
  /** By bucket; their number is a power of two. Invalid id: none. */
  std::vector<target_id> targets;

  uint32_t bucket_of(flow_id flow) const {
    return static_cast<uint32_t>(hash_pair(flow.value, 0) &
                                 (targets.size() - 1));
  }
};

/** Distributes the buckets evenly over the targets that accept new flows. When
 * the targets change, little more than the buckets of the changed ones move. */
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

/** Builds an index for each revision; parses only the services that changed
 * since the previous one. */
class index_builder {
 public:
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

/** All input of a traffic thread's decisions; immutable, replaced as a whole.
 */
struct route_table {
  std::shared_ptr<const service_index> index;
  /** Of the newest revision; may not be in force yet. */
  std::shared_ptr<const service_index> announced;
  member_record self;
  /** Own record and all known peers. */
  std::vector<member_record> members;

  /** @return The home of @p target: the only balancer that starts requests on
   * it, a usable member of its availability zone. Invalid if `members` has none
   * there. */
  member_id home_of(const target_config& target) const;

  /** @return The record of @p id, or null. */
  const member_record* find_member(member_id id) const;

  /** @return A usable member other than this one, chosen by the hash with
   * @p key, or null. */
  const member_record* any_peer(uint64_t key) const;

  /** @return The usable member of the own availability zone at @p rank in
   * rendezvous hashing of @p key, or null. Rank 0 is the owner of @p key, rank
   * 1 would be the next owner. */
  const member_record* owner_in_zone(uint64_t key, size_t rank) const;

  /** @return A member of @p zone chosen by the hash with @p key, or null. One
   * that is leaving is the fallback if none is usable. */
  const member_record* member_in_zone(zone_id zone, uint64_t key) const;

  /** As member_in_zone(), but never a member that is leaving. */
  const member_record* usable_member_in_zone(zone_id zone, uint64_t key) const;

  /** @return Availability zones with a usable member, by rendezvous hashing of
   * @p key, the best first. */
  std::vector<zone_id> zones_ranked_by(uint64_t key) const;
};

/** Chooses a target for a new flow by rendezvous hashing: when the targets
 * change, the choice changes only for flows of the changed ones.
 * @return Null if no target is eligible. */
const target_config* choose_target(
    const service_config& service,
    flow_id flow,
    const std::function<bool(const target_config&)>& eligible);

}  // namespace turmeric

#endif  // TURMERIC_STATE_ROUTE_BASE_H_
