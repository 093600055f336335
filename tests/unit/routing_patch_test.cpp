/** @file routing_patch_test.cpp Patches of the routing configuration and their
 * way to other balancers. */
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

#include "directory_fixture.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/protocol/fragment_base.h"

namespace turmeric {
namespace {

constexpr size_t many_routes = 400;

/** A configuration that is too large to be pushed whole. */
routing_entry large_routing() {
  routing_entry routing = make_routing(1);
  const route_entry first = routing.routes.front();
  for (size_t i = 0; i < many_routes; ++i) {
    route_entry route = first;
    route.name = "route-" + std::to_string(i);
    route.address.port = static_cast<uint16_t>(1000 + i);
    routing.routes.push_back(route);
  }
  return routing;
}

routing_entry changed_routing(const std::function<void(routing_entry*)>& edit) {
  routing_entry routing = large_routing();
  routing.version = 2;
  edit(&routing);
  return routing;
}

struct patch_row {
  const char* name;
  std::function<void(routing_entry*)> edit;
  bool expressible;
  size_t changed;
  size_t removed;
};

const patch_row patch_rows[] = {
    {"version only", [](routing_entry*) {}, true, 0, 0},
    {"timeout of a route",
     [](routing_entry* r) { r->routes[7].timeout = us_per_s; }, true, 1, 0},
    {"added route",
     [](routing_entry* r) {
       r->routes.push_back(r->routes[1]);
       r->routes.back().name = "new";
     },
     true, 1, 0},
    {"removed routes",
     [](routing_entry* r) {
       r->routes.erase(r->routes.begin() + 3, r->routes.begin() + 6);
     },
     true, 0, 3},
    {"limits of a service",
     [](routing_entry* r) {
       r->services = {{"notes", 5, 1.0}};
     },
     true, 0, 0},
    {"other order",
     [](routing_entry* r) { std::swap(r->routes[1], r->routes[2]); }, false, 0,
     0},
    {"route added in front",
     [](routing_entry* r) {
       route_entry route = r->routes[1];
       route.name = "new";
       r->routes.insert(r->routes.begin(), route);
     },
     true, 1, 0},
    {"routes added, changed and removed in between",
     [](routing_entry* r) {
       route_entry route = r->routes[1];
       route.name = "new";
       r->routes.erase(r->routes.begin() + 200);
       r->routes[150].priority = 5;
       r->routes.insert(r->routes.begin() + 100, route);
       route.name = "last";
       r->routes.push_back(route);
     },
     true, 3, 1},
    {"changed route moved",
     [](routing_entry* r) {
       r->routes[3].timeout = us_per_s;
       std::rotate(r->routes.begin() + 3, r->routes.begin() + 4,
                   r->routes.begin() + 9);
     },
     true, 1, 0},
    {"all routes removed", [](routing_entry* r) { r->routes.clear(); }, true, 0,
     401},
    {"two routes of one name",
     [](routing_entry* r) { r->routes[1].name = r->routes[2].name; }, false, 0,
     0},
};

/** @return The only directory that was sent, or null. */
const peer_directory_delta* sent_directory(const directory_fixture& f) {
  const peer_directory_delta* out = nullptr;
  for (const auto& message : f.messages) {
    if (const auto* sent = std::get_if<peer_directory_delta>(&message.body))
      out = sent;
  }
  return out;
}

/** A balancer that has loaded a large configuration at revision 2. */
struct large_fixture : directory_fixture {
  explicit large_fixture(const std::string& name = "front-1",
                         endpoint address = own_address)
      : directory_fixture(options_of(name, address)) {
    era = 3;
    reply(directory_kind::routing, 10, {entry("main", 2, large_routing())});
    reply(directory_kind::targets, 10, {entry("i-1", 3, make_target("i-1"))});
    reply(directory_kind::withdrawals, 10, {});
  }

  /** Adds eight peers of the zone with the same state. */
  void add_peers(uint32_t features) {
    for (uint32_t i = 1; i <= 8; ++i) {
      peer_hello hello = hello_of("front-1" + std::to_string(i), "north",
                                  {peer_address.ip + i, peer_address.port}, 7);
      hello.features = features;
      for (size_t kind = 0; kind < directory_kinds; ++kind) {
        hello.summaries[kind] =
            core.replica(static_cast<directory_kind>(kind)).summary();
      }
      handle(core.on_peer_message(now, hello));
    }
    messages.clear();
  }

  const routing_entry& routing() const {
    return std::get<routing_entry>(
        *core.replica(directory_kind::routing).entries().at("main").value);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(routing_patch_suite)

// Guards against a patch that turns a configuration into another one than the
// operators wrote.
BOOST_AUTO_TEST_CASE(patches_give_exactly_the_next_configuration) {
  for (const auto& row : patch_rows) {
    BOOST_TEST_CONTEXT(row.name) {
      const routing_entry base = large_routing();
      const routing_entry next = changed_routing(row.edit);
      const auto patch = make_patch(base, next);
      BOOST_TEST(patch.has_value() == row.expressible);
      if (!patch.has_value())
        continue;
      BOOST_TEST((*apply_patch(base, *patch) == next));
      BOOST_TEST(patch->changed.size() == row.changed);
      BOOST_TEST(patch->removed.size() == row.removed);
    }
  }
}

// Each change of a configuration of some hundred routes made every balancer of
// a zone read it whole from the registry, since it was too large to be pushed.
BOOST_AUTO_TEST_CASE(changes_of_large_configurations_are_pushed) {
  for (const auto& row : patch_rows) {
    BOOST_TEST_CONTEXT(row.name) {
      large_fixture watcher;
      watcher.add_peers(own_features());
      const routing_entry next = changed_routing(row.edit);
      watcher.reply(directory_kind::routing, 20, {entry("main", 20, next)});
      const auto* sent = sent_directory(watcher);
      BOOST_REQUIRE((sent != nullptr) == row.expressible);
      if (sent == nullptr)
        continue;
      large_fixture receiver("front-11", peer_address);
      peer_directory_delta directory = *sent;
      directory.to_incarnation = hash_name("front-11");
      receiver.handle(receiver.core.on_peer_message(receiver.now, directory));
      BOOST_TEST((receiver.routing() == next));
      BOOST_TEST(
          receiver.core.replica(directory_kind::routing).summary().digest ==
          watcher.core.replica(directory_kind::routing).summary().digest);
    }
  }
}

// A balancer of an earlier version would ignore a message without routes, and
// would read the registry only later.
BOOST_AUTO_TEST_CASE(earlier_versions_get_no_patches) {
  large_fixture watcher;
  watcher.add_peers(0);
  const routing_entry next = changed_routing(patch_rows[1].edit);
  watcher.reply(directory_kind::routing, 20, {entry("main", 20, next)});
  BOOST_TEST(sent_directory(watcher) == nullptr);
  peer_hello request = hello_of("front-11", "north",
                                {peer_address.ip + 1, peer_address.port}, 7, 2);
  request.summaries[1] = {2, 0, 3};
  request.requested_kinds = 2;
  watcher.handle(watcher.core.on_peer_message(watcher.now, request));
  const auto* sent = sent_directory(watcher);
  BOOST_REQUIRE(sent != nullptr);
  BOOST_TEST(sent->routing_patches.empty());
  BOOST_REQUIRE(sent->routings.size() == 1u);
  BOOST_TEST((sent->routings[0] == next));
}

struct base_row {
  const char* name;
  std::function<void(routing_patch*)> edit;
  bool applied;
};

// A configuration that the patch was not made for, for instance one that was
// kept over a restore of the registry, would be mixed with it.
BOOST_AUTO_TEST_CASE(patches_of_another_base_are_ignored) {
  const base_row rows[] = {
      {"same", [](routing_patch*) {}, true},
      {"other digest", [](routing_patch* p) { ++p->base_digest; }, false},
      {"other era", [](routing_patch* p) { ++p->base_era; }, false},
      {"other version", [](routing_patch* p) { ++p->base_version; }, false},
      {"position beyond the end",
       [](routing_patch* p) { p->positions = {10000}; }, false},
      {"position missing", [](routing_patch* p) { p->positions.clear(); },
       false},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      large_fixture watcher;
      watcher.add_peers(own_features());
      watcher.reply(directory_kind::routing, 20,
                    {entry("main", 20, changed_routing(patch_rows[1].edit))});
      const auto* sent = sent_directory(watcher);
      BOOST_REQUIRE(sent != nullptr);
      large_fixture receiver("front-11", peer_address);
      peer_directory_delta directory = *sent;
      directory.to_incarnation = hash_name("front-11");
      row.edit(&directory.routing_patches.front());
      receiver.handle(receiver.core.on_peer_message(receiver.now, directory));
      BOOST_TEST(receiver.routing().version == (row.applied ? 2u : 1u));
    }
  }
}

// Guards against fields that are lost on the wire.
BOOST_AUTO_TEST_CASE(round_trip_keeps_patches) {
  const auto c = make_codec_context("x", std::string(64, 'a')).value();
  const auto patch =
      make_patch(large_routing(), changed_routing(patch_rows[3].edit));
  peer_directory_delta m;
  m.kind = directory_kind::routing;
  m.routing_patches = {*patch};
  const auto datagrams = encode_datagrams(c, m, 1);
  BOOST_REQUIRE(datagrams.size() == 1u);
  const auto decoded =
      decode_peer_message(c, datagrams[0].data(), datagrams[0].size());
  BOOST_REQUIRE(decoded);
  const auto& read = std::get<peer_directory_delta>(decoded.value());
  BOOST_REQUIRE(read.routing_patches.size() == 1u);
  BOOST_TEST((*apply_patch(large_routing(), read.routing_patches[0]) ==
              changed_routing(patch_rows[3].edit)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
