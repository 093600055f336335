/** @file traffic_metrics_base.h Counters and latency histograms. */
#ifndef TURMERIC_COORDINATION_TRAFFIC_METRICS_BASE_H_
#define TURMERIC_COORDINATION_TRAFFIC_METRICS_BASE_H_

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <tuple>

#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** Latencies from 0.1 ms to 100 s on a logarithmic axis. */
using latency_histogram = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::
        regular<double, boost::histogram::axis::transform::log>(1, 0.1, 1.0)));

/** @return An empty latency histogram. */
latency_histogram make_latency_histogram();

/** Results of one service in one availability zone within one time slice. */
struct service_counts {
  uint64_t answered = 0;
  uint64_t refused = 0;       ///< Not run.
  uint64_t unknown = 0;       ///< Outcome unknown: may have run.
  uint64_t in_time = 0;       ///< Interactive answers within the objective.
  uint64_t interactive = 0;   ///< All interactive answers.
  uint64_t broken_flows = 0;  ///< Packets of flows that found no target.
};

/** Key of a time slice of a service in an availability zone. */
struct slice_key {
  service_id service;
  zone_id zone;
  int64_t slice = 0;  ///< Time divided by the length of a slice.

  bool operator<(const slice_key& o) const {
    return std::tie(service, zone, slice) <
           std::tie(o.service, o.zone, o.slice);
  }
};

/** Adds @p more to @p sum. */
void add(service_counts* sum, const service_counts& more);

/** Length of a fine time slice. */
constexpr time_us fine_slice = 10 * us_per_s;
/** Fine slices kept by a balancer: one hour. */
constexpr int64_t fine_slices_kept = 360;
/** Length of a coarse time slice. */
constexpr time_us coarse_slice = 300 * us_per_s;
/** Coarse slices kept by a balancer: three days. */
constexpr int64_t coarse_slices_kept = 864;

/** Counts of services by time slice. Drops slices older than `kept` slices. */
class slice_series {
 public:
  slice_series(time_us length, int64_t kept) : length_(length), kept_(kept) {}

  /** @return The current slice of a service in a zone; created if absent. */
  service_counts& at(time_us now, service_id service, zone_id zone);

  /** @return All slices kept. */
  const std::map<slice_key, service_counts>& all() const { return slices_; }

  /** @return The length of a slice. */
  time_us length() const { return length_; }

 private:
  time_us length_;
  int64_t kept_;
  std::map<slice_key, service_counts> slices_;
};

/** Counters of one balancer; merged over balancers by addition. */
class traffic_metrics {
 public:
  traffic_metrics();

  /** Counts an event named by a result code. */
  void count(result_code code) { ++codes_[code]; }

  /** Records the result of a request.
   * @param objective Latency objective of the service; 0 if it is unknown. */
  void record_result(time_us now,
                     service_id service,
                     zone_id zone,
                     request_priority priority,
                     result_code code,
                     time_us latency,
                     time_us objective);

  /** Records that a packet of an established flow found no target. */
  void record_broken_flow(time_us now, service_id service, zone_id zone);

  /** Records that a request was started on a target. */
  void record_start(target_id target) { ++starts_[target]; }

  /** @return Requests started, by target. */
  const std::map<target_id, uint64_t>& starts() const { return starts_; }

  /** Counts a packet received. */
  void count_packet_in() { ++packets_in_; }

  /** Counts a packet forwarded to another balancer. */
  void count_packet_forwarded() { ++packets_forwarded_; }

  /** @return Events by result code. */
  const std::map<result_code, uint64_t>& codes() const { return codes_; }

  /** @return The last hour in fine slices. */
  const slice_series& fine() const { return fine_; }

  /** @return The last three days in coarse slices. */
  const slice_series& coarse() const { return coarse_; }

  /** @return Latency of interactive answers, in ms, of all services. */
  const latency_histogram& latency() const { return latency_; }

  uint64_t packets_in() const { return packets_in_; }
  uint64_t packets_forwarded() const { return packets_forwarded_; }

 private:
  std::map<result_code, uint64_t> codes_;
  slice_series fine_{fine_slice, fine_slices_kept};
  slice_series coarse_{coarse_slice, coarse_slices_kept};
  std::map<target_id, uint64_t> starts_;
  latency_histogram latency_;
  uint64_t packets_in_ = 0;
  uint64_t packets_forwarded_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_METRICS_BASE_H_
