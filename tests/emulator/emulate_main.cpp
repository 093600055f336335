/** @file emulate_main.cpp Runs generated disruptions of the forwarding mode
 * and checks its invariants. */
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include "emu_plan.h"
#include "emu_recovery.h"
#include "emu_world.h"

namespace turmeric::tests {
namespace {

constexpr const char* usage_text =
    "Usage: emulate [--seed N] [--runs N] [--troubles N] [--restores N]\n"
    "               [--streams N] [--trouble NAME]\n"
    "               [--plant NAME] [--follow TARGET] [--list] [--report]\n"
    "               [--balancers N]\n"
    "               [--targets N] [--reads N] [--recovery] [--large]\n"
    "               [--overload] [--mixed]\n"
    "\n"
    "Runs installations in virtual time, from seed N on, and prints violated\n"
    "promises.\n"
    "The exit code is 1 if there was one.\n"
    "\n"
    "  -s, --seed N        first seed (1)\n"
    "  -n, --runs N        number of runs (20)\n"
    "  -t, --troubles N    maximum number of troubles in a run (6)\n"
    "  -x, --restores N    further times that the store returns from a copy "
    "(0)\n"
    "  -L, --streams N     callers with long flows, and troubles that must "
    "not\n"
    "                      be taken for the loss of a target (0)\n"
    "  -o, --trouble NAME  run with this trouble only\n"
    "  -p, --plant NAME    inject this fault, which a checker must find\n"
    "  -f, --follow TARGET print the events of this target\n"
    "  -l, --list          print the names of troubles and plants\n"
    "  -r, --report        print the outcomes of requests\n"
    "  -B, --balancers N   size of the fleet (drawn from the seed)\n"
    "  -T, --targets N     targets of the first service (14)\n"
    "  -S, --reads N       calls per second that the store accepts (2000)\n"
    "  -R, --recovery      run each trouble alone and print the time until\n"
    "                      service recovers\n"
    "  -G, --large         a large fleet with long flows and many restarts; "
    "some\n"
    "                      balancers have lossy links, or the trouble given\n"
    "  -O, --overload      balancers detect full targets and learn weights of\n"
    "                      targets\n"
    "  -M, --mixed         half of the starts are of the earlier release\n";

struct command_line {
  uint64_t seed = 1;
  uint64_t runs = 20;
  size_t troubles = 6;
  size_t restores = 0;
  size_t streams = 0;
  emu_disruption trouble = emu_disruption::end;
  emu_injected_fault plant = emu_injected_fault::none;
  bool report = false;
  bool recovery = false;
  bool large = false;
  bool overload = false;
  bool mixed = false;
  std::string follow;
  size_t balancers = 0;  ///< 0: drawn from the seed.
  size_t targets = 0;    ///< 0: the default.
  uint64_t reads = 0;    ///< 0: the default.
};

template <typename E>
E named(const char* name) {
  for (int i = 0; i < static_cast<int>(E::end); ++i) {
    if (name_of(static_cast<E>(i)) == name)
      return static_cast<E>(i);
  }
  return E::end;
}

template <typename E>
void print_names(const char* title) {
  fmt::print("{}:", title);
  for (int i = 0; i < static_cast<int>(E::end); ++i)
    fmt::print(" {}", name_of(static_cast<E>(i)));
  fmt::print("\n");
}

emu_options options_of(const command_line& line, uint64_t seed) {
  if (line.plant != emu_injected_fault::none)
    return injected_fault_run(seed, line.plant);
  if (line.large)
    return large_fleet_run(seed, line.trouble == emu_disruption::end
                                     ? emu_disruption::lossy_link
                                     : line.trouble);
  if (line.trouble != emu_disruption::end) {
    emu_options options = single_disruption_run(seed, line.trouble);
    options.shape.streams = line.streams;
    return options;
  }
  emu_options options =
      with_restores(random_run(seed, line.troubles), line.restores);
  return line.streams == 0 ? options : with_streams(options, line.streams);
}

/** Applies the sizes given on the command line. */
emu_options sized(const command_line& line, emu_options options) {
  options.overload_control = line.overload;
  options.mixed_releases = line.mixed;
  if (line.balancers != 0)
    options.shape.balancers = line.balancers;
  if (line.targets != 0)
    options.shape.services[0].targets = line.targets;
  if (line.reads != 0)
    options.shape.store_calls_per_s = line.reads;
  return options;
}

void print_report(uint64_t seed,
                  const emu_options& options,
                  const emu_report& report) {
  for (size_t i = 0; i < report.outcomes.size(); ++i) {
    const emu_outcome& c = report.outcomes[i];
    fmt::print("seed {} {}: asked {} in time {} late {} failed {}\n", seed,
               options.shape.request_classes[i].name, c.requests, c.in_time,
               c.late, c.failed);
  }
  fmt::print(
      "seed {}: openings {} refused {} registry calls {} peer messages "
      "{}\n",
      seed, report.openings, report.refused, report.registry_calls,
      report.peer_messages);
  if (options.overload_control) {
    fmt::print("seed {}: attempts {} rejected by full targets {}\n", seed,
               report.attempts,
               report.rejected_requests + report.rejected_openings);
  }
  if (options.shape.streams != 0) {
    const emu_outcome& c = report.streams;
    fmt::print("seed {} streams: asked {} in time {} late {} failed {}\n", seed,
               c.requests, c.in_time, c.late, c.failed);
    fmt::print("seed {}: open flows reset {}\n", seed, report.resets);
  }
  for (const time_us time : report.restore_times)
    fmt::print("seed {}: restore followed by all after {} ms\n", seed,
               time / us_per_ms);
  if (!report.restore_times.empty())
    fmt::print("seed {}: calls meanwhile {}\n", seed, report.restore_calls);
  for (const auto& [key, calls] : report.calls_by_cause)
    fmt::print("seed {}: calls {} {}: {}\n", seed, name_of(key.first),
               name_of(key.second), calls);
  fmt::print("seed {}: share in time by second:", seed);
  for (const auto& [asked, served] : report.by_second)
    fmt::print(" {:.2f}", asked == 0 ? 1.0
                                     : static_cast<double>(served) /
                                           static_cast<double>(asked));
  fmt::print("\n");
  for (const auto& event : options.events) {
    fmt::print("  {:.2f} s for {:.2f} s: {}\n",
               static_cast<double>(event.start) / us_per_s,
               static_cast<double>(event.duration) / us_per_s,
               name_of(event.kind));
  }
}

/** @return Whether a run violated an invariant; with an injected fault, the
 * one that the fault violates. */
bool breaks(const command_line& line, const emu_report& report) {
  return std::any_of(report.violations.begin(), report.violations.end(),
                     [&](const emu_violation& v) {
                       return line.plant == emu_injected_fault::none ||
                              v.invariant == invariant_broken_by(line.plant);
                     });
}

/** Runs all seeds on half of the hardware threads.
 * @return Number of runs that violated an invariant. */
uint64_t play(const command_line& line) {
  std::atomic<uint64_t> next{0};
  std::atomic<uint64_t> broken{0};
  std::mutex output;
  const auto work = [&] {
    for (uint64_t i = next++; i < line.runs; i = next++) {
      const uint64_t seed = line.seed + i;
      emu_options options = sized(line, options_of(line, seed));
      options.followed_target = line.follow;
      emu_world world(options);
      const emu_report report = world.run();
      const std::lock_guard<std::mutex> lock(output);
      if (line.report)
        print_report(seed, options, report);
      for (const auto& text : report.followed_log)
        fmt::print("seed {}: {}\n", seed, text);
      broken += breaks(line, report) ? 1 : 0;
      for (const auto& v : report.violations) {
        fmt::print(
            "seed {}: {} at {:.3f} s: {}\n", seed, name_of(v.invariant),
            static_cast<double>(v.at - 1000 * us_per_s - options.warm_up) /
                us_per_s,
            v.detail);
        if (!line.report)
          break;
      }
    }
  };
  std::vector<std::thread> threads;
  const unsigned cores = std::max(1u, std::thread::hardware_concurrency() / 2);
  for (unsigned i = 0; i < cores; ++i)
    threads.emplace_back(work);
  for (auto& thread : threads)
    thread.join();
  return broken;
}

int main_of(int argc, char** argv) {
  const option options[] = {{"seed", required_argument, nullptr, 's'},
                            {"runs", required_argument, nullptr, 'n'},
                            {"troubles", required_argument, nullptr, 't'},
                            {"restores", required_argument, nullptr, 'x'},
                            {"streams", required_argument, nullptr, 'L'},
                            {"trouble", required_argument, nullptr, 'o'},
                            {"plant", required_argument, nullptr, 'p'},
                            {"follow", required_argument, nullptr, 'f'},
                            {"list", no_argument, nullptr, 'l'},
                            {"report", no_argument, nullptr, 'r'},
                            {"balancers", required_argument, nullptr, 'B'},
                            {"targets", required_argument, nullptr, 'T'},
                            {"reads", required_argument, nullptr, 'S'},
                            {"recovery", no_argument, nullptr, 'R'},
                            {"large", no_argument, nullptr, 'G'},
                            {"overload", no_argument, nullptr, 'O'},
                            {"mixed", no_argument, nullptr, 'M'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  command_line line;
  for (int c = 0; (c = getopt_long(argc, argv, "s:n:t:x:L:o:p:f:B:T:S:lrRGOMh",
                                   options, nullptr)) != -1;) {
    switch (c) {
      case 's':
        line.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        line.runs = std::strtoull(optarg, nullptr, 10);
        break;
      case 't':
        line.troubles = std::strtoull(optarg, nullptr, 10);
        break;
      case 'x':
        line.restores = std::strtoull(optarg, nullptr, 10);
        break;
      case 'L':
        line.streams = std::strtoull(optarg, nullptr, 10);
        break;
      case 'o':
        line.trouble = named<emu_disruption>(optarg);
        break;
      case 'p':
        line.plant = named<emu_injected_fault>(optarg);
        break;
      case 'f':
        line.follow = optarg;
        break;
      case 'l':
        print_names<emu_disruption>("troubles");
        print_names<emu_injected_fault>("plants");
        return 0;
      case 'B':
        line.balancers = std::strtoull(optarg, nullptr, 10);
        break;
      case 'T':
        line.targets = std::strtoull(optarg, nullptr, 10);
        break;
      case 'S':
        line.reads = std::strtoull(optarg, nullptr, 10);
        break;
      case 'R':
        line.recovery = true;
        break;
      case 'G':
        line.large = true;
        break;
      case 'O':
        line.overload = true;
        break;
      case 'M':
        line.mixed = true;
        break;
      case 'r':
        line.report = true;
        break;
      default:
        fmt::print(c == 'h' ? stdout : stderr, "{}", usage_text);
        return c == 'h' ? 0 : 2;
    }
  }
  if (line.plant == emu_injected_fault::end || line.troubles == 0) {
    fmt::print(stderr, "{}", usage_text);
    return 2;
  }
  if (line.recovery)
    return print_recoveries(line.seed, line.runs, line.overload) ? 0 : 1;
  const uint64_t broken = play(line);
  fmt::print("{} of {} runs broke a promise\n", broken, line.runs);
  return broken == 0 ? 0 : 1;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::main_of(argc, argv);
}
