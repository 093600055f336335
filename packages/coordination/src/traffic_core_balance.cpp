/** @file traffic_core_balance.cpp Choosing targets for new flows by load.
 *
 * The home of a target measures its load exactly and gets load reports for the
 * service's other targets. A new flow goes to the least loaded of the
 * `flow_choices` best candidates by rendezvous hashing. Comparing only these
 * keeps homes with stale reports from all choosing the same target.
 */
#include <algorithm>

#include "traffic_core_internal.h"

namespace turmeric {
namespace {

/** Weight of the newest sample in the moving average of a load. */
constexpr double sample_weight = 0.05;
/** Load added for a new flow until samples and reports include it. */
constexpr double expected_flow_load = 0.05;
/** Least share of a cold target's slots that is reported as in use. */
constexpr double cold_load_share = 0.8;
/** Units of load_report::loads per request in flight. */
constexpr double loads_per_request = 1000.0;

}  // namespace

void traffic_core::sample_loads(time_us now, actions* out) {
  if (now < next_sample_)
    return;
  next_sample_ = now + options_.load_sample_interval;
  for (const auto& [target, gate] : gates_) {
    const double in_flight =
        static_cast<double>(gate.running(now) + gate.waiting());
    double& load = loads_[target];
    load += (in_flight - load) * sample_weight;
  }
  if (now < next_report_ || !table_)
    return;
  next_report_ = now + options_.load_report_interval;
  report_loads(out);
}

void traffic_core::report_loads(actions* out) {
  std::map<service_id, load_report> reports;
  for (const auto& [target, gate] : gates_) {
    const auto place = table_->index->targets.find(target);
    if (place == table_->index->targets.end())
      continue;
    const service_config& service = *place->second.service;
    double load = loads_[target];
    if (gate.level() < options_.gate.warm_level)
      load = std::max(load, cold_load_share * service.slots);
    load_report& report = reports[service.id];
    report.service = service.id;
    report.targets.push_back(target);
    report.loads.push_back(static_cast<uint32_t>(load * loads_per_request));
  }
  for (const auto& [id, report] : reports) {
    std::set<endpoint> receivers;
    for (const auto& target : table_->index->services.at(id)->targets) {
      const member_record* home =
          target.zone == self_.zone
              ? table_->find_member(table_->home_of(target))
              : table_->usable_member_in_zone(target.zone, target.id.value);
      if (home != nullptr && home->id != self_.id)
        receivers.insert(home->peer);
    }
    for (const endpoint to : receivers)
      out->emplace_back(send_packet{to, packet(report), true});
  }
}

void traffic_core::on(time_us, const load_report& m, actions*) {
  const size_t count = std::min(m.targets.size(), m.loads.size());
  for (size_t i = 0; i < count; ++i) {
    if (gates_.count(m.targets[i]) == 0)
      loads_[m.targets[i]] =
          static_cast<double>(m.loads[i]) / loads_per_request;
  }
}

const target_config* traffic_core::least_loaded(const service_config& service,
                                                flow_id flow,
                                                const target_config* chosen) {
  std::vector<std::pair<uint64_t, const target_config*>> candidates;
  for (const auto& target : service.targets) {
    if (is_eligible(target))
      candidates.emplace_back(hash_pair(flow.value, target.id.value), &target);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  if (candidates.size() > options_.flow_choices)
    candidates.resize(options_.flow_choices);
  const target_config* best = chosen;
  double best_load = loads_[chosen->id];
  for (const auto& [score, target] : candidates) {
    const auto entry = loads_.find(target->id);
    if (entry != loads_.end() && entry->second < best_load) {
      best = target;
      best_load = entry->second;
    }
  }
  loads_[best->id] += expected_flow_load;
  return best;
}

}  // namespace turmeric
