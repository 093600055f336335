/** @file admission_base.h Holds or refuses new flows while the targets of their
 * service are saturated. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "turmeric/coordination/overload/caller_shares_base.h"
#include "turmeric/coordination/overload/load_monitor_base.h"
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
  size_t max_waiting = 1024;  ///< Openings of all services together.
  bool fair_shares = false;   ///< Whether callers get fair shares.
  caller_share_options shares;
};

enum class admission_verdict : uint8_t { admit, wait, refuse, end };

/** The first copy of an opening, with what decides on its turn. */
struct waiting_opening {
  segment opening;
  uint32_t priority = 0;          ///< Of its route; 0 is the highest.
  bool highest_priority = false;  ///< Of the routes of its service.
  time_us latency_objective = 0;  ///< Of its route; 0 if it has none.
};

/** An opening whose wait has ended. */
struct released_opening {
  segment opening;
  admission_verdict verdict = admission_verdict::end;  ///< admit or refuse
  time_us waited = 0;
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
   * it later; with `refuse` it is over at once.
   * @param load Of the service; see load_monitor. */
  admission_verdict on_opening(time_us now,
                               const std::string& service,
                               const waiting_opening& opening,
                               service_load load);

  /** Counts a flow of @p service that awaits an answer. */
  void on_started(time_us now, const std::string& service);

  /** Stops counting a flow: it was answered, has ended or got no answer. */
  void on_finished(time_us now, const std::string& service);

  /** Adapts the limit. Called with each answer.
   * @param delayed_share See load_monitor. */
  void on_answer(time_us now,
                 const std::string& service,
                 double delayed_share,
                 service_load load);

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
  admission_options options_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_ADMISSION_BASE_H_
