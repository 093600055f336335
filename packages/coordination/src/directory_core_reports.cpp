/** @file directory_core_reports.cpp What balancers tell each other of targets
 * that do not answer. */
#include <algorithm>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {
namespace {

/** Targets of which the last observation is remembered for peers that start
 * or return; more fail only together with their zone. */
constexpr size_t max_told = 256;

}  // namespace

directory_core::actions directory_core::on_local_reports(
    time_us now,
    const std::vector<target_report>& reports) {
  actions out;
  for (const auto& report : reports) {
    if (pending_reports_.size() < options_.max_reports)
      pending_reports_.push_back(report);
    remember_told(now, report);
  }
  if (now - reports_sent_ >= options_.report_interval)
    send_reports(now, &out);
  return out;
}

void directory_core::remember_told(time_us now, const target_report& report) {
  if (told_.size() >= max_told && told_.count(report.token) == 0)
    return;
  auto& [last, until] = told_[report.token];
  const bool goes_on = until > now && last.news == target_news::silent &&
                       report.news == target_news::silent;
  const uint32_t before = goes_on ? last.failures : 0;
  last = report;
  last.failures += before;
  until = now + report.left;
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

void directory_core::tell_what_holds(time_us now,
                                     const known_peer& peer,
                                     actions* out) {
  peer_reports message{
      options_.peers.address, options_.incarnation, ++sequence_, {}};
  for (auto it = told_.begin(); it != told_.end();) {
    const auto& [report, until] = it->second;
    if (until <= now) {
      it = told_.erase(it);
      continue;
    }
    target_report current = report;
    current.age += current.left - (until - now);
    current.left = until - now;
    if (message.reports.size() < options_.max_reports)
      message.reports.push_back(current);
    ++it;
  }
  if (!message.reports.empty())
    out->push_back(send_peer_message{peer.hello.address, std::move(message)});
}

void directory_core::on(time_us, const peer_reports& message, actions* out) {
  known_peer* peer = peers_.find(message.address);
  // An old message would bring back what no longer holds.
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
    if (early_reports_.size() < max_told)
      early_reports_.push_back(report);
  }
}

}  // namespace turmeric
