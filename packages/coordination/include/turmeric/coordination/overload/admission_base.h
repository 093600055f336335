/** @file admission_base.h Holds or refuses new flows while the targets of their
 * service are saturated. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "turmeric/coordination/overload/caller_shares_base.h"
#include "turmeric/coordination/overload/concurrency_limit_base.h"
#include "turmeric/coordination/overload/load_monitor_base.h"
#include "turmeric/coordination/overload/opening_queue_base.h"
#include "turmeric/state/segment_type.h"

namespace turmeric {

struct admission_options {
  bool enabled = false;
  /** Longest wait of an opening. Callers send a copy after 200 ms, which
   * another balancer may get and place. */
  time_us max_wait = 50 * us_per_ms;
  /** The same as a share of the route's latency objective, so that a caller
   * that is refused in the end has time for another attempt. */
  double objective_share = 0.25;
  /** An opening is decided on by this time after its earliest arrival; from
   * 150 ms on it is dropped, as a copy may be under way. */
  time_us last_decision = 140 * us_per_ms;
  size_t max_waiting = 1024;  ///< Openings of all services together.
  bool fair_shares = false;   ///< Whether callers get fair shares.
  caller_share_options shares;
  concurrency_limit_options limit;
  /** Services kept. Idle ones are removed when there are more. */
  size_t max_services = 1024;
};

enum class admission_verdict : uint8_t { admit, wait, refuse, end };

/** An opening whose wait has ended. */
struct released_opening {
  segment opening;
  admission_verdict verdict = admission_verdict::end;  ///< admit or refuse
  time_us waited = 0;
  time_us arrived = 0;  ///< See waiting_opening.
};

/** State of one service, for metrics. */
struct admission_status {
  std::string service;
  double limit = -1.0;  ///< Flows that may await an answer; -1 without a limit.
  uint32_t in_flight = 0;
  size_t waiting = 0;
};

/** Decides on the openings of one balancer. */
class admission {
 public:
  explicit admission(admission_options options);

  /** Decides on an opening of @p service. With `wait`, take_released() returns
   * it later; with `refuse` it is over at once. The opening of a flow that
   * waits already is not queued again, and other copies are admitted.
   * @param load Of the service; see load_monitor. */
  admission_verdict on_opening(time_us now,
                               const std::string& service,
                               const waiting_opening& opening,
                               service_load load);

  /** Counts a flow of @p service that awaits an answer. */
  void on_started(time_us now, const std::string& service);

  /** Stops counting a flow: it was answered, has ended or got no answer. */
  void on_finished(time_us now, const std::string& service);

  /** Adapts the limit. Called with each answer, and for each opening that a
   * target may have reset. @param answered See concurrency_limit. */
  void on_outcome(time_us now,
                  const std::string& service,
                  service_load load,
                  bool answered);

  /** @return The openings whose wait has ended since the last call, those to be
   * admitted in the order of their turn. Each counts as started only when
   * on_started() is called for it. */
  std::vector<released_opening> take_released(time_us now);

  /** Drops the openings that wait, after a pause of the process: their callers
   * have sent copies. */
  void drop_waiting();

  /** @return Whether the opening of the flow waits here. */
  bool is_waiting(const flow_key& key) const;

  /** @return When take_released() is due, or INT64_MAX. */
  time_us next_due() const;

  /** @return The services that have flows or a limit. */
  std::vector<admission_status> status() const;

 private:
  struct service_state {
    uint32_t in_flight = 0;
    concurrency_limit limit;
    opening_queue queue;
  };

  service_state& state_of(const std::string& service);
  bool has_room(const service_state& state) const;

  /** Makes take_released() due if an opening can be admitted. */
  void schedule_release(time_us now, const service_state& state);

  admission_verdict enqueue(time_us now,
                            service_state* state,
                            queued_opening entry);

  /** Removes the last of all waiting openings in order if it comes after
   * @p entry. @return Whether there is a place for @p entry. */
  bool make_place(time_us now, const queued_opening& entry);

  void release(time_us now,
               const std::string& service,
               service_state* state,
               std::vector<released_opening>* out);
  void finish_wait(time_us now,
                   const queued_opening& entry,
                   admission_verdict verdict,
                   std::vector<released_opening>* out);
  bool over_share(time_us now,
                  const std::string& service,
                  uint32_t caller,
                  size_t waiting) const;
  void count_admitted(time_us now, const std::string& service, uint32_t caller);

  admission_options options_;
  caller_shares shares_;
  std::map<std::string, service_state> services_;
  std::unordered_set<flow_key, flow_key_hash> waiting_;
  std::vector<released_opening> evicted_;  ///< Until take_released().
  uint64_t next_number_ = 0;
  time_us due_ = INT64_MAX;  ///< Not later than any end of a wait.
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_
