/** @file flow_steering_base.h Steering of opaque flows.
 *
 * A bucket whose target did not change needs no state: every balancer computes
 * the same target. A bucket whose target changes is moving: its owner, one
 * balancer by rendezvous choice, records the flows opened since, and every
 * other balancer asks the owner once for each flow that it does not know. A
 * flow without a record belongs to the bucket's oldest target.
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

/** Timing and bounds of flow steering. */
struct flow_options {
  time_us flow_timeout = 60 * us_per_s;  ///< A silent flow is over.
  time_us no_peer_timeout =
      3 * us_per_s;  ///< Without peers, decides after this.
  time_us note_interval = 10 * us_per_s;     ///< Between notes of one bucket.
  time_us flush_interval = 100 * us_per_ms;  ///< Between copies of records.
  size_t max_records = 1 << 20;              ///< Flows remembered at once.
  double cold_opens = 4.0;           ///< Opens a second on a target just added.
  time_us cold_doubling = us_per_s;  ///< The rate doubles in this time.
  int cold_doublings = 12;           ///< Then the target counts as warm.
  uint8_t max_hops = 4;
};

/** Faults made on purpose; see traffic_plants. */
struct flow_injected_faults {
  bool ignore_moving_buckets =
      false;  ///< Uses the newest target for all flows.
  bool ignore_zone_out = false;
};

/** @return The balancer that owns what @p key names, or a contact in its zone;
 * null if no balancer is known. */
const member_record* owner_contact(const route_table& table, uint64_t key);

/** Decides where packets of opaque flows go; see the file's comment. */
class flow_steering {
 public:
  using actions = std::vector<traffic_action>;

  flow_steering(flow_options options,
                member_record self,
                flow_injected_faults plants);

  /** Takes a newer snapshot and finds the buckets that move. */
  void update_routes(time_us now, std::shared_ptr<const route_table> table);

  /** Steers a packet that came from a caller. */
  void steer(time_us now, datagram m, traffic_metrics* metrics, actions* out);

  void on(time_us now, flow_query m, traffic_metrics* metrics, actions* out);
  void on(time_us now, const flow_hint& m);
  void on(time_us now, flow_records m, actions* out);
  void on(time_us now, bucket_notes m, actions* out);
  void on(time_us now, const moving_pull& m, actions* out);
  void on(time_us now, const moving_list& m);

  /** Runs the timers. */
  void tick(time_us now, actions* out);

  /** @return The place of the flow's target if its bucket is settled and the
   * target may get packets, else null. */
  const target_place* settled_target(service_id service, flow_id flow) const;

  /** @return Flows remembered, hints and records together. */
  size_t tracked_flows() const { return remembered_; }

  /** @return Bytes of records, notes and lists sent so far, without headers. */
  uint64_t control_bytes() const { return control_bytes_; }

  /** @return Bytes of hints sent so far, without headers: one for each flow
   * that a balancer asked about. */
  uint64_t hint_bytes() const { return hint_bytes_; }

 private:
  struct flow_key {
    service_id service;
    flow_id flow;
  };
  /** Resolution of the times kept with each flow. */
  static constexpr time_us compact_tick = 10 * us_per_ms;
  /** Times are in ticks of compact_tick since the start, to keep it small. */
  struct placement {
    target_id target;
    uint32_t used = 0;
    uint32_t refreshed : 31;  ///< When its owner was last told.
    uint32_t opened : 1;      ///< Placed at its opening; else the default.
  };
  using flow_map = std::unordered_map<flow_id, placement>;
  /** Where a flow's bucket stands. */
  struct bucket_place {
    uint32_t bucket = 0;
    target_id current;
    bool in_motion = false;
  };
  /** A balancer to ask or to tell, and whether the message ends there. */
  struct next_owner {
    const member_record* member = nullptr;
    bool here = false;
  };
  /** A bucket with targets from before its last changes. */
  struct moving_bucket {
    target_id oldest;
    time_us changed = 0;
    time_us other_used = 0;  ///< A target but the current one.
    time_us noted = 0;       ///< When this balancer last sent a note.
    bool used_since_note = false;
  };
  using bucket_map = std::map<uint32_t, moving_bucket>;

  void compare(time_us now,
               service_id service,
               const bucket_table* before,
               const bucket_table* after);
  void find_skipped_moves(time_us now, const service_index& before);
  bool young(time_us now) const;
  const moving_bucket* moving_in(service_id service, uint32_t bucket) const;
  bool announced_move(service_id service, uint32_t bucket) const;
  bool in_motion(service_id service, uint32_t bucket) const;
  std::optional<bucket_place> place_of(service_id service, flow_id flow) const;
  target_id place(time_us now,
                  const datagram& m,
                  uint32_t bucket,
                  target_id current);
  target_id place_new(time_us now, const datagram& m, target_id current);
  bool cold_open_allowed(time_us now, target_id target);
  uint32_t ticks(time_us now) const;
  placement* find(const flow_key& key);
  void tell_owner(const flow_key& key, const placement& placed);
  void remember(time_us now,
                const flow_key& key,
                target_id target,
                bool opened);
  void send_to_target(time_us now,
                      datagram m,
                      target_id target,
                      traffic_metrics* metrics,
                      actions* out);
  next_owner runner_up(uint64_t key) const;
  void pass_on(flow_query m,
               const member_record* to,
               traffic_metrics* metrics,
               actions* out);
  void hand_over();
  void tell_new_owners(const route_table& before);
  void pull_moving(time_us now, actions* out);
  void learn_moving(time_us now,
                    service_id service,
                    uint32_t bucket,
                    target_id oldest);
  void note_use(time_us now,
                service_id service,
                uint32_t bucket,
                target_id target);
  void send_notes(time_us now, actions* out);
  void copy_records(actions* out);
  void forget_old(time_us now);
  void send(endpoint to, packet body, size_t bytes, actions* out);

  flow_options options_;
  member_record self_;
  flow_injected_faults plants_;
  std::shared_ptr<const route_table> table_;
  std::unordered_map<service_id, flow_map> placements_;
  size_t remembered_ = 0;
  std::unordered_map<service_id, bucket_map> moving_;
  std::unordered_map<target_id, time_us> added_;
  std::unordered_map<target_id, double> opened_;
  std::map<service_id, flow_records> uncopied_;
  bool handed_over_ = false;
  bool synced_ = false;  ///< Holds the moving buckets of a peer.
  time_us next_pull_ = 0;
  time_us started_ = -1;
  time_us next_flush_ = 0;
  time_us next_forget_ = 0;
  uint64_t control_bytes_ = 0;
  uint64_t hint_bytes_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_FLOW_STEERING_BASE_H_
