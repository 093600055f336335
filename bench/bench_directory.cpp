/** @file bench_directory.cpp Cost of the control plane per balancer in
 * forwarding mode, by the size of the fleet and of the directory.
 *
 * The fleet runs in the emulator; each message is encoded, signed and decoded.
 * Prints Markdown tables and a last line of JSON.
 */
#include <fmt/format.h>

#include <algorithm>
#include <ctime>

#include "emu_world.h"
#include "turmeric/protocol/fragment_base.h"

namespace turmeric::tests {
namespace {

constexpr time_us run_length = 20 * us_per_s;
constexpr size_t zones = 3;
constexpr size_t target_count = 150;
constexpr size_t fleet_sizes[] = {12, 48, 192};
constexpr size_t directory_sizes[] = {150, 1000, 10000, 44000};
/** The build time is the mean of this many builds. */
constexpr int table_builds = 5;
/** Size of the IPv4 and UDP headers of a datagram. */
constexpr uint64_t ip_udp_header_bytes = 28;

/** @return CPU time of this process in seconds. */
double process_cpu_seconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** Figures per balancer, except for the fleet size, the busiest balancer and
 * the registry calls, which are of the whole fleet. */
struct fleet_cost {
  size_t balancers = 0;
  double bytes_per_s = 0;
  double busiest_bytes_per_s = 0;
  double messages_per_s = 0;
  double registry_calls_per_s = 0;
  double core_percent = 0;  ///< CPU time over virtual time.
};

/** Measures a fleet with one request a second and @p changes_per_s
 * configuration changes a second. */
fleet_cost measure_fleet(size_t balancers, int changes_per_s) {
  const auto context =
      make_codec_context("bench", std::string(64, 'a')).value();
  uint64_t bytes = 0;
  uint64_t undecodable = 0;
  emu_options options;
  options.duration = run_length;
  options.shape.zones = zones;
  options.shape.balancers = balancers;
  options.shape.requests_per_s = 1;
  options.shape.services = {{"notes", target_count - 4}, {"archive", 4}};
  for (int i = 0; i < changes_per_s * static_cast<int>(run_length / us_per_s);
       ++i) {
    options.events.push_back({emu_disruption::configure,
                              us_per_s / changes_per_s * i, 0,
                              static_cast<uint64_t>(i)});
  }
  std::vector<uint64_t> sent_bytes(balancers);
  options.message_observer = [&](size_t from, const peer_message& message) {
    for (const auto& data : encode_datagrams(context, message, 1)) {
      bytes += data.size() + ip_udp_header_bytes;
      sent_bytes[from] += data.size() + ip_udp_header_bytes;
      undecodable +=
          decode_peer_message(context, data.data(), data.size()) ? 0 : 1;
    }
  };
  const double cpu_before = process_cpu_seconds();
  emu_world world(options);
  const emu_report report = world.run();
  if (undecodable != 0)
    fmt::print(stderr, "{} peer datagrams could not be decoded\n", undecodable);
  const double seconds = static_cast<double>(options.duration) / us_per_s;
  const auto balancer_count = static_cast<double>(balancers);
  const auto busiest_bytes =
      *std::max_element(sent_bytes.begin(), sent_bytes.end());
  return {
      balancers,
      static_cast<double>(bytes) / seconds / balancer_count,
      static_cast<double>(busiest_bytes) / seconds,
      static_cast<double>(report.peer_messages) / seconds / balancer_count,
      static_cast<double>(report.registry_calls) / seconds,
      100 * (process_cpu_seconds() - cpu_before) / seconds / balancer_count};
}

struct table_cost {
  size_t targets = 0;
  double build_ms = 0;
  double directory_kb = 0;  ///< Encoded push of all targets.
};

table_cost measure_table(size_t targets) {
  const auto context =
      make_codec_context("bench", std::string(64, 'a')).value();
  table_input input;
  peer_directory_delta directory;
  directory.revision = 1;
  for (size_t i = 0; i < targets; ++i) {
    target_input target;
    target.entry.name = fmt::format("i-{:010x}", i);
    target.entry.number = i + 1;
    target.entry.service = fmt::format("s{}", i % 1000);
    target.entry.zone = fmt::format("zone-{}", i % 12);
    target.entry.address = {static_cast<uint32_t>(0x0a000000 + i), 8080};
    target.entry.slots = 2;
    directory.names.push_back(target.entry.name);
    directory.revisions.push_back(i);
    directory.targets.push_back(target.entry);
    input.targets.push_back(std::move(target));
  }
  const double cpu_before = process_cpu_seconds();
  for (int i = 0; i < table_builds; ++i)
    const forwarding_table table(input);
  const double build_s = (process_cpu_seconds() - cpu_before) / table_builds;
  size_t bytes = 0;
  for (const auto& data : encode_datagrams(context, directory, 1))
    bytes += data.size();
  return {targets, build_s * 1000, static_cast<double>(bytes) / 1024};
}

int run_benchmark() {
  fmt::print(
      "| balancers | changes/s | bytes/s each | bytes/s of the busiest | "
      "messages/s each | registry "
      "calls/s "
      "| core % each |\n| --- | --- | --- | --- | --- | --- | --- |\n");
  double largest_fleet_bytes_per_s = 0;
  for (const int changes_per_s : {0, 1}) {
    for (const size_t balancers : fleet_sizes) {
      const fleet_cost cost = measure_fleet(balancers, changes_per_s);
      fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.1f} | {:.1f} | {:.3f} |\n",
                 cost.balancers, changes_per_s, cost.bytes_per_s,
                 cost.busiest_bytes_per_s, cost.messages_per_s,
                 cost.registry_calls_per_s, cost.core_percent);
      largest_fleet_bytes_per_s = cost.bytes_per_s;
    }
  }
  fmt::print(
      "\n| targets | table build ms | whole directory KB |\n"
      "| --- | --- | --- |\n");
  double largest_build_ms = 0;
  for (const size_t targets : directory_sizes) {
    const table_cost cost = measure_table(targets);
    fmt::print("| {} | {:.2f} | {:.0f} |\n", cost.targets, cost.build_ms,
               cost.directory_kb);
    largest_build_ms = cost.build_ms;
  }
  fmt::print("{{\"bytes_per_s_largest\":{:.0f},\"build_ms_largest\":{:.1f}}}\n",
             largest_fleet_bytes_per_s, largest_build_ms);
  return 0;
}

}  // namespace
}  // namespace turmeric::tests

int main() {
  return turmeric::tests::run_benchmark();
}
