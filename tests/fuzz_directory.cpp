/** @file fuzz_directory.cpp Drives a directory core and a forwarding core with
 * arbitrary sequences of well-formed messages, answers and times.
 *
 * Peers may be wrong or old in any way; whatever they say, knowledge of a kind
 * moves forward only, and the cores stay within their bounds.
 */
#include <fuzzer/FuzzedDataProvider.h>

#include <cstdlib>

#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"

namespace {

using namespace turmeric;

constexpr int max_steps = 60;
constexpr size_t max_names = 4;
constexpr int64_t longest_step = 5 * us_per_s;

/** Everything of one balancer. */
struct balancer {
  explicit balancer(FuzzedDataProvider* provided)
      : bytes(*provided), directory(options(), random()) {
    take(directory.start(now));
  }

  static directory_options options() {
    directory_options o;
    o.peers.name = "self";
    o.peers.zone = "z0";
    o.peers.address = {1, 1};
    o.incarnation = 1;
    return o;
  }

  static random_source random() {
    return [n = uint64_t{0}]() mutable { return hash_pair(++n, 1); };
  }

  void take(const directory_core::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<registry_call>(&action))
        calls[static_cast<size_t>(call->kind)] = *call;
      if (const auto* published = std::get_if<publish_table>(&action))
        forwarding.set_table(now, published->table);
      if (const auto* told = std::get_if<reported_targets>(&action))
        forwarding.on_peer_reports(now, told->reports);
    }
    for (size_t i = 0; i < directory_kinds; ++i) {
      const uint64_t revision =
          directory.replica(static_cast<directory_kind>(i)).mark().revision;
      if (revision < revisions[i])
        std::abort();  // Knowledge went back.
      revisions[i] = revision;
    }
  }

  std::string name() {
    return "n" +
           std::to_string(bytes.ConsumeIntegralInRange<size_t>(0, max_names));
  }
  uint64_t number() { return bytes.ConsumeIntegralInRange<uint64_t>(0, 40); }
  endpoint address() {
    return {bytes.ConsumeIntegralInRange<uint32_t>(0, 6), 1};
  }
  directory_kind kind() {
    return static_cast<directory_kind>(
        bytes.ConsumeIntegralInRange<size_t>(0, directory_kinds - 1));
  }

  target_entry target() {
    target_entry t;
    t.name = name();
    t.service = name();
    t.zone = "z" + std::to_string(number() % 3);
    t.address = address();
    t.slots = bytes.ConsumeIntegral<uint32_t>();
    t.draining = bytes.ConsumeBool();
    t.cold_until = bytes.ConsumeIntegral<time_us>() / 4;
    return t;
  }

  routing_entry routing() {
    routing_entry r;
    r.version = number();
    route_entry route;
    route.address = address();
    for (uint64_t i = number() % 3; i != 0; --i)
      route.services.push_back({name(), bytes.ConsumeIntegral<uint32_t>()});
    if (!route.services.empty())
      r.routes.push_back(route);
    return r;
  }

  peer_message hello() {
    peer_hello m;
    m.name = name();
    m.zone = "z" + std::to_string(number() % 3);
    m.address = address();
    m.incarnation = number();
    m.sequence = number();
    m.leaving = bytes.ConsumeBool();
    for (auto& mark : m.summaries)
      mark = {number(), number()};
    for (uint64_t i = number() % 4; i != 0; --i)
      m.peers.push_back(address());
    m.watched_kinds = bytes.ConsumeIntegral<uint32_t>();
    m.requested_kinds = bytes.ConsumeIntegral<uint32_t>();
    m.requested_if_small = bytes.ConsumeIntegral<uint32_t>();
    return m;
  }

  peer_message peer_state() {
    peer_directory_delta m;
    m.to_incarnation = bytes.ConsumeBool() ? 1 : number();
    m.kind = kind();
    m.from_revision = bytes.ConsumeBool() ? 0 : number();
    m.revision = number();
    // Lengths that do not fit each other are among them.
    for (uint64_t i = number() % 4; i != 0; --i) {
      m.names.push_back(name());
      if (bytes.ConsumeProbability<float>() < 0.9F)
        m.revisions.push_back(number());
      if (m.kind == directory_kind::targets)
        m.targets.push_back(target());
      if (m.kind == directory_kind::routing)
        m.routings.push_back(routing());
    }
    for (uint64_t i = number() % 3; i != 0; --i) {
      m.removed_names.push_back(name());
      if (bytes.ConsumeProbability<float>() < 0.9F)
        m.removed_revisions.push_back(number());
    }
    return m;
  }

  peer_message reports() {
    peer_reports m;
    m.address = address();
    m.incarnation = number();
    m.sequence = number();
    for (uint64_t i = number() % 4; i != 0; --i) {
      m.reports.push_back({token_of(name()),
                           static_cast<target_observation>(number() % 3),
                           bytes.ConsumeIntegral<time_us>() / 4,
                           bytes.ConsumeIntegral<time_us>() / 4,
                           bytes.ConsumeIntegral<uint32_t>()});
    }
    return m;
  }

  void reply() {
    const registry_call& call = calls[static_cast<size_t>(kind())];
    registry_reply r;
    r.id = call.id;
    r.status = static_cast<registry_status>(
        number() % static_cast<uint64_t>(registry_status::end));
    r.revision = number();
    r.has_more = bytes.ConsumeBool();
    for (uint64_t i = number() % 4; i != 0; --i) {
      directory_change change;
      change.name = name();
      change.revision = number();
      change.removed = bytes.ConsumeBool();
      if (call.kind == directory_kind::targets)
        change.value = std::make_shared<const directory_value>(target());
      else if (call.kind == directory_kind::routing)
        change.value = std::make_shared<const directory_value>(routing());
      else
        change.value =
            std::make_shared<const directory_value>(withdrawal_entry{name()});
      if (bytes.ConsumeProbability<float>() < 0.1F) {
        change.value = nullptr;
        change.read_error = "unreadable";
      }
      r.changes.push_back(std::move(change));
    }
    take(directory.on_reply(now, r));
  }

  void send() {
    segment s;
    s.source = address();
    s.destination = address();
    s.flags.opens = bytes.ConsumeBool();
    s.flags.finishes = bytes.ConsumeBool();
    s.acknowledged = bytes.ConsumeIntegral<uint32_t>();
    s.token = token_of(name());
    forwarding.on_segment(now, s);
    forwarding.tick(now);
    take(directory.on_local_reports(now, forwarding.take_reports()));
  }

  void step() {
    now += bytes.ConsumeIntegralInRange<time_us>(0, longest_step);
    switch (bytes.ConsumeIntegralInRange<int>(0, 6)) {
      case 0:
        take(directory.on_peer_message(now, hello()));
        break;
      case 1:
        take(directory.on_peer_message(now, peer_state()));
        break;
      case 2:
        take(directory.on_peer_message(now, reports()));
        break;
      case 3:
        reply();
        break;
      case 4:
        take(directory.on_pause(now));
        break;
      case 5:
        send();
        break;
      default:
        take(directory.tick(now));
    }
  }

  FuzzedDataProvider& bytes;
  time_us now = 1000 * us_per_s;
  directory_core directory;
  forwarding_core forwarding{{}, random()};
  std::array<registry_call, directory_kinds> calls;
  std::array<uint64_t, directory_kinds> revisions{};
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  FuzzedDataProvider bytes(data, size);
  balancer b(&bytes);
  for (int i = 0; i < max_steps && bytes.remaining_bytes() != 0; ++i)
    b.step();
  return 0;
}
