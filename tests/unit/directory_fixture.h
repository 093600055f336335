/** @file directory_fixture.h A directory core with its registry calls, and
 * builders of entries and messages for it. */
#ifndef TURMERIC_TESTS_UNIT_DIRECTORY_FIXTURE_H_
#define TURMERIC_TESTS_UNIT_DIRECTORY_FIXTURE_H_

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {

constexpr endpoint own_address{0x0a010001, 7720};
constexpr endpoint peer_address{0x0a010002, 7720};

inline directory_options options_of(const std::string& name, endpoint address) {
  directory_options o;
  o.peers.name = name;
  o.peers.zone = "north";
  o.peers.address = address;
  o.incarnation = hash_name(name);
  return o;
}

inline random_source deterministic_random() {
  return [n = uint64_t{0}]() mutable { return hash_pair(++n, 1); };
}

/** A heartbeat of a peer that has not loaded any directory kind yet. */
inline peer_hello hello_of(const std::string& name,
                           const std::string& zone,
                           endpoint address,
                           uint64_t incarnation,
                           uint64_t sequence = 1) {
  peer_hello hello;
  hello.name = name;
  hello.zone = zone;
  hello.address = address;
  hello.incarnation = incarnation;
  hello.sequence = sequence;
  return hello;
}

/** A target entry as the target registers it. */
inline target_entry make_target(const std::string& name) {
  target_entry t;
  t.name = name;
  t.number = hash_name(name);
  t.service = "notes";
  t.zone = "north";
  t.address = {0x0a020001, 8080};
  t.slots = 2;
  return t;
}

/** A change that adds or replaces an entry. */
inline directory_change entry(const std::string& name,
                              uint64_t revision,
                              directory_value value) {
  directory_change change;
  change.name = name;
  change.revision = revision;
  change.value = std::make_shared<const directory_value>(std::move(value));
  return change;
}

inline directory_change removal(const std::string& name, uint64_t revision) {
  directory_change change;
  change.name = name;
  change.revision = revision;
  change.removed = true;
  return change;
}

inline routing_entry make_routing(uint64_t version) {
  routing_entry routing;
  routing.version = version;
  route_entry route;
  route.address = {0xc6120001, 443};
  route.services = {{"notes", 1}};
  routing.routes = {route};
  return routing;
}

/** @return Whether @p call is a watch from a known revision that the registry
 * answers without waiting for a change. */
inline bool is_catch_up_watch(const registry_call& call) {
  return call.op == registry_op::watch && call.wait == 0 && call.revision != 0;
}

/** A directory core with the last call of each kind, the messages that it sent
 * and its newest table. */
struct directory_fixture {
  explicit directory_fixture(
      directory_options options = options_of("front-1", own_address))
      : core(std::move(options), deterministic_random()) {
    handle(core.start(now));
  }

  /** Records what the core requests, in place of the adapters. */
  void handle(directory_core::actions actions) {
    for (auto& action : actions) {
      if (const auto* call = std::get_if<registry_call>(&action))
        calls[static_cast<size_t>(call->kind)] = *call;
      if (auto* sent = std::get_if<send_peer_message>(&action))
        messages.push_back(*sent);
      if (auto* published = std::get_if<publish_table>(&action)) {
        table = published->table;
        registry_lost = published->registry_lost;
        unread = published->unread;
      }
      if (const auto* line = std::get_if<directory_log_line>(&action))
        log_messages.push_back(line->message);
    }
  }

  const registry_call& call(directory_kind kind) const {
    return calls[static_cast<size_t>(kind)];
  }

  /** Answers the last call of @p kind. */
  void reply(directory_kind kind,
             uint64_t revision,
             std::vector<directory_change> changes,
             registry_status status = registry_status::ok) {
    // After a reply with changes the next watch starts later.
    const time_us step = directory_options().watch_batch_pause;
    for (time_us waited = 0;
         waited < directory_options().max_watch_batch_pause &&
         call(kind).id == answered_calls[static_cast<size_t>(kind)];
         waited += step)
      advance(step);
    answered_calls[static_cast<size_t>(kind)] = call(kind).id;
    registry_reply r;
    r.id = call(kind).id;
    r.status = status;
    r.era = era;
    r.revision = revision;
    r.changes = std::move(changes);
    handle(core.on_reply(now, r));
  }

  /** Answers the lists of all kinds: one target, one route, no withdrawal. */
  void load() {
    reply(directory_kind::routing, 10, {entry("main", 2, make_routing(1))});
    reply(directory_kind::targets, 10, {entry("i-1", 3, make_target("i-1"))});
    reply(directory_kind::withdrawals, 10, {});
  }

  void advance(time_us by) {
    now += by;
    handle(core.tick(now));
  }

  /** @return How many targets of the service may get new flows now. */
  size_t eligible_count() const {
    size_t count = 0;
    for (const auto* target : table->eligible_targets("notes"))
      count += now < target->eligible_until ? 1 : 0;
    return count;
  }

  time_us now = 1000 * us_per_s;
  directory_core core;
  std::array<registry_call, directory_kinds> calls;
  std::array<uint64_t, directory_kinds> answered_calls{};
  std::vector<send_peer_message> messages;
  std::vector<std::string> log_messages;
  std::shared_ptr<const forwarding_table> table;
  bool registry_lost = false;
  uint64_t era = 0;  ///< Of the replies.
  std::array<size_t, directory_kinds> unread{};
};

}  // namespace turmeric

#endif  // TURMERIC_TESTS_UNIT_DIRECTORY_FIXTURE_H_
