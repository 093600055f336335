/** @file opening_queue.cpp Order and expected waits of openings. */
#include "turmeric/coordination/overload/opening_queue_base.h"

#include <algorithm>
#include <tuple>

namespace turmeric {
namespace {

/** Weight of the latest interval between releases in their mean. */
constexpr double interval_weight = 0.125;

}  // namespace

bool precedes(const queued_opening& a, const queued_opening& b) {
  return std::tie(a.what.priority, a.over_share, a.deadline, a.number) <
         std::tie(b.what.priority, b.over_share, b.deadline, b.number);
}

size_t opening_queue::waiting_of(uint32_t caller) const {
  const auto it = callers_.find(caller);
  return it == callers_.end() ? 0 : it->second;
}

time_us opening_queue::expected_wait(time_us now,
                                     const queued_opening& entry) const {
  const auto ahead =
      std::lower_bound(entries_.begin(), entries_.end(), entry, precedes) -
      entries_.begin();
  if (ahead == 0)
    return 0;
  // An interval that has not ended yet counts when it is longer than the mean:
  // else openings would wait to their deadlines while nothing is released.
  const double interval =
      std::max(interval_, static_cast<double>(now - interval_start_));
  return static_cast<time_us>(static_cast<double>(ahead + 1) * interval);
}

void opening_queue::place(const queued_opening& entry) {
  entries_.insert(
      std::lower_bound(entries_.begin(), entries_.end(), entry, precedes),
      entry);
}

void opening_queue::insert(time_us now, const queued_opening& entry) {
  if (entries_.empty())
    interval_start_ = now;
  place(entry);
  ++callers_[entry.what.opening.source.ip];
}

void opening_queue::set_front_over_share() {
  queued_opening entry = entries_.front();
  entries_.erase(entries_.begin());
  entry.over_share = true;
  place(entry);
}

void opening_queue::add_interval(time_us now) {
  const auto interval = static_cast<double>(now - interval_start_);
  interval_ = interval_ == 0.0
                  ? interval
                  : interval_ + interval_weight * (interval - interval_);
  interval_start_ = now;
}

queued_opening opening_queue::release_front(time_us now) {
  const queued_opening entry = entries_.front();
  entries_.erase(entries_.begin());
  add_interval(now);
  forget_caller(entry);
  return entry;
}

queued_opening opening_queue::remove_back() {
  const queued_opening entry = entries_.back();
  entries_.pop_back();
  forget_caller(entry);
  return entry;
}

std::vector<queued_opening> opening_queue::remove_overdue(time_us now,
                                                          time_us until) {
  std::vector<queued_opening> out;
  const auto kept =
      std::stable_partition(entries_.begin(), entries_.end(),
                            [&](const auto& e) { return e.deadline > until; });
  out.assign(kept, entries_.end());
  entries_.erase(kept, entries_.end());
  // All waited in vain: the interval is at least as long.
  if (entries_.empty() && !out.empty())
    add_interval(now);
  for (const auto& entry : out)
    forget_caller(entry);
  return out;
}

void opening_queue::forget_caller(const queued_opening& entry) {
  const auto it = callers_.find(entry.what.opening.source.ip);
  if (it != callers_.end() && --it->second == 0)
    callers_.erase(it);
}

time_us opening_queue::earliest_deadline() const {
  time_us earliest = INT64_MAX;
  for (const auto& entry : entries_)
    earliest = std::min(earliest, entry.deadline);
  return earliest;
}

void opening_queue::clear() {
  entries_.clear();
  callers_.clear();
}

}  // namespace turmeric
