/** @file forwarding_fixture.h A forwarding core with a table of a few
 * targets, and helpers that act as its callers. */
#ifndef TURMERIC_TESTS_UNIT_FORWARDING_FIXTURE_H_
#define TURMERIC_TESTS_UNIT_FORWARDING_FIXTURE_H_

#include <memory>
#include <string>

#include "turmeric/coordination/forwarding_core_base.h"

namespace turmeric {

constexpr endpoint route_address{0xc6120001, 443};

inline random_source seeded_random(uint64_t seed) {
  return [seed, n = uint64_t{0}]() mutable { return hash_pair(++n, seed); };
}

/** Builds tables with one route and one service; tests add the targets and may
 * change them between segments. */
struct table_builder {
  table_builder() {
    routing_entry routing;
    routing.version = 1;
    route_entry route;
    route.address = route_address;
    route.services = {{"notes", 1}};
    routing.routes = {route};
    routing.services = {{"notes", 2000, 0.0}};
    input.routing = std::make_shared<const directory_value>(routing);
  }

  target_input& add(const std::string& name, const std::string& zone) {
    target_input t;
    t.entry.name = name;
    t.entry.number = hash_name(name);
    t.entry.service = "notes";
    t.entry.zone = zone;
    t.entry.slots = 2;
    t.entry.address = {0x0a000001, static_cast<uint16_t>(8000 + count++)};
    input.targets.push_back(t);
    return input.targets.back();
  }

  std::shared_ptr<const forwarding_table> table() const {
    return std::make_shared<const forwarding_table>(input);
  }

  table_input input;
  int count = 0;
};

/** The forwarding core of a balancer in zone "north", with helpers that send
 * callers' segments. */
struct forwarding_fixture {
  explicit forwarding_fixture(const table_builder& builder,
                              uint64_t seed = 1,
                              const forwarding_options& chosen = options())
      : core(chosen, seeded_random(seed)) {
    core.set_table(now, builder.table());
  }

  static forwarding_options options() {
    forwarding_options o;
    o.placing.zone = "north";
    return o;
  }

  /** @return A segment of the caller at @p port, without flags and token. */
  segment segment_from(uint16_t port) const {
    segment s;
    s.source = {0x64400001, port};
    s.destination = route_address;
    return s;
  }

  /** Sends the opening of a flow from @p port. */
  forwarding_decision open_flow(uint16_t port) {
    segment s = segment_from(port);
    s.flags.opens = true;
    return core.on_segment(now, s);
  }

  /** Sends the copy with this number of the opening of a flow. */
  forwarding_decision repeat_opening(uint16_t port, uint32_t copy) {
    segment s = segment_from(port);
    s.flags.opens = true;
    s.acknowledged = copy;
    return core.on_segment(now, s);
  }

  /** Sends the data of a request after @p received bytes of the target. */
  forwarding_decision send_request(uint16_t port,
                                   flow_token token,
                                   uint32_t received) {
    segment s = segment_from(port);
    s.flags.acknowledges = true;
    s.token = token;
    s.acknowledged = received;
    s.data_bytes = 100;
    return core.on_segment(now, s);
  }

  /** Sends a segment of an open flow. */
  forwarding_decision send_segment(uint16_t port,
                                   flow_token token,
                                   uint32_t acknowledged,
                                   bool finishes = false) {
    segment s = segment_from(port);
    s.flags.acknowledges = true;
    s.flags.finishes = finishes;
    s.token = token;
    s.acknowledged = acknowledged;
    return core.on_segment(now, s);
  }

  /** Runs a short flow from its opening through the answer to its end.
   * @return The name of its target. */
  std::string complete_flow(uint16_t port) {
    const auto opened = open_flow(port);
    wait(5 * us_per_ms);
    send_segment(port, opened.target->token, 1);
    wait(20 * us_per_ms);
    send_segment(port, opened.target->token, 600, true);
    send_segment(port, opened.target->token, 601);
    return opened.target->entry.name;
  }

  void wait(time_us by) {
    now += by;
    core.tick(now);
  }

  time_us now = 1000 * us_per_s;
  forwarding_core core;
};

}  // namespace turmeric

#endif  // TURMERIC_TESTS_UNIT_FORWARDING_FIXTURE_H_
