/** @file flow_steering_base.h Steering of opaque flows.
 *
 * A bucket whose target did not change needs no state: every balancer computes
 * the same target. A bucket whose target has changed is moving until its older
 * targets are no longer in use. Its owner, one balancer chosen by rendezvous
 * hashing, records the flows opened since the change. Every other balancer
 * queries the owner once for each flow of which it has no record. A flow
 * without a record belongs to the bucket's oldest target. Balancers whose flows
 * still use an older target send notes of the bucket to the owner.
 */
#ifndef TURMERIC_COORDINATION_FLOW_STEERING_BASE_H_
#define TURMERIC_COORDINATION_FLOW_STEERING_BASE_H_

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "turmeric/coordination/traffic_action_type.h"
#include "turmeric/coordination/traffic_metrics_base.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

struct flow_options {
  time_us flow_timeout = 60 * us_per_s;  ///< A flow idle this long has ended.
  /** Time from the start after which a balancer without peers decides alone. */
  time_us no_peer_timeout = 3 * us_per_s;
  time_us note_interval = 10 * us_per_s;     ///< Between notes of one bucket.
  time_us flush_interval = 100 * us_per_ms;  ///< Between sends of records.
  size_t max_records = 1 << 20;              ///< Hints and records together.
  /** First rate of new flows on a target just added, over all balancers. */
  double cold_opens_per_s = 4.0;
  time_us cold_doubling_time = us_per_s;  ///< The rate doubles in this time.
  int warm_after_doublings = 12;          ///< Then there is no rate limit.
  uint8_t max_hops = 4;  ///< Most forwards of a query or of records.
};

/** Faults injected on purpose, so that tests show that checkers find them. */
struct flow_injected_faults {
  bool ignore_moving_buckets = false;  ///< Uses the newest target always.
  bool ignore_zone_out = false;        ///< Sends packets to withdrawn zones.
};

/** @return The owner of @p key if it is in this balancer's zone, else a usable
 * balancer in the owner's zone that forwards to it; null if there is none. */
const member_record* owner_contact(const route_table& table, uint64_t key);

class flow_steering {
 public:
  using actions = std::vector<traffic_action>;

  flow_steering(flow_options options,
                member_record self,
                flow_injected_faults faults);

  /** Replaces the route table and marks the buckets whose target changed. */
  void update_routes(time_us now, std::shared_ptr<const route_table> table);

  /** Sends a caller's packet to the flow's target, or queries the bucket's
   * owner. */
  void steer(time_us now, datagram m, traffic_metrics* metrics, actions* out);

  void on(time_us now, flow_query m, traffic_metrics* metrics, actions* out);
  void on(time_us now, const flow_hint& m);
  void on(time_us now, flow_records m, actions* out);
  void on(time_us now, moving_buckets m, actions* out);
  void on(time_us now, const moving_buckets_request& m, actions* out);
  void on(time_us now, const moving_buckets_reply& m);

  /** Runs the timers: sends queued records and notes, removes expired state. */
  void tick(time_us now, actions* out);

  /** @return The flow's target if its bucket is not moving and has a target
   * that may get packets, else null. */
  const indexed_target* settled_target(service_id service, flow_id flow) const;

  /** Hints and records together. */
  size_t tracked_flows() const { return tracked_flows_; }

  /** @return Bytes of records, notes, pulls and lists sent, without headers. */
  uint64_t control_bytes() const { return control_bytes_; }

  /** @return Bytes of hints sent, without headers; each query of another
   * balancer gets one hint. */
  uint64_t hint_bytes() const { return hint_bytes_; }

 private:
  struct flow_key {
    service_id service;
    flow_id flow;
  };
  /** Resolution of the times stored with each flow. */
  static constexpr time_us compact_time_unit = 10 * us_per_ms;
  /** The target of one flow. Times count units of compact_time_unit since the
   * start, which keeps the struct small. */
  struct placement {
    target_id target;
    uint32_t last_used = 0;
    uint32_t last_reported : 31;  ///< When last reported to the owner.
    /** Placed at its opening; otherwise assumed without a record of it. */
    uint32_t opened : 1;
  };
  using flow_map = std::unordered_map<flow_id, placement>;
  /** A flow's bucket and its target in the table in force. */
  struct bucket_assignment {
    uint32_t bucket = 0;
    target_id current;
    bool is_moving = false;
  };
  /** The balancer that gets a query or records; `here` means that it handles
   * them itself and does not forward them. */
  struct receiver {
    const member_record* member = nullptr;
    bool here = false;
  };
  /** A bucket whose older targets may still have flows. */
  struct moving_bucket {
    target_id oldest;
    time_us changed = 0;
    time_us older_last_used = 0;  ///< Of any target but the current one.
    time_us last_note = 0;        ///< When this balancer last sent a note.
    bool older_used_since_note = false;
  };
  using bucket_map = std::map<uint32_t, moving_bucket>;

  void record_moved_buckets(time_us now,
                            service_id service,
                            const bucket_table* before,
                            const bucket_table* after);
  /** Marks all buckets of services of which a target's zone or drain flag was
   * set and cleared again, or the reverse, since @p before. */
  void find_skipped_moves(time_us now, const service_index& before);
  bool started_recently(time_us now) const;
  const moving_bucket* find_moving(service_id service, uint32_t bucket) const;
  /** @return Whether the newest announced table changes the bucket's target. */
  bool announced_move(service_id service, uint32_t bucket) const;
  bool is_moving(service_id service, uint32_t bucket) const;
  std::optional<bucket_assignment> find_bucket(service_id service,
                                               flow_id flow) const;
  target_id place_flow(time_us now,
                       const datagram& m,
                       uint32_t bucket,
                       target_id current);
  target_id place_new_flow(time_us now, const datagram& m, target_id current);
  bool cold_open_allowed(time_us now, target_id target);
  uint32_t compact_time(time_us now) const;
  placement* find(const flow_key& key);
  /** Queues a record for the owner, or for the standby owner if this balancer
   * is the owner. */
  void queue_record(const flow_key& key, const placement& placed);
  void store_placement(time_us now,
                       const flow_key& key,
                       target_id target,
                       bool opened);
  void send_to_target(time_us now,
                      datagram m,
                      target_id target,
                      traffic_metrics* metrics,
                      actions* out);
  /** @return The balancer next in rank for @p key, after the owner. */
  receiver standby_owner(uint64_t key) const;
  void forward_query(flow_query m,
                     const member_record* to,
                     traffic_metrics* metrics,
                     actions* out);
  /** When this balancer leaves, queues the records of all openings for other
   * balancers, once. */
  void hand_over();
  void queue_records_for_new_owners(const route_table& before);
  void pull_moving_buckets(time_us now, actions* out);
  void add_moving_bucket(time_us now,
                         service_id service,
                         uint32_t bucket,
                         target_id oldest);
  void mark_older_target_used(time_us now,
                              service_id service,
                              uint32_t bucket,
                              target_id target);
  /** Sends the owners notes of buckets whose older targets were used. */
  void send_notes(time_us now, actions* out);
  void send_records(actions* out);
  void remove_expired(time_us now);
  void send(endpoint to, packet body, size_t bytes, actions* out);

  flow_options options_;
  member_record self_;
  flow_injected_faults faults_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<service_id, flow_map> placements_;
  size_t tracked_flows_ = 0;
  std::unordered_map<service_id, bucket_map> moving_;
  /** When each target that is in slow start was added. */
  std::unordered_map<target_id, time_us> cold_since_;
  std::unordered_map<target_id, double> cold_opens_used_;
  std::map<service_id, flow_records> pending_records_;
  bool handed_over_ = false;
  bool synced_ = false;  ///< Has a peer's moving buckets, or found no peer.
  time_us next_pull_ = 0;
  time_us started_ = -1;
  time_us next_flush_ = 0;
  time_us next_expiry_ = 0;
  uint64_t control_bytes_ = 0;
  uint64_t hint_bytes_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FLOW_STEERING_BASE_H_
