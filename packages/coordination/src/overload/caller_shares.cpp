/** @file caller_shares.cpp Decaying counts of admitted openings. */
#include "turmeric/coordination/overload/caller_shares_base.h"

#include <cmath>
#include <iterator>

namespace turmeric {

double caller_shares::decay(time_us elapsed) const {
  return std::exp(-static_cast<double>(elapsed) /
                  static_cast<double>(options_.memory));
}

void caller_shares::rebase(time_us now, service_counts* counts) const {
  const double factor = decay(now - counts->origin);
  counts->origin = now;
  counts->sum = 0.0;
  for (auto it = counts->callers.begin(); it != counts->callers.end();) {
    it->second *= factor;
    if (it->second < options_.min_count) {
      it = counts->callers.erase(it);
    } else {
      counts->sum += it->second;
      ++it;
    }
  }
}

void caller_shares::on_admitted(time_us now,
                                const std::string& service,
                                uint32_t caller) {
  auto it = services_.find(service);
  if (it == services_.end()) {
    if (services_.size() >= options_.max_services) {
      for (auto old = services_.begin(); old != services_.end();) {
        rebase(now, &old->second);
        old =
            old->second.callers.empty() ? services_.erase(old) : std::next(old);
      }
      if (services_.size() >= options_.max_services)
        return;
    }
    it = services_.emplace(service, service_counts{}).first;
    it->second.origin = now;
  }
  service_counts& counts = it->second;
  if (now - counts.origin >= options_.memory)
    rebase(now, &counts);
  auto count = counts.callers.find(caller);
  if (count == counts.callers.end()) {
    if (counts.callers.size() >= options_.max_callers)
      return;
    count = counts.callers.emplace(caller, 0.0).first;
  }
  const double weight = decay(counts.origin - now);
  count->second += weight;
  counts.sum += weight;
}

bool caller_shares::over_share(time_us now,
                               const std::string& service,
                               uint32_t caller,
                               size_t waiting) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.callers.empty())
    return false;
  const service_counts& counts = it->second;
  const auto own = counts.callers.find(caller);
  if (own == counts.callers.end() &&
      counts.callers.size() >= options_.max_callers)
    return false;
  const double factor = decay(now - counts.origin);
  const double fair =
      counts.sum * factor / static_cast<double>(counts.callers.size());
  const double count = own == counts.callers.end() ? 0.0 : own->second * factor;
  const double bound =
      options_.tolerance * fair + options_.deviations * std::sqrt(fair) + 1.0;
  return count + static_cast<double>(waiting) + 1.0 > bound;
}

size_t caller_shares::callers() const {
  size_t total = 0;
  for (const auto& service : services_)
    total += service.second.callers.size();
  return total;
}

}  // namespace turmeric
