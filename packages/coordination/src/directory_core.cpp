/** @file directory_core.cpp Calls to the registry and forwarding tables. */
#include "turmeric/coordination/directory_core_base.h"

#include <algorithm>

namespace turmeric {
namespace {

constexpr time_us forget_interval = 5 * us_per_s;
constexpr uint32_t max_doublings = 6;

/** Kinds in the order in which they are asked for: targets last, so that they
 * are known at a revision at which the zones' withdrawals are. */
constexpr std::array<directory_kind, directory_kinds> call_order = {
    directory_kind::withdrawals, directory_kind::routing,
    directory_kind::targets};

time_us doubled(time_us first, uint32_t times, time_us most) {
  return std::min(first << std::min(times, max_doublings), most);
}

}  // namespace

directory_core::directory_core(directory_options options, random_source random)
    : options_(std::move(options)),
      random_(std::move(random)),
      peers_(options_.peers),
      duty_(options_.duty, options_.peers.name),
      followers_(directory_kinds, follower(options_.keep_removed)) {}

directory_core::actions directory_core::start(time_us now) {
  actions out;
  started_ = now;
  set_seeds(now, options_.seeds);
  for (const directory_kind kind : call_order) {
    of(kind).next_call =
        peers_.all().empty() ? now : now + options_.peers_first;
    if (must_call(now, kind))
      start_call(now, kind, &out);
  }
  for (const endpoint& to : peers_.all())
    out.push_back(send_peer_message{to, make_hello(now)});
  next_round_ = now + peers_.interval();
  next_forget_ = now + forget_interval;
  return out;
}

void directory_core::set_seeds(time_us now,
                               const std::vector<endpoint>& seeds) {
  for (const endpoint& seed : seeds)
    peers_.add_contact(now, seed);
}

const directory_belief& directory_core::belief(directory_kind kind) const {
  return followers_[static_cast<size_t>(kind)].belief;
}

bool directory_core::complete() const {
  const bool loaded =
      std::all_of(followers_.begin(), followers_.end(),
                  [](const follower& f) { return f.belief.loaded(); });
  const auto& routings = belief(directory_kind::routing).entries();
  return loaded &&
         std::any_of(routings.begin(), routings.end(), [](const auto& named) {
           return named.second.value != nullptr;
         });
}

directory_core::follower* directory_core::waiting_for(uint64_t call,
                                                      directory_kind* kind) {
  for (size_t i = 0; i < directory_kinds; ++i) {
    if (followers_[i].call == call) {
      *kind = static_cast<directory_kind>(i);
      return &followers_[i];
    }
  }
  return nullptr;
}

void directory_core::start_call(time_us now,
                                directory_kind kind,
                                actions* out) {
  follower& f = of(kind);
  registry_call call;
  call.id = f.call = next_call_id_++;
  call.kind = kind;
  call.op = f.op = f.must_list ? registry_op::list : registry_op::watch;
  if (!f.must_list)
    call.revision = f.belief.mark().revision;
  else if (!f.listed.empty())
    call.after = f.listed.back().name;
  // What changed may be as long as a list.
  if (f.must_list || f.brief) {
    call.timeout =
        doubled(options_.list_timeout, f.failures, options_.max_list_timeout);
  } else if (f.lost) {
    // Without a wait a watch brings what changed meanwhile; a long one on a
    // registry that does not answer would hide its return.
    call.timeout =
        doubled(options_.probe_timeout, f.failures, options_.max_probe_timeout);
  } else {
    call.wait = duty_.group_is_large(now, peers_) ? options_.duty_watch_wait
                                                  : options_.watch_wait;
    call.timeout = call.wait + options_.watch_margin;
  }
  f.next_call = now + call.timeout;
  out->push_back(call);
}

directory_core::actions directory_core::on_reply(time_us now,
                                                 const registry_reply& reply) {
  actions out;
  directory_kind kind{};
  follower* f = waiting_for(reply.id, &kind);
  if (f == nullptr)
    return out;
  f->call = 0;
  if (reply.status == registry_status::ok ||
      reply.status == registry_status::history_gone)
    f->brief = false;
  if (reply.status != registry_status::ok) {
    call_failed(now, kind, reply, &out);
    return out;
  }
  if (f->lost) {
    f->lost = false;
    out.push_back(directory_note{"registry regained",
                                 {{"kind", std::string(name_of(kind))}}});
    if (kind == directory_kind::targets)
      publish(now, &out);
  }
  f->failures = 0;
  if (f->op == registry_op::list)
    page_arrived(now, kind, reply, &out);
  else
    changes_arrived(now, kind, reply, &out);
  if (of(kind).call == 0) {
    const bool burst =
        of(kind).op == registry_op::watch && !reply.changes.empty();
    of(kind).next_call = burst ? now + options_.watch_pause : now;
    if (must_call(now, kind))
      start_call(now, kind, &out);
  }
  return out;
}

bool directory_core::in_contact(directory_kind kind) const {
  const follower& f = followers_[static_cast<size_t>(kind)];
  return f.op == registry_op::watch && !f.must_list && !f.lost && !f.brief &&
         f.duty != duty_reason::served;
}

bool directory_core::must_call(time_us now, directory_kind kind) {
  follower& f = of(kind);
  if (f.call != 0 || now < f.next_call)
    return false;
  if (!f.belief.loaded() && left_to_peers(now, kind)) {
    f.next_call = now + options_.ask_patience;
    return false;
  }
  if (!f.belief.loaded() || f.must_list || f.brief)
    return true;
  f.duty = duty_.decide(now, kind, peers_);
  if (f.duty != duty_reason::served)
    return true;
  f.next_call = now + options_.duty.check_interval;
  return false;
}

void directory_core::page_arrived(time_us now,
                                  directory_kind kind,
                                  const registry_reply& reply,
                                  actions* out) {
  follower& f = of(kind);
  // Later pages may be newer; changes since the first are watched for.
  if (f.listed.empty()) {
    f.list_revision = reply.revision;
    f.list_begun = now;
  }
  f.listed.insert(f.listed.end(), reply.changes.begin(), reply.changes.end());
  if (reply.more && !reply.changes.empty())
    return;
  f.must_list = false;
  const bool first = !f.belief.loaded();
  const auto changes = f.belief.replace(now, f.list_revision, f.listed);
  f.listed.clear();
  believe(now, kind, "registry list", changes, out);
  if (!first && !changes.empty())
    push_change(now, kind, out);
}

void directory_core::changes_arrived(time_us now,
                                     directory_kind kind,
                                     const registry_reply& reply,
                                     actions* out) {
  follower& f = of(kind);
  const auto changes = f.belief.apply(now, reply.revision, reply.changes);
  believe(now, kind, "registry watch", changes, out);
  if (!changes.empty())
    push_change(now, kind, out);
}

void directory_core::call_failed(time_us now,
                                 directory_kind kind,
                                 const registry_reply& reply,
                                 actions* out) {
  follower& f = of(kind);
  if (!f.lost) {
    f.lost = true;
    out->push_back(directory_note{
        "registry call failed",
        {{"kind", std::string(name_of(kind))},
         {"call", f.op == registry_op::list ? "list" : "watch"},
         {"status", std::string(name_of(reply.status))},
         {"revision", std::to_string(f.belief.mark().revision)}}});
    if (kind == directory_kind::targets)
      publish(now, out);
  }
  // Pages that came are not asked for again: while many start at once, calls
  // over the registry's rate fail, and nobody would get to the last page.
  const bool keep = reply.status == registry_status::throttled ||
                    reply.status == registry_status::refused ||
                    reply.status == registry_status::unreachable;
  if (!keep || now - f.list_begun >= options_.list_life)
    f.listed.clear();
  if (reply.status == registry_status::history_gone) {
    f.must_list = true;
    f.next_call = now;
    return;
  }
  const time_us pause =
      doubled(options_.retry_min, f.failures, options_.retry_max);
  ++f.failures;
  // Spread over half of the pause, so that balancers do not return together.
  f.next_call = now + pause / 2 +
                static_cast<time_us>(random_() % static_cast<uint64_t>(pause));
}

void directory_core::believe(time_us now,
                             directory_kind kind,
                             const std::string& source,
                             const std::vector<belief_change>& changes,
                             actions* out) {
  const bool zones_opened = gate_lifted_zones(now, kind, changes, out);
  // A line for each entry would take a small instance tens of milliseconds in
  // which callers wait.
  const bool first = !std::exchange(of(kind).noted, true);
  if (first) {
    out->push_back(directory_note{
        "entries loaded",
        {{"kind", std::string(name_of(kind))},
         {"entries", std::to_string(changes.size())},
         {"revision", std::to_string(belief(kind).mark().revision)},
         {"source", source}}});
  }
  for (const auto& change : changes) {
    if (first && change.problem.empty())
      continue;
    directory_note note{change.removed ? "entry removed" : "entry changed",
                        {{"kind", std::string(name_of(kind))},
                         {"name", change.name},
                         {"revision", std::to_string(change.revision)},
                         {"source", source}}};
    if (!change.problem.empty()) {
      note.message = "entry unreadable";
      note.fields.emplace_back("reason", change.problem);
    }
    out->push_back(std::move(note));
  }
  // Kinds without entries complete the first table too.
  if (!changes.empty() || zones_opened || !published_)
    publish(now, out);
}

bool directory_core::gate_lifted_zones(
    time_us now,
    directory_kind kind,
    const std::vector<belief_change>& changes,
    actions* out) {
  const uint64_t known = belief(directory_kind::targets).mark().revision;
  const uint64_t lifted_at =
      belief(directory_kind::withdrawals).mark().revision;
  if (kind == directory_kind::withdrawals && lifted_at > known) {
    const size_t before = lifted_.size();
    for (const auto& change : changes) {
      if (change.removed)
        lifted_[change.name] = lifted_at;
    }
    // A watch on targets hears nothing while none of them changes.
    if (lifted_.size() != before)
      read_again(now, directory_kind::targets, out);
  }
  if (kind == directory_kind::withdrawals) {
    for (const auto& change : changes) {
      if (change.removed)
        last_lift_[change.name] = lifted_at;
    }
  }
  const size_t gated = lifted_.size();
  for (auto it = lifted_.begin(); it != lifted_.end();)
    it = it->second <= known ? lifted_.erase(it) : std::next(it);
  return lifted_.size() != gated;
}

void directory_core::refresh(time_us now,
                             const std::string& cause,
                             actions* out) {
  out->push_back(directory_note{"registry asked anew", {{"cause", cause}}});
  for (const directory_kind kind : call_order) {
    if (of(kind).belief.loaded())
      read_again(now, kind, out);
  }
}

directory_core::actions directory_core::paused(time_us now) {
  actions out;
  refresh(now, "pause", &out);
  return out;
}

void directory_core::read_again(time_us now,
                                directory_kind kind,
                                actions* out) {
  follower& f = of(kind);
  // What changed is enough, at once and over a new connection; the whole of a
  // large directory, asked for by all at once, would fill the registry's link.
  f.brief = f.belief.loaded();
  f.must_list = !f.brief;
  f.listed.clear();
  start_call(now, kind, out);
}

void directory_core::add_withdrawn(table_input* input) const {
  for (const auto& [name, entry] :
       belief(directory_kind::withdrawals).entries()) {
    if (entry.registered)
      input->withdrawn_zones.insert(name);
  }
  for (const auto& [zone, revision] : lifted_)
    input->withdrawn_zones.insert(zone);
}

table_input directory_core::make_input() const {
  table_input input;
  for (size_t i = 0; i < directory_kinds; ++i)
    input.revisions[i] = followers_[i].belief.mark().revision;
  for (const auto& [name, entry] : belief(directory_kind::targets).entries()) {
    if (entry.value == nullptr)
      continue;
    target_input known;
    known.entry = std::get<target_entry>(*entry.value);
    known.registered = entry.registered;
    if (!entry.registered)
      known.eligible_until = entry.removed + options_.lapse_grace;
    // Since its zone was taken back nothing has told whether it is cold.
    const auto lift = last_lift_.find(known.entry.zone);
    if (!entry.registered && lift != last_lift_.end() &&
        entry.revision < lift->second)
      known.eligible_until = 0;
    // An entry that somebody overwrote names no target; open flows go on.
    if (!entry.problem.empty())
      known.eligible_until = 0;
    input.targets.push_back(std::move(known));
  }
  for (const auto& [name, entry] : belief(directory_kind::routing).entries()) {
    if (entry.value != nullptr)
      input.routing = entry.value;
  }
  add_withdrawn(&input);
  return input;
}

std::vector<uint64_t> directory_core::zone_ids(time_us now) const {
  std::vector<uint64_t> out;
  for (const known_peer* peer : peers_.alive_in_zone(now))
    out.push_back(hash_name(peer->hello.name));
  return out;
}

void directory_core::publish(time_us now, actions* out) {
  if (!complete())
    return;
  const bool first = !std::exchange(published_, true);
  published_balancers_ = peers_.alive_ids(now);
  published_silent_ = peers_.silent_zones(now);
  out->push_back(
      publish_table{std::make_shared<const forwarding_table>(make_input()),
                    published_balancers_, zone_ids(now), published_silent_,
                    of(directory_kind::targets).lost});
  if (first)
    announce(now, out);
  if (!early_reports_.empty())
    out->push_back(reported_targets{std::exchange(early_reports_, {})});
}

directory_core::actions directory_core::tick(time_us now) {
  actions out;
  for (const directory_kind kind : call_order) {
    if (must_call(now, kind))
      start_call(now, kind, &out);
  }
  if (now >= next_round_)
    send_round(now, &out);
  if (now >= next_ask_)
    ask_peers(now, &out);
  if (now - reports_sent_ >= options_.report_pause)
    send_reports(now, &out);
  if (now >= next_forget_) {
    next_forget_ = now + forget_interval;
    for (auto& f : followers_)
      f.belief.forget_removed(now);
  }
  return out;
}

time_us directory_core::next_tick() const {
  time_us next = std::min({next_round_, next_forget_, next_ask_});
  if (!pending_reports_.empty())
    next = std::min(next, reports_sent_ + options_.report_pause);
  for (const auto& f : followers_) {
    if (f.call == 0)
      next = std::min(next, f.next_call);
  }
  return next;
}

}  // namespace turmeric
