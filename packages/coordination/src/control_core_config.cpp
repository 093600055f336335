/** @file control_core_config.cpp Following the change log through the platform
 * and through other balancers. */
#include <algorithm>

#include "turmeric/coordination/control_core_base.h"

namespace turmeric {
namespace {

/** Hashed with the member ids to select the watchers; spells "watcher" in
 * ASCII. */
constexpr uint64_t watcher_role = 0x77617463686572;
/** A call without a reply or error from its adapter is abandoned after this
 * many times its own timeout. */
constexpr int abandoned_call_timeouts = 3;

}  // namespace

void control_core::start_call(platform_call c,
                              time_us now,
                              std::vector<control_action>* out) {
  c.id = ++next_call_id_;
  open_call_id_ = c.id;
  open_call_deadline_ = now + c.timeout * abandoned_call_timeouts;
  open_call_ = c;
  out->emplace_back(std::move(c));
}

void control_core::schedule_retry(time_us now) {
  backoff_ =
      std::clamp(backoff_ * 2, options_.backoff_min, options_.backoff_max);
  // Full jitter on top of backoff_min, so that the watchers of all zones do not
  // retry at the same time.
  const auto jitter =
      static_cast<time_us>(random_() % static_cast<uint64_t>(backoff_));
  next_call_at_ = now + options_.backoff_min + jitter;
}

void control_core::follow_platform(time_us now,
                                   std::vector<control_action>* out) {
  if (open_call_id_ != 0 && now >= open_call_deadline_) {
    open_call_id_ = 0;
    schedule_retry(now);
  }
  if (open_call_id_ != 0 || now < next_call_at_ || blocked_by_format_)
    return;
  const bool grace_elapsed = now - first_tick_ >= options_.startup_grace;
  const bool is_watcher =
      members_.is_selected_for(watcher_role, options_.watchers_per_zone);
  if (!grace_elapsed || !is_watcher)
    return;
  platform_call c;
  if (need_snapshot_ && state_.current_revision() == 0) {
    c.op = platform_op::get;
    c.name = std::string(snapshot_index_name);
    c.timeout = options_.call_timeout;
  } else {
    c.op = platform_op::watch;
    c.name = change_log_object_name(state_.current_revision());
    c.timeout = options_.watch_timeout;
  }
  start_call(std::move(c), now, out);
}

std::vector<control_action> control_core::on_platform_reply(
    time_us now,
    const platform_reply& reply) {
  std::vector<control_action> out;
  if (reply.id != open_call_id_)
    return out;
  open_call_id_ = 0;
  if (reply.status == platform_status::unavailable) {
    partial_snapshot_.reset();
    schedule_retry(now);
    return out;
  }
  last_platform_reply_ = now;
  backoff_ = 0;
  next_call_at_ = now;
  if (open_call_.op == platform_op::watch)
    on_watch(now, reply, &out);
  else if (partial_snapshot_)
    on_snapshot_part(now, reply, &out);
  else
    on_snapshot_index(now, reply, &out);
  bring_into_force(now);
  publish_if_changed(&out);
  return out;
}

void control_core::on_watch(time_us now,
                            const platform_reply& reply,
                            std::vector<control_action>* out) {
  if (reply.status == platform_status::gone) {
    platform_call c;
    c.op = platform_op::get;
    c.name = std::string(snapshot_index_name);
    c.timeout = options_.call_timeout;
    start_call(std::move(c), now, out);
    return;
  }
  const revision before = state_.current_revision();
  for (const auto& object : reply.objects) {
    auto parsed = change_from_json(object.value);
    if (!parsed)
      continue;
    auto applicable = state_.check_applicable(parsed.value());
    if (applicable) {
      state_.apply(parsed.value());
    } else if (applicable.error().code == result_code::format_too_new) {
      blocked_by_format_ = true;
      break;
    }
  }
  // With a gap in the reply no change is applied. The next watch requests the
  // changes again, after backoff_min to avoid a busy loop.
  if (!reply.objects.empty() && state_.current_revision() == before)
    next_call_at_ = now + options_.backoff_min;
  on_revision_applied(now, before, out);
  follow_platform(now, out);
}

void control_core::on_snapshot_index(time_us now,
                                     const platform_reply& reply,
                                     std::vector<control_action>* out) {
  if (reply.status == platform_status::not_found || reply.objects.empty()) {
    need_snapshot_ = false;
    follow_platform(now, out);
    return;
  }
  auto index = snapshot_index_from_json(reply.objects.front().value);
  if (!index) {
    blocked_by_format_ = index.error().code == result_code::format_too_new;
    schedule_retry(now);
    return;
  }
  partial_snapshot_ = partial_snapshot{};
  partial_snapshot_->index = index.value();
  read_next_part(now, out);
}

void control_core::read_next_part(time_us now,
                                  std::vector<control_action>* out) {
  if (partial_snapshot_->next_part < partial_snapshot_->index.parts.size()) {
    platform_call c;
    c.op = platform_op::get;
    c.name = partial_snapshot_->index.parts[partial_snapshot_->next_part++];
    c.timeout = options_.call_timeout;
    start_call(std::move(c), now, out);
    return;
  }
  const revision before = state_.current_revision();
  const config_delta full_delta{partial_snapshot_->index.format, 0,
                                partial_snapshot_->index.at_revision,
                                std::move(partial_snapshot_->entries)};
  partial_snapshot_.reset();
  need_snapshot_ = false;
  if (state_.apply(full_delta))
    on_revision_applied(now, before, out);
  follow_platform(now, out);
}

void control_core::on_snapshot_part(time_us now,
                                    const platform_reply& reply,
                                    std::vector<control_action>* out) {
  const bool found =
      reply.status == platform_status::ok && !reply.objects.empty();
  auto entries = entries_from_json(found ? reply.objects.front().value : "");
  if (!entries) {
    // A newer snapshot may have replaced the parts: read the index again.
    partial_snapshot_.reset();
    schedule_retry(now);
    return;
  }
  for (auto& entry : entries.value())
    partial_snapshot_->entries.push_back(std::move(entry));
  read_next_part(now, out);
}

void control_core::pull_if_behind(time_us now,
                                  endpoint from,
                                  const gossip_message& message,
                                  std::vector<control_action>* out) {
  const bool behind = message.held_revision > state_.current_revision();
  if (!behind || blocked_by_format_ || now < next_pull_at_)
    return;
  if (message.kind == gossip_kind::config_push && partial_delta_)
    return;
  next_pull_at_ = now + options_.min_pull_interval;
  gossip_message pull;
  pull.kind = gossip_kind::config_pull;
  pull.from = members_.self();
  pull.held_revision = state_.current_revision();
  out->emplace_back(outgoing_gossip{from, std::move(pull)});
}

void control_core::on_pull(endpoint to,
                           const gossip_message& message,
                           std::vector<control_action>* out) {
  if (message.held_revision < state_.current_revision())
    send_delta(to, state_.delta_since(message.held_revision), out);
}

void control_core::send_delta(endpoint to,
                              const config_delta& delta,
                              std::vector<control_action>* out) {
  std::vector<std::vector<config_entry>> fragments(1);
  size_t bytes = 0;
  for (const auto& entry : delta.entries) {
    if (bytes > 0 && bytes + entry.value.size() > options_.max_fragment_bytes) {
      fragments.emplace_back();
      bytes = 0;
    }
    bytes += entry.value.size() + entry.key.size();
    fragments.back().push_back(entry);
  }
  for (size_t i = 0; i < fragments.size(); ++i) {
    gossip_message push;
    push.kind = gossip_kind::config_push;
    push.from = members_.self();
    push.held_revision = state_.current_revision();
    push.delta = {delta.format, delta.from, delta.to, std::move(fragments[i])};
    push.fragment = static_cast<uint16_t>(i);
    push.fragments = static_cast<uint16_t>(fragments.size());
    out->emplace_back(outgoing_gossip{to, std::move(push)});
  }
}

void control_core::on_push(time_us now,
                           const gossip_message& message,
                           std::vector<control_action>* out) {
  const config_delta& part = message.delta;
  if (part.to <= state_.current_revision() ||
      part.from > state_.current_revision() ||
      message.fragment >= message.fragments || blocked_by_format_) {
    return;
  }
  if (part.format > config_format) {
    blocked_by_format_ = true;
    return;
  }
  const bool same_delta = partial_delta_ && partial_delta_->from == part.from &&
                          partial_delta_->to == part.to;
  if (!same_delta)
    partial_delta_ = partial_delta{part.from, part.to, {}};
  partial_delta_->fragments[message.fragment] = part.entries;
  if (partial_delta_->fragments.size() < message.fragments)
    return;
  config_delta full_delta{part.format, part.from, part.to, {}};
  for (auto& [number, entries] : partial_delta_->fragments) {
    for (auto& entry : entries)
      full_delta.entries.push_back(std::move(entry));
  }
  partial_delta_.reset();
  const revision before = state_.current_revision();
  if (state_.apply(full_delta))
    on_revision_applied(now, before, out);
}

}  // namespace turmeric
