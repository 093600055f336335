/** @file traffic_metrics.cpp Recording of request results. */
#include "turmeric/coordination/traffic_metrics_base.h"

namespace turmeric {
namespace {

constexpr unsigned latency_bins = 60;
constexpr double latency_min_ms = 0.1;
constexpr double latency_max_ms = 100000.0;

}  // namespace

latency_histogram make_latency_histogram() {
  namespace bh = boost::histogram;
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      latency_bins, latency_min_ms, latency_max_ms));
}

traffic_metrics::traffic_metrics() : latency_(make_latency_histogram()) {}

void add(service_counts* sum, const service_counts& more) {
  sum->answered += more.answered;
  sum->refused += more.refused;
  sum->unknown += more.unknown;
  sum->in_time += more.in_time;
  sum->interactive += more.interactive;
  sum->broken_flows += more.broken_flows;
}

service_counts& slice_series::at(time_us now,
                                 service_id service,
                                 zone_id zone) {
  const int64_t slice = now / length_;
  const slice_key key{service, zone, slice};
  const auto it = slices_.find(key);
  if (it != slices_.end())
    return it->second;
  for (auto old = slices_.begin(); old != slices_.end();) {
    const bool expired = old->first.slice < slice - kept_;
    old = expired ? slices_.erase(old) : std::next(old);
  }
  return slices_[key];
}

void traffic_metrics::record_result(time_us now,
                                    service_id service,
                                    zone_id zone,
                                    request_priority priority,
                                    result_code code,
                                    time_us latency,
                                    time_us objective) {
  count(code);
  // Refusals that the caller retries at once as part of the protocol, and
  // requests that it cancelled itself, do not count against the service.
  const bool excluded = code == result_code::refused_moved ||
                        code == result_code::refused_stopping ||
                        code == result_code::refused_expired ||
                        code == result_code::cancelled;
  if (excluded)
    return;
  service_counts one;
  if (code == result_code::unknown_outcome)
    one.unknown = 1;
  else if (code != result_code::ok)
    one.refused = 1;
  else
    one.answered = 1;
  if (code == result_code::ok && priority == request_priority::interactive) {
    one.interactive = 1;
    one.in_time = latency <= objective ? 1 : 0;
    latency_(static_cast<double>(latency) / us_per_ms);
  }
  add(&fine_.at(now, service, zone), one);
  add(&coarse_.at(now, service, zone), one);
}

void traffic_metrics::record_broken_flow(time_us now,
                                         service_id service,
                                         zone_id zone) {
  service_counts one;
  one.broken_flows = 1;
  add(&fine_.at(now, service, zone), one);
  add(&coarse_.at(now, service, zone), one);
}

}  // namespace turmeric
