/** @file wire_examples.h Messages between balancers with a value in every field
 * that the first release knows. */
#ifndef TURMERIC_TESTS_UNIT_WIRE_EXAMPLES_H_
#define TURMERIC_TESTS_UNIT_WIRE_EXAMPLES_H_

#include <string>
#include <utility>
#include <vector>

#include "turmeric/protocol/codec_func.h"

namespace turmeric {

inline peer_hello example_hello() {
  peer_hello m;
  m.name = "front-north-1";
  m.zone = "north";
  m.address = {0x0a010001, 7720};
  m.incarnation = 1764000000000001;
  m.sequence = 42;
  m.leaving = true;
  m.summaries = {directory_summary{101, 0x1111222233334444, 3},
                 directory_summary{102, 0x5555666677778888, 3},
                 directory_summary{103, 0x99990000aaaabbbb, 3}};
  m.peers = {{0x0a010002, 7720}, {0x0a020003, 7720}};
  m.watched_kinds = 5;
  m.requested_kinds = 2;
  m.requested_if_small = 1;
  m.relayed_kinds = 4;
  return m;
}

inline peer_directory_delta example_directory(directory_kind kind) {
  peer_directory_delta m;
  m.to_incarnation = 1764000000000002;
  m.kind = kind;
  m.from_revision = 90;
  m.revision = 102;
  m.names = {"entry-1"};
  m.revisions = {101};
  m.removed_names = {"entry-2"};
  m.removed_revisions = {102};
  m.era = 3;
  return m;
}

inline peer_directory_delta example_targets() {
  peer_directory_delta m = example_directory(directory_kind::targets);
  target_entry t;
  t.name = "i-786f44329d";
  t.number = 0x786f44329d;
  t.service = "notes";
  t.zone = "north";
  t.address = {0x0a024011, 8646};
  t.slots = 2;
  t.draining = true;
  t.started_unix_ms = 1764000000123;
  t.cold_until = 1500000;
  t.created = 77;
  m.targets = {t};
  return m;
}

inline peer_directory_delta example_routing() {
  peer_directory_delta m = example_directory(directory_kind::routing);
  routing_entry routing;
  routing.version = 17;
  route_entry route;
  route.name = "card";
  route.address = {0xc6120001, 8443};
  route.kind = route_kind::upload;
  route.timeout = 2500000;
  route.latency_objective = 400000;
  route.priority = 2;
  route.services = {{"notes", 3}, {"archive", 1}};
  routing.routes = {route};
  routing.services = {{"notes", 2000, 5.5}};
  routing.idle_timeout = 15000000;
  m.routings = {routing};
  return m;
}

inline peer_reports example_reports() {
  peer_reports m;
  m.address = {0x0a010001, 7720};
  m.incarnation = 1764000000000001;
  m.sequence = 9;
  m.reports = {{0x1234abcd, target_observation::recovered, 25000, 2000000, 1}};
  return m;
}

inline peer_fragment example_fragment() {
  return {7, 1, 3, "bytes of a fragment"};
}

/** All examples by name. */
inline std::vector<std::pair<std::string, peer_message>> wire_examples() {
  return {{"hello", example_hello()},
          {"targets", example_targets()},
          {"routing", example_routing()},
          {"withdrawals", example_directory(directory_kind::withdrawals)},
          {"reports", example_reports()},
          {"fragment", example_fragment()}};
}

}  // namespace turmeric

#endif  // TURMERIC_TESTS_UNIT_WIRE_EXAMPLES_H_
