/** @file sim_operator.cpp Platform, operators and faults of the simulated
 * cluster. */
#include <utility>

#include "sim_world.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::tests {
namespace {

constexpr time_us platform_delay = 3 * us_per_ms;
constexpr time_us slow_delay = 700 * us_per_ms;
constexpr uint32_t lose_percent = 60;
constexpr time_us watch_poll = 50 * us_per_ms;

}  // namespace

void sim_world::platform_call_at(
    const platform_call& call,
    int from_zone,
    const std::function<void(platform_reply)>& reply) {
  store_.count_call(call.op);
  const auto lost = [=, world = this] {
    world->clock_.after(call.timeout, [=] {
      platform_reply none;
      none.id = call.id;
      reply(none);
    });
  };
  if (cut(from_zone, platform_zone) || store_.faults.down) {
    lost();
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
      e.kind = event_kind::accepted;
      e.number = parsed.value().number;
      e.entries = parsed.value().entries;
      world->record(e);
    }
    const bool unanswered = answer.status == platform_status::unavailable ||
                            cut(platform_zone, from_zone) ||
                            slow > call.timeout;
    if (unanswered) {
      lost();
      return;
    }
    const bool waits = call.op == platform_op::watch &&
                       answer.objects.empty() &&
                       answer.status == platform_status::ok;
    if (waits) {
      const waiting_watch w{call, world->clock_.now() + call.timeout, reply};
      world->watches_.push_back(w);
      if (!std::exchange(world->polling_, true))
        world->clock_.after(watch_poll, [world] { world->settle_watches(); });
      return;
    }
    world->clock_.after(platform_delay, [=] { reply(answer); });
  });
}

void sim_world::settle_watches() {
  std::vector<waiting_watch> still;
  for (auto& w : watches_) {
    platform_reply answer = store_.execute(w.call, 0);
    const bool down = answer.status == platform_status::unavailable;
    const bool due = clock_.now() >= w.until;
    if (down && !due) {
      still.push_back(w);
      continue;
    }
    if (!answer.objects.empty() || due) {
      answer.id = w.call.id;
      clock_.after(platform_delay,
                   [reply = w.reply, answer] { reply(answer); });
      continue;
    }
    still.push_back(w);
  }
  watches_ = std::move(still);
  polling_ = !watches_.empty();
  if (polling_)
    clock_.after(watch_poll, [this] { settle_watches(); });
}

void sim_world::commit(std::string author, std::vector<config_entry> entries) {
  // The operator planned on the newest revision of this moment.
  revision base = 0;
  for (const auto& e : history_) {
    if (e.kind == event_kind::accepted)
      base = std::max(base, e.number);
  }
  auto machine = std::make_shared<change_commit>(
      commit_options{}, base, std::move(author), std::move(entries),
      [this] { return random(); });
  run_commit(machine, machine->start());
}

void sim_world::run_commit(std::shared_ptr<change_commit> machine,
                           commit_step step) {
  if (step.outcome)
    return;
  clock_.after(step.delay, [=, world = this] {
    world->platform_call_at(
        *step.call, outside_zone, [world, machine](platform_reply reply) {
          world->run_commit(machine, machine->on_reply(reply));
        });
  });
}

void sim_world::declare_all() {
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
  set_disturbed(-1, true);
  if (f.kind == fault_kind::platform_down)
    faults.down = true;
  if (f.kind == fault_kind::platform_slow)
    faults.added_latency_ms = static_cast<uint32_t>(slow_delay / us_per_ms);
  if (f.kind == fault_kind::platform_loses)
    faults.lost_reply_percent = lose_percent;
  clock_.after(f.lasts, [this, kind = f.kind] {
    if (kind == fault_kind::platform_down)
      store_.faults.down = false;
    if (kind == fault_kind::platform_slow)
      store_.faults.added_latency_ms = 0;
    if (kind == fault_kind::platform_loses)
      store_.faults.lost_reply_percent = 0;
    set_disturbed(-1, false);
  });
}

void sim_world::apply_fault(const fault& f) {
  const auto target_count = static_cast<int>(targets_.size());
  const std::string zone = "zone" + std::to_string(f.subject % zone_count);
  switch (f.kind) {
    case fault_kind::crash:
      crash(f.subject, f.lasts);
      break;
    case fault_kind::freeze:
      freeze(f.subject, f.lasts);
      break;
    case fault_kind::graceful:
      graceful_stop(f.subject, f.lasts);
      break;
    case fault_kind::cut:
    case fault_kind::cut_one_way: {
      const std::pair there(f.subject, f.other), back(f.other, f.subject);
      cuts_.insert(there);
      if (f.kind == fault_kind::cut)
        cuts_.insert(back);
      set_disturbed(-1, true);
      clock_.after(f.lasts, [this, there, back] {
        cuts_.erase(there);
        cuts_.erase(back);
        set_disturbed(-1, false);
      });
      break;
    }
    case fault_kind::platform_down:
    case fault_kind::platform_slow:
    case fault_kind::platform_loses:
      apply_platform_fault(f);
      break;
    case fault_kind::zone_out: {
      const std::string key = make_key(key_kind::zone_out, zone);
      set_flag(key, true);
      clock_.after(f.lasts, [this, key] { set_flag(key, false); });
      break;
    }
    case fault_kind::drain: {
      const std::string key = make_key(
          key_kind::target_drain,
          targets_[static_cast<size_t>(f.subject % target_count)]->name);
      set_flag(key, true);
      clock_.after(f.lasts, [this, key] { set_flag(key, false); });
      break;
    }
    case fault_kind::add_target:
      add_target("club/notes", f.subject % zone_count, true);
      declare_all();
      break;
    case fault_kind::target_cold:
      turn_cold(f.subject % target_count);
      break;
    case fault_kind::target_restart:
      restart_target(f.subject % target_count);
      break;
    case fault_kind::race: {
      // Both operators set the same flag; one of them must lose.
      const std::string key = make_key(key_kind::target_drain, "club/none");
      set_flag(key, true);
      commit("rival", {{key, "2", 0}});
      break;
    }
    case fault_kind::silent_path: {
      caller& c = *callers_[static_cast<size_t>(f.subject % caller_count)];
      c.silenced_below = c.path + 1;
      break;
    }
    case fault_kind::end:
      break;
  }
}

}  // namespace turmeric::tests
