/** @file fuzz_directory.cpp Drives a directory core and a forwarding core with
 * arbitrary sequences of well-formed messages, replies and times.
 *
 * Messages of peers may be wrong or stale in any way. Whatever they hold, the
 * revision of the replica of a directory kind must never decrease, and the
 * cores must stay within their bounds.
 */
#include <fuzzer/FuzzedDataProvider.h>

#include <cstdlib>

#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"

namespace {

using namespace turmeric;

constexpr int max_steps = 60;
constexpr size_t max_name_number = 4;
constexpr int64_t max_step_duration = 5 * us_per_s;

/** The cores of one balancer with their time and latest registry calls. */
struct balancer {
  explicit balancer(FuzzedDataProvider* provider)
      : bytes(*provider), directory(options(), random()) {
    apply(directory.start(now));
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

  void apply(const directory_core::actions& actions) {
    for (const auto& action : actions) {
      if (const auto* call = std::get_if<registry_call>(&action))
        latest_calls[static_cast<size_t>(call->kind)] = *call;
      if (const auto* published = std::get_if<publish_table>(&action))
        forwarding.set_table(now, published->table);
      if (const auto* received_reports = std::get_if<reported_targets>(&action))
        forwarding.on_peer_reports(now, received_reports->reports);
    }
    for (size_t i = 0; i < directory_kinds; ++i) {
      const uint64_t revision =
          directory.replica(static_cast<directory_kind>(i)).summary().revision;
      if (revision < revisions[i])
        std::abort();  // The revision of the replica decreased.
      revisions[i] = revision;
    }
  }

  std::string name() {
    return "n" + std::to_string(
                     bytes.ConsumeIntegralInRange<size_t>(0, max_name_number));
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

  peer_message hello_message() {
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

  peer_message directory_message() {
    peer_directory_delta m;
    m.to_incarnation = bytes.ConsumeBool() ? 1 : number();
    m.kind = kind();
    m.from_revision = bytes.ConsumeBool() ? 0 : number();
    m.revision = number();
    // Some messages have lists whose lengths do not match.
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

  void receive_reply() {
    const registry_call& call = latest_calls[static_cast<size_t>(kind())];
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
    apply(directory.on_reply(now, r));
  }

  void receive_segment() {
    segment s;
    s.source = address();
    s.destination = address();
    s.flags.opens = bytes.ConsumeBool();
    s.flags.finishes = bytes.ConsumeBool();
    s.acknowledged = bytes.ConsumeIntegral<uint32_t>();
    s.token = token_of(name());
    forwarding.on_segment(now, s);
    forwarding.tick(now);
    apply(directory.on_local_reports(now, forwarding.take_reports()));
  }

  void step() {
    now += bytes.ConsumeIntegralInRange<time_us>(0, max_step_duration);
    switch (bytes.ConsumeIntegralInRange<int>(0, 6)) {
      case 0:
        apply(directory.on_peer_message(now, hello_message()));
        break;
      case 1:
        apply(directory.on_peer_message(now, directory_message()));
        break;
      case 2:
        apply(directory.on_peer_message(now, reports()));
        break;
      case 3:
        receive_reply();
        break;
      case 4:
        apply(directory.on_pause(now));
        break;
      case 5:
        receive_segment();
        break;
      default:
        apply(directory.tick(now));
    }
  }

  FuzzedDataProvider& bytes;
  time_us now = 1000 * us_per_s;
  directory_core directory;
  forwarding_core forwarding{{}, random()};
  std::array<registry_call, directory_kinds> latest_calls;
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
