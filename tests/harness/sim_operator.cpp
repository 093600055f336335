/** @file sim_operator.cpp Platform, operators and faults of the simulated
 * cluster. */
#include <utility>

#include "sim_world.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::tests {
namespace {

/** Time of a platform call, in each direction. */
constexpr time_us platform_delay = 3 * us_per_ms;
/** Added to each call while the platform is slow. */
constexpr time_us slow_platform_delay = 700 * us_per_ms;
/** Writes that are applied without a reply, while replies are lost. */
constexpr uint32_t reply_loss_percent = 60;
constexpr time_us watch_poll_interval = 50 * us_per_ms;

}  // namespace

void sim_world::call_platform(
    const platform_call& call,
    int from_zone,
    const std::function<void(platform_reply)>& reply) {
  store_.count_call(call.op);
  const auto time_out_call = [=, world = this] {
    world->clock_.after(call.timeout, [=] {
      platform_reply no_reply;
      no_reply.id = call.id;
      reply(no_reply);
    });
  };
  if (cut(from_zone, platform_zone) || store_.faults.down) {
    time_out_call();
    return;
  }
  const time_us slow = store_.faults.added_latency_ms * us_per_ms;
  clock_.after(platform_delay + slow, [=, world = this] {
    const auto exists = [&] {
      platform_call get;
      get.name = call.name;
      return world->store_.execute(get, 0).status == platform_status::ok;
    };
    const bool existed = exists();
    platform_reply answer = world->store_.execute(call, world->random());
    const bool created = call.op == platform_op::create && !existed && exists();
    if (created) {
      auto parsed = change_from_json(call.value);
      history_event e;
      e.kind = event_kind::change_accepted;
      e.config_revision = parsed.value().number;
      e.entries = parsed.value().entries;
      world->record(e);
    }
    const bool unanswered = answer.status == platform_status::unavailable ||
                            cut(platform_zone, from_zone) ||
                            slow > call.timeout;
    if (unanswered) {
      time_out_call();
      return;
    }
    const bool waits = call.op == platform_op::watch &&
                       answer.objects.empty() &&
                       answer.status == platform_status::ok;
    if (waits) {
      const pending_watch w{call, world->clock_.now() + call.timeout, reply};
      world->watches_.push_back(w);
      if (!std::exchange(world->watch_poll_scheduled_, true))
        world->clock_.after(watch_poll_interval,
                            [world] { world->poll_watches(); });
      return;
    }
    world->clock_.after(platform_delay, [=] { reply(answer); });
  });
}

void sim_world::poll_watches() {
  std::vector<pending_watch> pending;
  for (auto& w : watches_) {
    platform_reply answer = store_.execute(w.call, 0);
    const bool down = answer.status == platform_status::unavailable;
    const bool due = clock_.now() >= w.deadline;
    if (down && !due) {
      pending.push_back(w);
      continue;
    }
    if (!answer.objects.empty() || due) {
      answer.id = w.call.id;
      clock_.after(platform_delay,
                   [reply = w.reply, answer] { reply(answer); });
      continue;
    }
    pending.push_back(w);
  }
  watches_ = std::move(pending);
  watch_poll_scheduled_ = !watches_.empty();
  if (watch_poll_scheduled_)
    clock_.after(watch_poll_interval, [this] { poll_watches(); });
}

void sim_world::commit(std::string author, std::vector<config_entry> entries) {
  // The operator bases the change on the newest accepted revision.
  revision base = 0;
  for (const auto& e : history_) {
    if (e.kind == event_kind::change_accepted)
      base = std::max(base, e.config_revision);
  }
  auto pending_commit = std::make_shared<change_commit>(
      commit_options{}, base, std::move(author), std::move(entries),
      [this] { return random(); });
  run_commit(pending_commit, pending_commit->start());
}

void sim_world::run_commit(std::shared_ptr<change_commit> pending_commit,
                           commit_step step) {
  if (step.outcome)
    return;
  clock_.after(step.delay, [=, world = this] {
    world->call_platform(*step.call, outside_zone,
                         [world, pending_commit](platform_reply reply) {
                           world->run_commit(pending_commit,
                                             pending_commit->on_reply(reply));
                         });
  });
}

void sim_world::commit_declarations() {
  std::vector<config_entry> entries;
  for (const auto& service : declared_services()) {
    entries.push_back(
        {make_key(key_kind::service, full_name(service)), to_json(service), 0});
  }
  commit("operator", std::move(entries));
}

void sim_world::set_flag(const std::string& key, bool set) {
  commit("operator", {{key, set ? "1" : "", 0}});
}

void sim_world::apply_platform_fault(const fault& f) {
  platform_faults& faults = store_.faults;
  record_disturbance(-1, true);
  if (f.kind == fault_kind::platform_down)
    faults.down = true;
  if (f.kind == fault_kind::platform_slow)
    faults.added_latency_ms =
        static_cast<uint32_t>(slow_platform_delay / us_per_ms);
  if (f.kind == fault_kind::platform_loses_replies)
    faults.lost_reply_percent = reply_loss_percent;
  clock_.after(f.duration, [this, kind = f.kind] {
    if (kind == fault_kind::platform_down)
      store_.faults.down = false;
    if (kind == fault_kind::platform_slow)
      store_.faults.added_latency_ms = 0;
    if (kind == fault_kind::platform_loses_replies)
      store_.faults.lost_reply_percent = 0;
    record_disturbance(-1, false);
  });
}

void sim_world::apply_fault(const fault& f) {
  const auto target_count = static_cast<int>(targets_.size());
  const std::string zone = "zone" + std::to_string(f.subject % zone_count);
  switch (f.kind) {
    case fault_kind::crash:
      crash(f.subject, f.duration);
      break;
    case fault_kind::freeze:
      freeze(f.subject, f.duration);
      break;
    case fault_kind::planned_stop:
      graceful_stop(f.subject, f.duration);
      break;
    case fault_kind::cut:
    case fault_kind::cut_one_way: {
      const std::pair forward(f.subject, f.other), reverse(f.other, f.subject);
      cuts_.insert(forward);
      if (f.kind == fault_kind::cut)
        cuts_.insert(reverse);
      record_disturbance(-1, true);
      clock_.after(f.duration, [this, forward, reverse] {
        cuts_.erase(forward);
        cuts_.erase(reverse);
        record_disturbance(-1, false);
      });
      break;
    }
    case fault_kind::platform_down:
    case fault_kind::platform_slow:
    case fault_kind::platform_loses_replies:
      apply_platform_fault(f);
      break;
    case fault_kind::zone_out: {
      const std::string key = make_key(key_kind::zone_out, zone);
      set_flag(key, true);
      clock_.after(f.duration, [this, key] { set_flag(key, false); });
      break;
    }
    case fault_kind::drain: {
      const std::string key = make_key(
          key_kind::target_drain,
          targets_[static_cast<size_t>(f.subject % target_count)]->name);
      set_flag(key, true);
      clock_.after(f.duration, [this, key] { set_flag(key, false); });
      break;
    }
    case fault_kind::add_target:
      add_target("club/notes", f.subject % zone_count, true);
      commit_declarations();
      break;
    case fault_kind::target_cold:
      turn_cold(f.subject % target_count);
      break;
    case fault_kind::target_restart:
      restart_target(f.subject % target_count);
      break;
    case fault_kind::operator_race: {
      // Both operators set the same flag to different values, based on the same
      // revision; one of the commits must be rejected.
      const std::string key = make_key(key_kind::target_drain, "club/none");
      set_flag(key, true);
      commit("rival", {{key, "2", 0}});
      break;
    }
    case fault_kind::silent_path: {
      caller& c = *callers_[static_cast<size_t>(f.subject % caller_count)];
      c.first_working_path = c.path + 1;
      break;
    }
    case fault_kind::end:
      break;
  }
}

}  // namespace turmeric::tests
