/** @file explored_world.cpp Steps and invariants of the exploration. */
#include "explored_world.h"

#include <algorithm>

namespace turmeric::tests {
namespace {

constexpr uint16_t peer_port = 7720;
constexpr int max_restores = 2;
constexpr uint64_t max_routing = 3;
/** Messages on the way to one balancer; older ones are lost beyond it. */
constexpr size_t max_on_the_way = 3;
/** Above the retry pauses, the anti-entropy delay and the interval of
 * heartbeats. */
constexpr time_us step_time = 350 * us_per_ms;
/** Rounds of 100 ms in which both must agree, above the timeouts of calls and
 * the interval at which an era is checked. */
constexpr int settle_rounds = 150;
constexpr time_us settle_time = 100 * us_per_ms;

constexpr std::array<std::string_view, static_cast<size_t>(explored_step::end)>
    step_names = {"write-routing",     "drain-target",  "register-target",
                  "copy-store",        "restore-store", "rewrite-lost",
                  "answer-first",      "answer-second", "deliver-to-first",
                  "deliver-to-second", "pass-time"};
constexpr std::array<std::string_view, static_cast<size_t>(explored_fault::end)>
    fault_names = {"none", "bare-revisions", "eraless-peers"};

endpoint address_of(size_t number) {
  return {static_cast<uint32_t>(0x0a010001 + number), peer_port};
}

target_entry make_target(const std::string& name, bool draining) {
  target_entry t;
  t.name = name;
  t.number = hash_name(name);
  t.service = "notes";
  t.zone = "north";
  t.address = {0x0a020001, 8080};
  t.draining = draining;
  t.started_unix_ms = 5;
  return t;
}

routing_entry make_routing(uint64_t version) {
  routing_entry routing;
  routing.version = version;
  route_entry route;
  route.address = {0xc6120001, 443};
  route.services = {{"notes", 1}};
  routing.routes = {route};
  return routing;
}

peer_message without_era(peer_message message) {
  if (auto* hello = std::get_if<peer_hello>(&message)) {
    for (auto& summary : hello->summaries)
      summary.era = 0;
  }
  if (auto* directory = std::get_if<peer_directory_delta>(&message))
    directory->era = 0;
  return message;
}

}  // namespace

std::string_view name_of(explored_step step) {
  return step_names[static_cast<size_t>(step)];
}

std::string_view name_of(explored_fault fault) {
  return fault_names[static_cast<size_t>(fault)];
}

explored_world::explored_world(explored_options options)
    : options_(options), balancers_(explored_balancers) {
  put(directory_kind::routing, "main", make_routing(newest_routing_));
  put(directory_kind::targets, "i-1", make_target("i-1", false));
  for (size_t i = 0; i < explored_balancers; ++i) {
    directory_options directory;
    directory.peers.name = "front-" + std::to_string(i);
    directory.peers.zone = "north";
    directory.peers.address = address_of(i);
    directory.incarnation = i + 1;
    directory.seeds = {address_of(1 - i)};
    balancers_[i].core = std::make_shared<directory_core>(
        directory,
        [i, n = uint64_t{0}]() mutable { return hash_pair(++n, i); });
    execute(i, balancers_[i].core->start(now_));
  }
  settle();
}

directory_core& explored_world::copy_on_write(size_t number) {
  auto& core = balancers_[number].core;
  if (core.use_count() > 1)
    core = std::make_shared<directory_core>(*core);
  return *core;
}

void explored_world::put(directory_kind kind,
                         const std::string& name,
                         directory_value value) {
  directory_change change;
  change.name = name;
  change.revision = ++registry_.revision;
  if (auto* target = std::get_if<target_entry>(&value))
    target->created = change.revision;
  change.value = std::make_shared<const directory_value>(std::move(value));
  registry_.objects[static_cast<size_t>(kind)][name] = change;
  registry_.history.emplace_back(kind, std::move(change));
}

std::vector<explored_step> explored_world::enabled_steps() const {
  std::vector<explored_step> out;
  const auto add_if = [&](bool enabled, explored_step step) {
    if (enabled)
      out.push_back(step);
  };
  const auto answers = [&](size_t number) {
    const auto& calls = balancers_[number].calls;
    return std::any_of(calls.begin(), calls.end(), [&](const auto& call) {
      return call.has_value() && answerable(number, *call);
    });
  };
  add_if(newest_routing_ < max_routing, explored_step::write_routing);
  add_if(!drained_, explored_step::drain_target);
  add_if(!registered_, explored_step::register_target);
  add_if(!copy_.has_value() || copy_->revision != registry_.revision,
         explored_step::copy_store);
  add_if(copy_.has_value() && restores_ < max_restores,
         explored_step::restore_store);
  add_if(anything_lost(), explored_step::rewrite_lost);
  add_if(answers(0), explored_step::answer_first);
  add_if(answers(1), explored_step::answer_second);
  add_if(!on_the_way_[0].empty(), explored_step::deliver_to_first);
  add_if(!on_the_way_[1].empty(), explored_step::deliver_to_second);
  out.push_back(explored_step::pass_time);
  return out;
}

void explored_world::take(explored_step step) {
  switch (step) {
    case explored_step::write_routing:
      put(directory_kind::routing, "main", make_routing(++newest_routing_));
      return;
    case explored_step::drain_target:
      drained_ = true;
      put(directory_kind::targets, "i-1", make_target("i-1", true));
      return;
    case explored_step::register_target:
      registered_ = true;
      put(directory_kind::targets, "i-2", make_target("i-2", false));
      return;
    case explored_step::copy_store:
      copy_ = registry_;
      return;
    case explored_step::restore_store:
      ++restores_;
      ++era_;
      registry_ = *copy_;
      for (size_t i = 0; i < explored_balancers; ++i)
        fail_calls(i);
      return;
    case explored_step::rewrite_lost:
      rewrite_lost();
      return;
    case explored_step::answer_first:
    case explored_step::answer_second:
      answer(step == explored_step::answer_first ? 0 : 1);
      return;
    case explored_step::deliver_to_first:
    case explored_step::deliver_to_second:
      deliver(step == explored_step::deliver_to_first ? 0 : 1);
      return;
    default:
      pass_time(step_time);
  }
}

bool explored_world::anything_lost() const {
  const auto& routings =
      registry_.objects[static_cast<size_t>(directory_kind::routing)];
  const auto& targets =
      registry_.objects[static_cast<size_t>(directory_kind::targets)];
  const bool drain_lost =
      drained_ && !std::get<target_entry>(*targets.at("i-1").value).draining;
  return std::get<routing_entry>(*routings.at("main").value).version !=
             newest_routing_ ||
         drain_lost || (registered_ && targets.count("i-2") == 0);
}

void explored_world::rewrite_lost() {
  const auto& routings =
      registry_.objects[static_cast<size_t>(directory_kind::routing)];
  const auto& targets =
      registry_.objects[static_cast<size_t>(directory_kind::targets)];
  if (std::get<routing_entry>(*routings.at("main").value).version !=
      newest_routing_)
    put(directory_kind::routing, "main", make_routing(newest_routing_));
  if (drained_ && !std::get<target_entry>(*targets.at("i-1").value).draining)
    put(directory_kind::targets, "i-1", make_target("i-1", true));
  if (registered_ && targets.count("i-2") == 0)
    put(directory_kind::targets, "i-2", make_target("i-2", false));
}

registry_reply explored_world::answer_to(const registry_call& call) const {
  registry_reply reply;
  reply.id = call.id;
  reply.status = registry_status::ok;
  reply.era = options_.fault == explored_fault::bare_revisions ? 0 : era_;
  reply.revision = registry_.revision;
  if (call.op == registry_op::list) {
    for (const auto& [name, change] :
         registry_.objects[static_cast<size_t>(call.kind)])
      reply.changes.push_back(change);
    return reply;
  }
  if (call.revision > registry_.revision) {
    reply.status = registry_status::history_gone;
    return reply;
  }
  for (const auto& [kind, change] : registry_.history) {
    if (kind == call.kind && change.revision > call.revision)
      reply.changes.push_back(change);
  }
  return reply;
}

bool explored_world::answerable(size_t number,
                                const registry_call& call) const {
  if (number == 1 && !options_.second_reaches_registry)
    return false;
  const registry_reply reply = answer_to(call);
  return call.wait == 0 || reply.status != registry_status::ok ||
         !reply.changes.empty();
}

void explored_world::answer(size_t number) {
  for (size_t kind = 0; kind < directory_kinds; ++kind) {
    auto& call = balancers_[number].calls[kind];
    if (!call.has_value() || !answerable(number, *call))
      continue;
    const registry_reply reply = answer_to(*call);
    call.reset();
    execute(number, copy_on_write(number).on_reply(now_, reply));
  }
}

void explored_world::fail_calls(size_t number) {
  for (size_t kind = 0; kind < directory_kinds; ++kind) {
    auto& call = balancers_[number].calls[kind];
    if (!call.has_value())
      continue;
    registry_reply reply;
    reply.id = call->id;
    reply.status = registry_status::unreachable;
    call.reset();
    execute(number, copy_on_write(number).on_reply(now_, reply));
  }
}

void explored_world::deliver(size_t number) {
  if (on_the_way_[number].empty())
    return;
  const peer_message message = std::move(on_the_way_[number].front());
  on_the_way_[number].pop_front();
  execute(number, copy_on_write(number).on_peer_message(now_, message));
}

void explored_world::pass_time(time_us by) {
  now_ += by;
  for (size_t i = 0; i < explored_balancers; ++i) {
    if (i == 1 && !options_.second_reaches_registry)
      fail_calls(i);
    execute(i, copy_on_write(i).tick(now_));
  }
}

void explored_world::execute(size_t number, directory_core::actions actions) {
  balancer& b = balancers_[number];
  for (auto& action : actions) {
    if (const auto* call = std::get_if<registry_call>(&action))
      b.calls[static_cast<size_t>(call->kind)] = *call;
    if (const auto* published = std::get_if<publish_table>(&action))
      b.table = published->table;
    auto* sent = std::get_if<send_peer_message>(&action);
    if (sent == nullptr || !(sent->to == address_of(1 - number)))
      continue;
    auto& queue = on_the_way_[1 - number];
    if (queue.size() == max_on_the_way)
      queue.pop_front();
    queue.push_back(options_.fault == explored_fault::eraless_peers
                        ? without_era(std::move(sent->body))
                        : std::move(sent->body));
  }
  check(number);
}

void explored_world::record_violation(const std::string& what) {
  if (violation_.empty())
    violation_ = what;
}

void explored_world::check(size_t number) {
  balancer& b = balancers_[number];
  const std::string name = "balancer " + std::to_string(number);
  for (size_t i = 0; i < directory_kinds; ++i) {
    const registry_version version =
        b.core->replica(static_cast<directory_kind>(i)).summary().version();
    if (is_newer(b.versions[i], version))
      record_violation(name + " took an older state");
    b.versions[i] = version;
  }
  if (b.table == nullptr)
    return;
  if (b.table->routing_version() < b.routing_version)
    record_violation(name + " went back to an older configuration");
  b.routing_version = b.table->routing_version();
  const auto* target = b.table->target_of(token_of("i-1"));
  const bool draining = target != nullptr && target->entry.draining;
  if (b.drain_seen && !draining)
    record_violation(name + " uses a draining target again");
  b.drain_seen = draining;
}

void explored_world::settle() {
  rewrite_lost();
  for (int round = 0; round < settle_rounds; ++round) {
    for (size_t i = 0; i < explored_balancers; ++i) {
      answer(i);
      for (size_t left = on_the_way_[i].size(); left > 0; --left)
        deliver(i);
    }
    pass_time(settle_time);
  }
  check_agreement();
}

void explored_world::check_agreement() {
  for (size_t i = 0; i < explored_balancers; ++i) {
    const balancer& b = balancers_[i];
    const std::string name = "balancer " + std::to_string(i);
    if (b.routing_version != newest_routing_)
      record_violation(name + " lacks the newest configuration");
    if (drained_ && !b.drain_seen)
      record_violation(name + " does not know of the drain");
    const auto* target =
        b.table == nullptr ? nullptr : b.table->target_of(token_of("i-2"));
    const bool usable = target != nullptr && now_ < target->eligible_until;
    if (usable != registered_)
      record_violation(name + (usable ? " uses a target that is not registered"
                                      : " lacks a registered target"));
  }
}

}  // namespace turmeric::tests
