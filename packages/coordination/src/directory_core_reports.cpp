/** @file directory_core_reports.cpp Exchange of observations of targets, such
 * as those that do not answer, among balancers. */
#include <algorithm>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {
namespace {

/** Targets whose last observation is kept for peers that start or return; more
 * targets fail only together with their zone. Also the bound of peers' reports
 * kept until the first table is published. */
constexpr size_t max_recent_reports = 256;

}  // namespace

directory_core::actions directory_core::on_local_reports(
    time_us now,
    const std::vector<target_report>& reports) {
  actions out;
  for (const auto& report : reports) {
    if (pending_reports_.size() < options_.max_reports)
      pending_reports_.push_back(report);
    record_report(now, report);
  }
  if (now - reports_sent_ >= options_.report_interval)
    send_reports(now, &out);
  return out;
}

void directory_core::record_report(time_us now, const target_report& report) {
  if (recent_reports_.size() >= max_recent_reports &&
      recent_reports_.count(report.token) == 0)
    return;
  auto& [last, expires] = recent_reports_[report.token];
  const bool still_silent = expires > now &&
                            last.observation == target_observation::silent &&
                            report.observation == target_observation::silent;
  const uint32_t earlier_failures = still_silent ? last.failures : 0;
  last = report;
  last.failures += earlier_failures;
  expires = now + report.remaining;
}

void directory_core::send_reports(time_us now, actions* out) {
  if (pending_reports_.empty())
    return;
  reports_sent_ = now;
  const peer_reports message{options_.peers.address, options_.incarnation,
                             ++sequence_, std::exchange(pending_reports_, {})};
  for (const endpoint& to : peers_.nearest(now, options_.report_fanout))
    out->push_back(send_peer_message{to, message});
}

void directory_core::send_recent_reports(time_us now,
                                         const known_peer& peer,
                                         actions* out) {
  peer_reports message{
      options_.peers.address, options_.incarnation, ++sequence_, {}};
  for (auto it = recent_reports_.begin(); it != recent_reports_.end();) {
    const auto& [report, expires] = it->second;
    if (expires <= now) {
      it = recent_reports_.erase(it);
      continue;
    }
    target_report current = report;
    current.age += current.remaining - (expires - now);
    current.remaining = expires - now;
    if (message.reports.size() < options_.max_reports)
      message.reports.push_back(current);
    ++it;
  }
  if (!message.reports.empty())
    out->push_back(send_peer_message{peer.hello.address, std::move(message)});
}

void directory_core::on_peer_reports(time_us,
                                     const peer_reports& message,
                                     actions* out) {
  known_peer* peer = peers_.find(message.address);
  // A stale message would restore observations that have been superseded.
  if (peer == nullptr || peer->hello.incarnation != message.incarnation ||
      message.sequence <= peer->reports_sequence ||
      message.reports.size() > options_.max_reports)
    return;
  peer->reports_sequence = message.sequence;
  if (published_) {
    out->push_back(reported_targets{message.reports});
    return;
  }
  for (const auto& report : message.reports) {
    if (early_reports_.size() < max_recent_reports)
      early_reports_.push_back(report);
  }
}

}  // namespace turmeric
