/** @file caller_shares_base.h Fair shares of callers that compete for the room
 * of a service. */
#ifndef TURMERIC_COORDINATION_OVERLOAD_CALLER_SHARES_BASE_H_
#define TURMERIC_COORDINATION_OVERLOAD_CALLER_SHARES_BASE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "turmeric/state/time_type.h"

namespace turmeric {

struct caller_share_options {
  /** Time constant with which admitted openings are forgotten: some attempts of
   * a caller. */
  time_us memory = us_per_s;
  /** Factor on the fair share up to which a caller is within it. */
  double tolerance = 1.1;
  /** Standard deviations of a caller's count that are allowed beyond that:
   * routers spread its flows over the balancers by a hash. */
  double deviations = 3.0;
  /** Callers kept for each service; the flows of further ones count as within
   * their share. */
  size_t max_callers = 4096;
  /** A caller is forgotten when its count has decayed to this: three time
   * constants after a single opening. */
  double min_count = 0.05;
  /** Services kept; callers of further ones count as within their share. */
  size_t max_services = 1024;
};

/** Counts the openings admitted for each caller, and tells which callers have
 * got more than the others. A caller is an IP address. */
class caller_shares {
 public:
  explicit caller_shares(caller_share_options options) : options_(options) {}

  void on_admitted(time_us now, const std::string& service, uint32_t caller);

  /** @param waiting Openings of the caller that may be admitted before this
   * one; without them, a burst would count as within the share.
   * @return Whether another opening would put @p caller over its fair share of
   * the service. */
  bool over_share(time_us now,
                  const std::string& service,
                  uint32_t caller,
                  size_t waiting = 0) const;

  /** @return The callers kept for all services together. */
  size_t callers() const;

 private:
  /** Counts of one service. They are stored as of `origin`, so that decay
   * changes none of them: an opening at time t adds exp((t - origin) / memory).
   */
  struct service_counts {
    std::unordered_map<uint32_t, double> callers;
    double sum = 0.0;
    time_us origin = 0;
  };

  /** @return The factor by which counts decay in @p elapsed. */
  double decay(time_us elapsed) const;

  /** Moves the origin to @p now and removes callers that got nothing lately. */
  void rebase(time_us now, service_counts* counts) const;

  caller_share_options options_;
  std::unordered_map<std::string, service_counts> services_;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_OVERLOAD_CALLER_SHARES_BASE_H_
