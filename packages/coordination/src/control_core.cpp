/** @file control_core.cpp Timers, bringing revisions into force, and publishing
 * routing snapshots. */
#include "turmeric/coordination/control_core_base.h"

#include <algorithm>

namespace turmeric {

control_core::control_core(control_options options,
                           member_record self,
                           random_source random)
    : options_(std::move(options)),
      members_(options_.members, std::move(self), random),
      random_(std::move(random)),
      in_force_(std::make_shared<const service_index>()) {}

template <typename T>
void control_core::append(std::vector<T> from,
                          std::vector<control_action>* out) {
  for (auto& item : from)
    out->emplace_back(std::move(item));
}

std::vector<control_action> control_core::tick(time_us now) {
  std::vector<control_action> out;
  if (first_tick_ < 0)
    first_tick_ = now;
  const bool paused =
      last_tick_ >= 0 && now - last_tick_ > options_.members.suspicion_timeout;
  last_tick_ = now;
  // After a pause of the process the traffic threads need a snapshot made after
  // it, so one is published even if nothing changed.
  if (paused)
    published_ = false;
  append(members_.tick(now), &out);
  follow_platform(now, &out);
  bring_into_force(now);
  publish_if_changed(&out);
  return out;
}

std::vector<control_action> control_core::receive(
    time_us now,
    endpoint from,
    const gossip_message& message) {
  std::vector<control_action> out;
  append(members_.receive(now, from, message), &out);
  if (message.kind == gossip_kind::config_pull)
    on_pull(from, message, &out);
  if (message.kind == gossip_kind::config_push)
    on_push(now, message, &out);
  pull_if_behind(now, from, message, &out);
  bring_into_force(now);
  publish_if_changed(&out);
  return out;
}

std::vector<control_action> control_core::leave(time_us now) {
  std::vector<control_action> out;
  members_.leave();
  // Notifies some members at once; the others get the record by gossip.
  for (const auto& member : members_.sample(options_.notify_fanout))
    out.emplace_back(outgoing_gossip{member.gossip, make_notice()});
  bring_into_force(now);
  publish_if_changed(&out);
  return out;
}

gossip_message control_core::make_notice() const {
  gossip_message m;
  m.kind = gossip_kind::notice;
  m.from = members_.self();
  m.held_revision = state_.current_revision();
  return m;
}

void control_core::on_revision_applied(time_us now,
                                       revision before,
                                       std::vector<control_action>* out) {
  if (state_.current_revision() == before)
    return;
  members_.set_held_revision(state_.current_revision());
  pending_revisions_.push_back(
      {builder_.build(state_), now + options_.agreement_timeout});
  // Only a notice is sent: members pull the entries that they lack, so that
  // each entry is sent to each member only once.
  for (const auto& member : members_.sample(options_.notify_fanout)) {
    if (members_.held_revision_of(member.id) < state_.current_revision())
      out->emplace_back(outgoing_gossip{member.gossip, make_notice()});
  }
}

void control_core::bring_into_force(time_us now) {
  while (!pending_revisions_.empty()) {
    const pending_revision& next = pending_revisions_.front();
    const bool zone_agrees = members_.zone_holds(next.index->in_force);
    if (!zone_agrees && now < next.deadline)
      return;
    in_force_ = next.index;
    pending_revisions_.pop_front();
  }
}

void control_core::publish_if_changed(std::vector<control_action>* out) {
  const bool unchanged = published_ &&
                         published_view_version_ == members_.version() &&
                         published_revision_ == in_force_->in_force &&
                         published_held_revision_ == state_.current_revision();
  if (unchanged)
    return;
  auto table = std::make_shared<route_table>();
  table->index = in_force_;
  table->announced =
      pending_revisions_.empty() ? in_force_ : pending_revisions_.back().index;
  table->self = members_.self();
  table->members = members_.view();
  published_ = true;
  published_view_version_ = members_.version();
  published_revision_ = in_force_->in_force;
  published_held_revision_ = state_.current_revision();
  out->emplace_back(publish_routes{std::move(table)});
}

control_status control_core::status(time_us now) const {
  control_status s;
  s.name = members_.self().name;
  s.held_revision = state_.current_revision();
  s.in_force = in_force_->in_force;
  s.since_platform_reply =
      last_platform_reply_ < 0 ? -1 : now - last_platform_reply_;
  s.blocked_by_format = blocked_by_format_;
  s.members = members_.view();
  return s;
}

bool control_core::leave_requested() const {
  return in_force_->leaving.count(members_.self().id) > 0;
}

}  // namespace turmeric
