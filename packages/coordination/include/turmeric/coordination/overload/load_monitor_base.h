/** @file load_monitor_base.h Learns how long answers usually take and detects
 * services whose targets let requests queue. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_LOAD_MONITOR_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_LOAD_MONITOR_BASE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "turmeric/coordination/forwarding_table_base.h"

namespace turmeric {

struct load_monitor_options {
  /** Answers whose median is one estimate of a route's usual time. */
  size_t window = 16;
  /** Share by which the usual time approaches a lower estimate. */
  double approach = 0.25;
  /** Growth of the usual time in a second while the estimates are higher. It
   * doubles in 140 s, so that an overload of a minute does not count as usual,
   * while work that has become longer does after some minutes. */
  double growth = 0.005;
  /** During an overload, lower estimates are ignored for this long after the
   * last that was taken: rejections are faster than answers, but a usual time
   * that was learned too high has to fall in the end. */
  time_us max_ignored = 30 * us_per_s;
  /** While requests queue, an answer that takes less than this share of the
   * usual time is a rejection: the target has not worked on the request. */
  double rejected_ratio = 0.2;
  /** An answer is delayed if it takes this many times the usual time: the
   * request has waited for about one other. */
  double delayed_ratio = 2.0;
  /** Answers of a service by which its load is judged; at most 64. */
  uint32_t recent = 32;
  /** Share of delayed answers from which targets of a service may be full. A
   * few slow targets, or lost packets, delay fewer. */
  double queueing_share = 0.25;
  /** Share of delayed answers from which requests queue at nearly all targets
   * of a service. It is saturated if targets also turn requests away: as long
   * as they take every request, callers only wait. */
  double saturated_share = 0.6;
  /** Share of openings and requests turned away, among as many recent
   * outcomes, from which a saturated service is overloaded. Callers repeat what
   * was turned away; while it is less than this, refusals would cost them more.
   */
  double turned_away_share = 1.0 / 16;
  /** A request without an answer for this many usual times was reset by its
   * target: the queue of a target holds a few requests for each slot. */
  double lost_ratio = 8.0;
  /** The load is unknown if the last answer is older than this, and the same
   * holds for the last reset opening. */
  time_us max_age = us_per_s;
};

/** Load of a service, as shown by its answers. */
enum class service_load : uint8_t {
  normal,      ///< Also if it is unknown.
  queueing,    ///< Requests wait at some of its targets.
  saturated,   ///< The same at nearly all, and full ones turn some away.
  overloaded,  ///< Saturated, and a sixteenth or more is turned away.
  end
};

/** @return The name of @p load in logs and metrics. */
std::string_view name_of(service_load load);

/** Times from requests to the first parts of their answers, as seen by one
 * balancer. */
class load_monitor {
 public:
  explicit load_monitor(load_monitor_options options) : options_(options) {}

  /** Records an answer on @p route of @p service; a rejection counts as a reset
   * opening.
   * @return Its time in units of the usual time of the route; 0 while that is
   * unknown. */
  double add(time_us now,
             const std::string& service,
             const endpoint& route,
             time_us took);

  /** Records that a target of @p service has probably reset an opening or a
   * request. Counts as a delayed answer if requests queue: targets that reset
   * them for another reason answer the others without delay. */
  void add_reset(time_us now, const std::string& service);

  /** @return The time after which a request on @p route has been reset if it
   * has no answer; 0 if that is unknown. */
  time_us lost_after(const endpoint& route) const {
    return static_cast<time_us>(options_.lost_ratio *
                                static_cast<double>(usual(route)));
  }

  /** @return The share of delayed answers among the recent ones, 0 if too few
   * or none are recent. */
  double delayed_share(time_us now, const std::string& service) const;

  service_load load(time_us now, const std::string& service) const;

  /** @return The usual time of @p route, or 0 if it is unknown. */
  time_us usual(const endpoint& route) const;

  /** Removes what is known about routes that are not in @p table. */
  void retain(const forwarding_table& table);

 private:
  struct endpoint_hash {
    size_t operator()(const endpoint& e) const {
      return (static_cast<size_t>(e.ip) << 16) | e.port;
    }
  };

  struct route_times {
    std::vector<time_us> window;
    time_us usual = 0;
    time_us updated = 0;  ///< Last estimate.
    time_us lowered = 0;  ///< Last one that was taken and not higher.
  };

  struct service_answers {
    uint64_t delayed = 0;      ///< One bit per recent answer.
    uint64_t turned_away = 0;  ///< One bit per recent answer or reset.
    uint32_t count = 0;        ///< Recent answers, up to `recent`.
    time_us last = 0;
    time_us last_reset = INT64_MIN / 2;  ///< Of an opening or a request.
  };

  void count_answer(time_us now, bool delayed, service_answers* answers) const;
  /** @return The share of the recent ones that are set. */
  double share_of(uint64_t recent_bits) const;
  /** @return Whether targets have turned something away recently. */
  bool turns_away(time_us now, const std::string& service) const;
  /** @return The share turned away among the recent outcomes. */
  double turned_away_share(const std::string& service) const;
  /** @param overloaded Whether a lower estimate is ignored: rejections are
   * faster than answers. */
  void add_estimate(time_us now,
                    time_us median,
                    bool overloaded,
                    route_times* times) const;

  load_monitor_options options_;
  std::unordered_map<endpoint, route_times, endpoint_hash> routes_;
  std::unordered_map<std::string, service_answers> services_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_LOAD_MONITOR_BASE_H_
