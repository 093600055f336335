/** @file directory_core.cpp Calls to the registry and forwarding tables. */
#include "turmeric/coordination/directory_core_base.h"

#include <algorithm>

#include "directory_core_internal.h"

namespace turmeric {
namespace {

constexpr time_us forget_interval = 5 * us_per_s;
/** Most doublings of a backoff or timeout; keeps the shift from overflowing. */
constexpr uint32_t max_doublings = 6;
constexpr time_us min_watch_wait = us_per_s;
/** The platform's limit for a watch. */
constexpr time_us max_watch_wait = 30 * us_per_s;

time_us doubled(time_us first, uint32_t times, time_us most) {
  return std::min(first << std::min(times, max_doublings), most);
}

}  // namespace

directory_core::directory_core(directory_options options, random_source random)
    : options_(std::move(options)),
      random_(std::move(random)),
      peers_(options_.peers),
      selection_(options_.selection, options_.peers.name),
      syncs_(directory_kinds, kind_sync(options_.removed_retention)) {
  // Without a configuration no table can be built, so the last one is kept even
  // if it was removed.
  sync_of(directory_kind::routing) = kind_sync(INT64_MAX);
}

directory_core::actions directory_core::start(time_us now) {
  actions out;
  started_ = now;
  set_seeds(now, options_.seeds);
  time_us first_call = now;
  if (!peers_.all_addresses().empty())
    first_call += options_.startup_grace;
  if (!peers_.all_addresses().empty() && options_.first_start)
    first_call += static_cast<time_us>(
        random_() % static_cast<uint64_t>(options_.first_start_spread));
  for (const directory_kind kind : call_order) {
    sync_of(kind).next_call = first_call;
    if (call_due(now, kind))
      start_call(now, kind, &out);
  }
  for (const endpoint& to : peers_.all_addresses())
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

const directory_replica& directory_core::replica(directory_kind kind) const {
  return syncs_[static_cast<size_t>(kind)].replica;
}

bool directory_core::complete() const {
  const bool loaded =
      std::all_of(syncs_.begin(), syncs_.end(),
                  [](const kind_sync& sync) { return sync.replica.loaded(); });
  const auto& routings = replica(directory_kind::routing).entries();
  return loaded &&
         std::any_of(routings.begin(), routings.end(), [](const auto& named) {
           return named.second.value != nullptr;
         });
}

directory_core::kind_sync* directory_core::find_call(uint64_t call,
                                                     directory_kind* kind) {
  for (size_t i = 0; i < directory_kinds; ++i) {
    if (syncs_[i].call_id == call) {
      *kind = static_cast<directory_kind>(i);
      return &syncs_[i];
    }
  }
  return nullptr;
}

void directory_core::start_call(time_us now,
                                directory_kind kind,
                                actions* out) {
  kind_sync& sync = sync_of(kind);
  registry_call call;
  call.id = sync.call_id = next_call_id_++;
  call.kind = kind;
  call.op = sync.op = sync.must_list ? registry_op::list : registry_op::watch;
  if (!sync.must_list)
    call.revision = sync.replica.summary().revision;
  else if (!sync.listed.empty())
    call.after = sync.listed.back().name;
  // The changes since the last revision may be as long as a list.
  if (sync.must_list || sync.catch_up) {
    call.cause = sync.must_list ? registry_call_cause::list
                                : registry_call_cause::catch_up;
    call.timeout = doubled(options_.list_timeout, sync.failures,
                           options_.max_list_timeout);
  } else if (sync.last_call_failed) {
    // A watch without a wait brings the changes made in the meantime. A long
    // one on an unresponsive registry would delay detecting its recovery.
    call.cause = registry_call_cause::retry;
    call.timeout = doubled(options_.probe_timeout, sync.failures,
                           options_.max_probe_timeout);
  } else {
    call.cause = registry_call_cause::watch;
    call.wait = watch_wait();
    call.timeout = call.wait + options_.watch_timeout_margin;
  }
  if (call.cause == registry_call_cause::list ||
      call.cause == registry_call_cause::catch_up) {
    out->push_back(directory_log_line{
        "reading the registry",
        {{"kind", std::string(name_of(kind))},
         {"cause", std::string(name_of(call.cause))},
         {"era", std::to_string(sync.replica.summary().era)},
         {"revision", std::to_string(sync.replica.summary().revision)},
         {"role", std::string(name_of(sync.role))}}});
  }
  sync.call_started = now;
  sync.next_call = now + call.timeout;
  out->push_back(call);
}

directory_core::actions directory_core::on_reply(time_us now,
                                                 const registry_reply& reply) {
  actions out;
  directory_kind kind{};
  kind_sync* sync = find_call(reply.id, &kind);
  if (sync == nullptr)
    return out;
  sync->call_id = 0;
  const time_us call_started = sync->call_started;
  if (!accept_era(now, kind, reply, &out))
    return out;
  if (reply.status == registry_status::ok ||
      reply.status == registry_status::history_gone)
    sync->catch_up = false;
  if (reply.status != registry_status::ok) {
    on_call_failed(now, kind, reply, &out);
    return out;
  }
  const bool regained = sync->last_call_failed;
  if (regained) {
    sync->last_call_failed = sync->last_call_lost = false;
    out.push_back(directory_log_line{"registry regained",
                                     {{"kind", std::string(name_of(kind))}}});
    if (kind == directory_kind::targets)
      publish(now, &out);
  }
  sync->failures = 0;
  if (reply.nameless != 0) {
    out.push_back(
        directory_log_line{"entries without a name left out",
                           {{"kind", std::string(name_of(kind))},
                            {"entries", std::to_string(reply.nameless)}}});
  }
  if (sync->op == registry_op::list)
    on_list_page(now, kind, reply, &out);
  else
    on_watch_reply(now, kind, reply, &out);
  if (sync_of(kind).call_id == 0) {
    const bool has_changes =
        sync_of(kind).op == registry_op::watch && !reply.changes.empty();
    sync_of(kind).next_call =
        has_changes ? now + next_batch_pause(now, sync) : now;
    if (call_due(now, kind))
      start_call(now, kind, &out);
  }
  if (regained)
    retry_lost_calls(now, call_started, &out);
  return out;
}

void directory_core::retry_lost_calls(time_us now,
                                      time_us answered_call_started,
                                      actions* out) {
  for (const directory_kind kind : call_order) {
    kind_sync& sync = sync_of(kind);
    if (!sync.last_call_lost)
      continue;
    if (sync.call_id == 0) {
      sync.next_call = now;
      if (call_due(now, kind))
        start_call(now, kind, out);
      continue;
    }
    // A list or catch-up may be in transit for long.
    if (!sync.must_list && !sync.catch_up &&
        sync.call_started < answered_call_started)
      start_call(now, kind, out);
  }
}

time_us directory_core::watch_wait() const {
  return std::clamp(options_.calm_time - options_.watch_margin, min_watch_wait,
                    max_watch_wait);
}

time_us directory_core::max_retry_interval() const {
  return options_.calm_time - options_.lapse_grace - options_.retry_margin;
}

time_us directory_core::next_batch_pause(time_us now, kind_sync* sync) const {
  const bool in_succession =
      sync->last_change != 0 &&
      now - sync->last_change < options_.watch_batch_reset;
  sync->last_change = now;
  sync->batch_pause = in_succession ? std::min(2 * sync->batch_pause,
                                               options_.max_watch_batch_pause)
                                    : options_.watch_batch_pause;
  return sync->batch_pause;
}

bool directory_core::is_watching(directory_kind kind) const {
  const kind_sync& sync = syncs_[static_cast<size_t>(kind)];
  return sync.op == registry_op::watch && !sync.must_list &&
         !sync.last_call_failed && !sync.catch_up &&
         watches_registry(sync.role);
}

bool directory_core::call_due(time_us now, directory_kind kind) {
  kind_sync& sync = sync_of(kind);
  if (sync.call_id != 0 || now < sync.next_call)
    return false;
  if (!sync.replica.loaded() && waits_for_peers(now, kind)) {
    sync.next_call = now + options_.pull_timeout;
    return false;
  }
  if (!sync.replica.loaded() || sync.must_list || sync.catch_up)
    return true;
  sync.role = selection_.decide(now, kind, peers_);
  if (watches_registry(sync.role))
    return true;
  sync.next_call = now + options_.selection.check_interval;
  return false;
}

void directory_core::on_list_page(time_us now,
                                  directory_kind kind,
                                  const registry_reply& reply,
                                  actions* out) {
  kind_sync& sync = sync_of(kind);
  // Later pages may be newer than the first; the watch starts at the revision
  // of the first.
  if (sync.listed.empty()) {
    sync.list_version = version_of(reply, sync);
    sync.list_started = now;
  }
  sync.listed.insert(sync.listed.end(), reply.changes.begin(),
                     reply.changes.end());
  if (reply.has_more && !reply.changes.empty())
    return;
  sync.must_list = false;
  const bool first = !sync.replica.loaded();
  const auto changes =
      sync.replica.replace(now, sync.list_version, sync.listed);
  sync.listed.clear();
  on_replica_changes(now, kind, "registry list", changes, out);
  if (!first && !changes.empty())
    push_to_group(now, kind, out);
}

void directory_core::on_watch_reply(time_us now,
                                    directory_kind kind,
                                    const registry_reply& reply,
                                    actions* out) {
  kind_sync& sync = sync_of(kind);
  const registry_version version = version_of(reply, sync);
  // Changes of a new era do not continue the state of the old one.
  if (in_different_eras(version, sync.replica.summary().version())) {
    sync.must_list = true;
    return;
  }
  const auto changes = sync.replica.apply(now, version, reply.changes);
  on_replica_changes(now, kind, "registry watch", changes, out);
  if (!changes.empty())
    push_to_group(now, kind, out);
}

void directory_core::update_hold_end(time_us now) {
  next_hold_end_ = INT64_MAX;
  for (const auto& [name, entry] :
       replica(directory_kind::withdrawals).entries()) {
    const time_us end = entry.removed_at + options_.restore_hold;
    if (entry.lost_in_restore && end > now)
      next_hold_end_ = std::min(next_hold_end_, end);
  }
}

void directory_core::on_call_failed(time_us now,
                                    directory_kind kind,
                                    const registry_reply& reply,
                                    actions* out) {
  kind_sync& sync = sync_of(kind);
  sync.last_call_lost = reply.status == registry_status::unreachable;
  if (!sync.last_call_failed) {
    sync.last_call_failed = true;
    out->push_back(directory_log_line{
        "registry call failed",
        {{"kind", std::string(name_of(kind))},
         {"call", sync.op == registry_op::list ? "list" : "watch"},
         {"status", std::string(name_of(reply.status))},
         {"revision", std::to_string(sync.replica.summary().revision)}}});
    if (kind == directory_kind::targets)
      publish(now, out);
  }
  // Pages that arrived are not read again. When many balancers start at once,
  // calls above the registry's rate limit fail, and no balancer would reach the
  // last page if it began again after each failure.
  const bool keep_pages = reply.status == registry_status::throttled ||
                          reply.status == registry_status::refused ||
                          reply.status == registry_status::unreachable;
  if (!keep_pages || now - sync.list_started >= options_.list_page_lifetime)
    sync.listed.clear();
  if (reply.status == registry_status::history_gone) {
    sync.must_list = true;
    sync.next_call = now;
    return;
  }
  const time_us backoff =
      doubled(options_.backoff_min, sync.failures, options_.backoff_max);
  ++sync.failures;
  // Waits half to one and a half of the backoff, at random, so that balancers
  // do not retry together.
  sync.next_call =
      now + backoff / 2 +
      static_cast<time_us>(random_() % static_cast<uint64_t>(backoff));
  if (sync.last_call_lost && !sync.must_list && !sync.catch_up)
    sync.next_call = std::min(
        sync.next_call,
        std::max(now + backoff / 4, sync.call_started + max_retry_interval()));
}

void directory_core::on_replica_changes(
    time_us now,
    directory_kind kind,
    const std::string& source,
    const std::vector<replica_change>& changes,
    actions* out) {
  const bool zones_restored = update_lifted_zones(now, kind, changes, out);
  if (kind == directory_kind::routing && !changes.empty())
    remember_routing();
  // The first state is logged in one line, apart from unreadable entries: a
  // line for each entry would delay callers of a small instance by tens of
  // milliseconds.
  const bool first = !std::exchange(sync_of(kind).load_logged, true);
  if (first) {
    out->push_back(directory_log_line{
        "entries loaded",
        {{"kind", std::string(name_of(kind))},
         {"entries", std::to_string(changes.size())},
         {"era", std::to_string(replica(kind).summary().era)},
         {"revision", std::to_string(replica(kind).summary().revision)},
         {"source", source}}});
  }
  const std::string era = std::to_string(replica(kind).summary().era);
  for (const auto& change : changes) {
    if (first && change.read_error.empty() && change.unread_parts.empty())
      continue;
    directory_log_line line{change.removed ? "entry removed" : "entry changed",
                            {{"kind", std::string(name_of(kind))},
                             {"name", change.name},
                             {"era", era},
                             {"revision", std::to_string(change.revision)},
                             {"source", source}}};
    if (!change.read_error.empty()) {
      line.message = "entry unreadable";
      line.fields.emplace_back("reason", change.read_error);
    } else if (!change.unread_parts.empty()) {
      line.message = "entry read in part";
      line.fields.emplace_back("unread",
                               std::to_string(change.unread_parts.size()));
      line.fields.emplace_back("first_reason", change.unread_parts.front());
    }
    out->push_back(std::move(line));
  }
  // The first table is published even if the kind loaded last has no entries.
  if (!changes.empty() || zones_restored || !published_)
    publish(now, out);
}

bool directory_core::update_lifted_zones(
    time_us now,
    directory_kind kind,
    const std::vector<replica_change>& changes,
    actions* out) {
  const registry_version targets_version =
      replica(directory_kind::targets).summary().version();
  const directory_replica& withdrawals = replica(directory_kind::withdrawals);
  const registry_version withdrawals_version = withdrawals.summary().version();
  const auto is_lift = [&](const replica_change& change) {
    const auto it = withdrawals.entries().find(change.name);
    return change.removed && it != withdrawals.entries().end() &&
           !it->second.lost_in_restore;
  };
  if (kind == directory_kind::withdrawals)
    update_hold_end(now);
  if (kind == directory_kind::withdrawals &&
      is_newer(withdrawals_version, targets_version)) {
    const size_t pending_before = pending_lifts_.size();
    for (const auto& change : changes) {
      if (is_lift(change))
        pending_lifts_[change.name] = withdrawals_version;
    }
    // A waiting watch gets no newer revision while no target changes.
    if (pending_lifts_.size() != pending_before)
      start_catch_up(now, directory_kind::targets, out);
  }
  if (kind == directory_kind::withdrawals) {
    for (const auto& change : changes) {
      if (is_lift(change))
        last_lift_[change.name] = withdrawals_version;
    }
  }
  const size_t pending = pending_lifts_.size();
  for (auto it = pending_lifts_.begin(); it != pending_lifts_.end();)
    it = is_newer(it->second, targets_version) ? std::next(it)
                                               : pending_lifts_.erase(it);
  return pending_lifts_.size() != pending;
}

void directory_core::catch_up_all(time_us now,
                                  const std::string& cause,
                                  actions* out) {
  out->push_back(
      directory_log_line{"catching up with the registry", {{"cause", cause}}});
  for (const directory_kind kind : call_order) {
    if (sync_of(kind).replica.loaded())
      start_catch_up(now, kind, out);
  }
}

directory_core::actions directory_core::on_pause(time_us now) {
  actions out;
  catch_up_all(now, "pause", &out);
  return out;
}

void directory_core::start_catch_up(time_us now,
                                    directory_kind kind,
                                    actions* out) {
  kind_sync& sync = sync_of(kind);
  // Reads only the changes, at once and over a new connection. If all balancers
  // read a large directory whole together, they would saturate the registry's
  // link.
  sync.catch_up = sync.replica.loaded();
  sync.must_list = !sync.catch_up;
  sync.listed.clear();
  start_call(now, kind, out);
}

void directory_core::add_withdrawn(time_us now, table_input* input) const {
  for (const auto& [name, entry] :
       replica(directory_kind::withdrawals).entries()) {
    // A withdrawal that a restored registry lacks was probably written after
    // the copy was made; it holds until the operators have written it again.
    if (entry.registered || (entry.lost_in_restore &&
                             now < entry.removed_at + options_.restore_hold))
      input->withdrawn_zones.insert(name);
  }
  for (const auto& [zone, revision] : pending_lifts_)
    input->withdrawn_zones.insert(zone);
}

table_input directory_core::make_table_input(time_us now) const {
  table_input input;
  for (size_t i = 0; i < directory_kinds; ++i)
    input.revisions[i] = syncs_[i].replica.summary().revision;
  for (const auto& [name, entry] : replica(directory_kind::targets).entries()) {
    if (entry.value == nullptr)
      continue;
    target_input target;
    target.entry = std::get<target_entry>(*entry.value);
    target.registered = entry.registered;
    if (!entry.registered)
      target.eligible_until = entry.removed_at + options_.lapse_grace;
    // An entry older than the lift of its zone's withdrawal does not show
    // whether the target has become cold since.
    const auto lift = last_lift_.find(target.entry.zone);
    if (!entry.registered && lift != last_lift_.end() &&
        is_newer(lift->second, {entry.era, entry.revision}))
      target.eligible_until = 0;
    // A target whose entry was overwritten with an unreadable value gets no
    // openings; its open flows continue.
    if (!entry.read_error.empty())
      target.eligible_until = 0;
    input.targets.push_back(std::move(target));
  }
  for (const auto& [name, entry] : replica(directory_kind::routing).entries()) {
    if (entry.value != nullptr)
      input.routing = entry.value;
  }
  add_withdrawn(now, &input);
  return input;
}

std::array<size_t, directory_kinds> directory_core::count_unread() const {
  std::array<size_t, directory_kinds> out{};
  for (size_t i = 0; i < directory_kinds; ++i) {
    for (const auto& [name, entry] : syncs_[i].replica.entries()) {
      if (entry.registered)
        out[i] +=
            entry.unread_parts.size() + (entry.read_error.empty() ? 0 : 1);
    }
  }
  return out;
}

std::vector<uint64_t> directory_core::alive_zone_ids(time_us now) const {
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
  published_silent_zones_ = peers_.silent_zones(now);
  published_releases_ = peers_.alive_releases(now);
  out->push_back(publish_table{
      std::make_shared<const forwarding_table>(make_table_input(now)),
      published_balancers_, alive_zone_ids(now), published_silent_zones_,
      sync_of(directory_kind::targets).last_call_failed, count_unread(),
      era_.current(), published_releases_});
  if (first)
    announce_to_group(now, out);
  if (!early_reports_.empty())
    out->push_back(reported_targets{std::exchange(early_reports_, {})});
}

directory_core::actions directory_core::tick(time_us now) {
  actions out;
  for (const directory_kind kind : call_order) {
    if (call_due(now, kind))
      start_call(now, kind, &out);
  }
  if (now >= next_round_)
    send_round(now, &out);
  if (now >= next_pull_)
    pull_from_peers(now, &out);
  if (now - reports_sent_ >= options_.report_interval)
    send_reports(now, &out);
  if (now >= next_hold_end_) {
    update_hold_end(now);
    publish(now, &out);
  }
  if (now >= next_forget_) {
    next_forget_ = now + forget_interval;
    for (auto& sync : syncs_)
      sync.replica.forget_removed(now);
  }
  return out;
}

time_us directory_core::next_tick() const {
  time_us next =
      std::min({next_round_, next_forget_, next_pull_, next_hold_end_});
  if (!pending_reports_.empty())
    next = std::min(next, reports_sent_ + options_.report_interval);
  for (const auto& sync : syncs_) {
    if (sync.call_id == 0)
      next = std::min(next, sync.next_call);
  }
  return next;
}

}  // namespace turmeric
