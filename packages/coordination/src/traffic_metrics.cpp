/** @file traffic_metrics.cpp Recording of request ends. */
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

service_slice& traffic_metrics::slice_of(time_us now,
                                         service_id service,
                                         zone_id zone) {
  const int64_t slice = now / slice_length;
  const slice_key key{service, zone, slice};
  const auto it = slices_.find(key);
  if (it != slices_.end())
    return it->second;
  for (auto old = slices_.begin(); old != slices_.end();) {
    const bool expired = old->first.slice < slice - slices_kept;
    old = expired ? slices_.erase(old) : std::next(old);
  }
  return slices_[key];
}

void traffic_metrics::ended(time_us now,
                            service_id service,
                            zone_id zone,
                            work_class work,
                            result_code code,
                            time_us latency,
                            time_us objective) {
  count(code);
  service_slice& slice = slice_of(now, service, zone);
  if (code == result_code::unknown_outcome)
    ++slice.unknown;
  else if (code != result_code::ok)
    ++slice.refused;
  else
    ++slice.answered;
  if (code != result_code::ok || work != work_class::interactive)
    return;
  ++slice.interactive;
  if (latency <= objective)
    ++slice.in_time;
  latency_(static_cast<double>(latency) / us_per_ms);
}

void traffic_metrics::broken_flow(time_us now,
                                  service_id service,
                                  zone_id zone) {
  ++slice_of(now, service, zone).broken_flows;
}

}  // namespace turmeric
