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

/** What the users of one service in one zone saw within one time slice. */
struct service_slice {
  uint64_t answered = 0;
  uint64_t refused = 0;      ///< Truthfully not run.
  uint64_t unknown = 0;      ///< Unknown outcome.
  uint64_t in_time = 0;      ///< Interactive answers within the objective.
  uint64_t interactive = 0;  ///< Interactive answers in all.
  uint64_t broken_flows = 0;
};

/** Name of a time slice of a service in an availability zone. */
struct slice_key {
  service_id service;
  zone_id zone;
  int64_t slice = 0;  ///< Time divided by slice_length.

  bool operator<(const slice_key& o) const {
    return std::tie(service, zone, slice) <
           std::tie(o.service, o.zone, o.slice);
  }
};

/** Length of a time slice. */
constexpr time_us slice_length = 10 * us_per_s;
/** Slices kept by a balancer: one hour. */
constexpr int64_t slices_kept = 360;

/** Counters of one balancer; merged over balancers by addition. */
class traffic_metrics {
 public:
  traffic_metrics();

  /** Counts an event named by a result code. */
  void count(result_code code) { ++codes_[code]; }

  /** Records the end of a request. */
  void ended(time_us now,
             service_id service,
             zone_id zone,
             work_class work,
             result_code code,
             time_us latency,
             time_us objective);

  /** Records that a packet of an established flow found no target. */
  void broken_flow(time_us now, service_id service, zone_id zone);

  /** Counts a packet taken in. */
  void packet_in() { ++packets_in_; }

  /** Counts a packet forwarded to another balancer. */
  void packet_forwarded() { ++packets_forwarded_; }

  /** @return Events by result code. */
  const std::map<result_code, uint64_t>& codes() const { return codes_; }

  /** @return All slices kept. */
  const std::map<slice_key, service_slice>& slices() const { return slices_; }

  /** @return Latency of interactive answers, in ms, of all services. */
  const latency_histogram& latency() const { return latency_; }

  uint64_t packets_in() const { return packets_in_; }
  uint64_t packets_forwarded() const { return packets_forwarded_; }

 private:
  service_slice& slice_of(time_us now, service_id service, zone_id zone);

  std::map<result_code, uint64_t> codes_;
  std::map<slice_key, service_slice> slices_;
  latency_histogram latency_;
  uint64_t packets_in_ = 0;
  uint64_t packets_forwarded_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_TRAFFIC_METRICS_BASE_H_
