/** @file bench_directory.cpp What control costs a balancer of the forwarding
 * mode, over the size of the fleet and of the directory.
 *
 * The fleet runs in the emulator; every message is encoded, signed and decoded.
 * Prints Markdown tables, and as the last line JSON.
 */
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

#include "emu_world.h"
#include "turmeric/protocol/fragment_base.h"

namespace turmeric::tests {
namespace {

constexpr time_us quiet_length = 20 * us_per_s;
constexpr size_t zones = 3;
constexpr size_t fleet_targets = 150;
constexpr size_t fleets[] = {12, 48, 192};
constexpr size_t directories[] = {150, 1000, 10000, 44000};
constexpr int table_rounds = 5;
/** UDP and IP headers of a datagram. */
constexpr uint64_t header_bytes = 28;

double cpu_seconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct fleet_row {
  size_t balancers = 0;
  double bytes_per_s = 0;
  double busiest_bytes_per_s = 0;
  double messages_per_s = 0;
  double calls_per_s = 0;
  double core_percent = 0;
};

/** A fleet with hardly any traffic and @p changes changes a second. */
fleet_row measure_fleet(size_t balancers, int changes) {
  const auto context =
      make_codec_context("bench", std::string(64, 'a')).value();
  uint64_t bytes = 0;
  uint64_t unreadable = 0;
  emu_options options;
  options.duration = quiet_length;
  options.shape.zones = zones;
  options.shape.balancers = balancers;
  options.shape.requests_per_s = 1;
  options.shape.services = {{"notes", fleet_targets - 4}, {"archive", 4}};
  for (int i = 0; i < changes * static_cast<int>(quiet_length / us_per_s);
       ++i) {
    options.events.push_back({emu_disruption::configure, us_per_s / changes * i,
                              0, static_cast<uint64_t>(i)});
  }
  std::vector<uint64_t> sent(balancers);
  options.message_observer = [&](size_t from, const peer_message& message) {
    for (const auto& data : encode_datagrams(context, message, 1)) {
      bytes += data.size() + header_bytes;
      sent[from] += data.size() + header_bytes;
      unreadable +=
          decode_peer_message(context, data.data(), data.size()) ? 0 : 1;
    }
  };
  const double before = cpu_seconds();
  emu_world world(options);
  const emu_report report = world.run();
  if (unreadable != 0)
    fmt::print(stderr, "{} messages were unreadable\n", unreadable);
  const double seconds = static_cast<double>(options.duration) / us_per_s;
  const auto count = static_cast<double>(balancers);
  const auto most = *std::max_element(sent.begin(), sent.end());
  return {balancers,
          static_cast<double>(bytes) / seconds / count,
          static_cast<double>(most) / seconds,
          static_cast<double>(report.peer_messages) / seconds / count,
          static_cast<double>(report.registry_calls) / seconds,
          100 * (cpu_seconds() - before) / seconds / count};
}

struct table_row {
  size_t targets = 0;
  double build_ms = 0;
  double full_kb = 0;
};

table_row measure_table(size_t targets) {
  const auto context =
      make_codec_context("bench", std::string(64, 'a')).value();
  table_input input;
  peer_directory_delta directory;
  directory.revision = 1;
  for (size_t i = 0; i < targets; ++i) {
    target_input t;
    t.entry.name = fmt::format("i-{:010x}", i);
    t.entry.number = i + 1;
    t.entry.service = fmt::format("s{}", i % 1000);
    t.entry.zone = fmt::format("zone-{}", i % 12);
    t.entry.address = {static_cast<uint32_t>(0x0a000000 + i), 8080};
    t.entry.slots = 2;
    directory.names.push_back(t.entry.name);
    directory.revisions.push_back(i);
    directory.targets.push_back(t.entry);
    input.targets.push_back(std::move(t));
  }
  const double before = cpu_seconds();
  for (int i = 0; i < table_rounds; ++i)
    const forwarding_table table(input);
  const double built = (cpu_seconds() - before) / table_rounds;
  size_t bytes = 0;
  for (const auto& data : encode_datagrams(context, directory, 1))
    bytes += data.size();
  return {targets, built * 1000, static_cast<double>(bytes) / 1024};
}

int main_of() {
  fmt::print(
      "| balancers | changes/s | bytes/s each | bytes/s of the busiest | "
      "messages/s each | store "
      "calls/s "
      "| core % each |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  double last = 0;
  for (const int changes : {0, 1}) {
    for (const size_t balancers : fleets) {
      const fleet_row r = measure_fleet(balancers, changes);
      fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.1f} | {:.1f} | {:.3f} |\n",
                 r.balancers, changes, r.bytes_per_s, r.busiest_bytes_per_s,
                 r.messages_per_s, r.calls_per_s, r.core_percent);
      last = r.bytes_per_s;
    }
  }
  fmt::print(
      "\n| targets | table built in ms | whole directory KB |\n"
      "| --- | --- | --- |\n");
  double build = 0;
  for (const size_t targets : directories) {
    const table_row r = measure_table(targets);
    fmt::print("| {} | {:.2f} | {:.0f} |\n", r.targets, r.build_ms, r.full_kb);
    build = r.build_ms;
  }
  fmt::print("{{\"bytes_per_s_largest\":{:.0f},\"build_ms_largest\":{:.1f}}}\n",
             last, build);
  return 0;
}

}  // namespace
}  // namespace turmeric::tests

int main() {
  return turmeric::tests::main_of();
}
