/** @file control_core_base.h Control decisions of one balancer.
 *
 * Follows the change log, spreads it among the balancers, decides when a
 * revision comes into force, and publishes routing snapshots. Does no I/O.
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

/** Timing and bounds of the control core. */
struct control_options {
  membership_options members;
  time_us call_timeout = us_per_s;
  time_us watch_timeout = 10 * us_per_s;
  time_us peers_first = 500 * us_per_ms;    ///< Wait for peers at the start.
  time_us announce = us_per_s;              ///< Longest wait for agreement.
  time_us retry_min = 200 * us_per_ms;      ///< First retry of the platform.
  time_us retry_max = us_per_s;             ///< Longest back-off.
  time_us pull_interval = 300 * us_per_ms;  ///< Between two pulls.
  size_t watchers_per_zone = 2;
  size_t notify_fanout = 3;
  size_t fragment_bytes = 16 * 1024;  ///< Values in one config_push.
};

/** Replaces the routing snapshot of the traffic threads. */
struct publish_routes {
  std::shared_ptr<const route_table> table;
};

/** What the adapters must do for the control core. */
using control_action =
    std::variant<outgoing_gossip, platform_call, publish_routes>;

/** What the operators' command shows of one balancer. */
struct control_status {
  std::string name;
  revision held_revision = 0;
  revision in_force = 0;
  uint32_t supported_format = config_format;
  time_us since_platform_reply =
      -1;  ///< Age of the last contact; -1 for never.
  bool blocked_by_format = false;
  std::vector<member_record> members;
};

/** Follows configuration and membership; see the file's comment. */
class control_core {
 public:
  control_core(control_options options,
               member_record self,
               random_source random);

  /** Runs the timers. */
  std::vector<control_action> tick(time_us now);

  /** Handles a control datagram. */
  std::vector<control_action> receive(time_us now,
                                      endpoint from,
                                      const gossip_message& message);

  /** Handles the end of a platform call. */
  std::vector<control_action> on_platform_reply(time_us now,
                                                const platform_reply& reply);

  /** Announces that this balancer is about to stop. */
  std::vector<control_action> leave(time_us now);

  /** @return A summary for operators. */
  control_status status(time_us now) const;

  /** @return Whether operators told this instance to stop. */
  bool leave_requested() const;

 private:
  struct pending_force {
    std::shared_ptr<const service_index> index;
    time_us deadline = 0;
  };
  struct assembling_delta {
    revision from = 0;
    revision to = 0;
    std::map<uint16_t, std::vector<config_entry>> fragments;
  };
  struct reading_snapshot {
    snapshot_index index;
    size_t next_part = 0;
    std::vector<config_entry> entries;
  };

  void follow_platform(time_us now, std::vector<control_action>* out);
  void call(platform_call c, time_us now, std::vector<control_action>* out);
  void call_failed(time_us now);
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
  void maybe_pull(time_us now,
                  endpoint from,
                  const gossip_message& message,
                  std::vector<control_action>* out);
  void send_delta(endpoint to,
                  const config_delta& delta,
                  std::vector<control_action>* out);
  gossip_message notice() const;
  void learned(time_us now, revision before, std::vector<control_action>* out);
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
  std::deque<pending_force> pending_;
  std::optional<assembling_delta> assembling_;
  std::optional<reading_snapshot> snapshot_;

  time_us started_ = -1;
  time_us last_tick_ = -1;
  time_us last_contact_ = -1;
  time_us next_call_at_ = 0;
  time_us backoff_ = 0;
  time_us next_pull_at_ = 0;
  uint64_t next_call_id_ = 0;
  uint64_t open_call_ = 0;  ///< 0 if none is open.
  time_us open_call_until_ = 0;
  platform_call open_;
  bool need_snapshot_ = true;
  bool blocked_by_format_ = false;
  bool published_ = false;
  uint64_t published_members_ = 0;
  revision published_revision_ = 0;
  revision published_known_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CONTROL_CORE_BASE_H_
