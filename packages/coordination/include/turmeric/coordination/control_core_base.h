/** @file control_core_base.h Control plane of one balancer.
 *
 * Follows the change log, exchanges configuration deltas with other balancers,
 * decides when a revision comes into force, and publishes routing snapshots.
 * Does no I/O.
 */
#ifndef TURMERIC_COORDINATION_CONTROL_CORE_BASE_H_
#define TURMERIC_COORDINATION_CONTROL_CORE_BASE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "turmeric/coordination/membership_base.h"
#include "turmeric/state/change_func.h"
#include "turmeric/state/platform_type.h"
#include "turmeric/state/route_base.h"

namespace turmeric {

struct control_options {
  membership_options members;
  time_us call_timeout = us_per_s;        ///< Of a platform read.
  time_us watch_timeout = 10 * us_per_s;  ///< Of a watch of the change log.
  /** Time after the start in which the configuration is taken from other
   * members and the platform is not called. */
  time_us startup_grace = 500 * us_per_ms;
  /** A revision comes into force after this time at the latest, even if not all
   * usable members of the zone hold it. */
  time_us agreement_timeout = us_per_s;
  /** First backoff of platform calls, and the least wait before a retry. */
  time_us backoff_min = 200 * us_per_ms;
  time_us backoff_max = us_per_s;
  time_us min_pull_interval = 300 * us_per_ms;  ///< Between two config_pulls.
  size_t watchers_per_zone = 2;  ///< Balancers that watch the change log.
  size_t notify_fanout = 3;      ///< Members that get a notice at once.
  /** Approximate limit of the entries in one config_push; a larger entry is
   * sent alone. */
  size_t max_fragment_bytes = 16 * 1024;
};

/** Replaces the routing snapshot of the traffic threads. */
struct publish_routes {
  std::shared_ptr<const route_table> table;
};

/** What the caller must do for the control core. */
using control_action =
    std::variant<outgoing_gossip, platform_call, publish_routes>;

/** Status of one balancer, as shown by the operators' command. */
struct control_status {
  std::string name;
  revision held_revision = 0;  ///< Newest revision received.
  revision in_force = 0;       ///< Revision that traffic is routed by.
  uint32_t supported_format = config_format;  ///< Newest format.
  /** Age of the platform's last reply; -1 if there was none. */
  time_us since_platform_reply = -1;
  /** A change or snapshot has a newer format, so the configuration is no longer
   * updated. */
  bool blocked_by_format = false;
  std::vector<member_record> members;
};

class control_core {
 public:
  control_core(control_options options,
               member_record self,
               random_source random);

  /** Runs the timers. To be called more often than the suspicion timeout: a
   * longer gap counts as a pause of the process. */
  std::vector<control_action> tick(time_us now);

  std::vector<control_action> receive(time_us now,
                                      endpoint from,
                                      const gossip_message& message);

  /** Handles the reply to the open platform call, or its timeout; ignores
   * replies to other calls. */
  std::vector<control_action> on_platform_reply(time_us now,
                                                const platform_reply& reply);

  /** Marks this balancer as leaving and notifies some members. */
  std::vector<control_action> leave(time_us now);

  control_status status(time_us now) const;

  /** @return Whether the configuration in force requests that this instance
   * leaves. */
  bool leave_requested() const;

 private:
  struct pending_revision {
    std::shared_ptr<const service_index> index;
    time_us deadline = 0;
  };
  struct partial_delta {
    revision from = 0;
    revision to = 0;
    std::map<uint16_t, std::vector<config_entry>> fragments;
  };
  struct partial_snapshot {
    snapshot_index index;
    size_t next_part = 0;
    std::vector<config_entry> entries;
  };

  void follow_platform(time_us now, std::vector<control_action>* out);
  void start_call(platform_call c,
                  time_us now,
                  std::vector<control_action>* out);
  void schedule_retry(time_us now);
  void on_watch(time_us now,
                const platform_reply& reply,
                std::vector<control_action>* out);
  void on_snapshot_index(time_us now,
                         const platform_reply& reply,
                         std::vector<control_action>* out);
  void on_snapshot_part(time_us now,
                        const platform_reply& reply,
                        std::vector<control_action>* out);
  void read_next_part(time_us now, std::vector<control_action>* out);
  void on_pull(endpoint to,
               const gossip_message& message,
               std::vector<control_action>* out);
  void on_push(time_us now,
               const gossip_message& message,
               std::vector<control_action>* out);
  void pull_if_behind(time_us now,
                      endpoint from,
                      const gossip_message& message,
                      std::vector<control_action>* out);
  void send_delta(endpoint to,
                  const config_delta& delta,
                  std::vector<control_action>* out);
  gossip_message make_notice() const;
  void on_revision_applied(time_us now,
                           revision before,
                           std::vector<control_action>* out);
  void bring_into_force(time_us now);
  void publish_if_changed(std::vector<control_action>* out);
  template <typename T>
  void append(std::vector<T> from, std::vector<control_action>* out);

  control_options options_;
  membership members_;
  random_source random_;
  config_state state_;
  index_builder builder_;
  std::shared_ptr<const service_index> in_force_;
  std::deque<pending_revision> pending_revisions_;
  std::optional<partial_delta> partial_delta_;
  std::optional<partial_snapshot> partial_snapshot_;

  time_us first_tick_ = -1;
  time_us last_tick_ = -1;
  time_us last_platform_reply_ = -1;
  time_us next_call_at_ = 0;
  time_us backoff_ = 0;
  time_us next_pull_at_ = 0;
  uint64_t next_call_id_ = 0;
  uint64_t open_call_id_ = 0;  ///< 0 if no call is open.
  time_us open_call_deadline_ = 0;
  platform_call open_call_;
  bool need_snapshot_ = true;
  bool blocked_by_format_ = false;
  bool published_ = false;
  uint64_t published_view_version_ = 0;
  revision published_revision_ = 0;
  revision published_held_revision_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CONTROL_CORE_BASE_H_
