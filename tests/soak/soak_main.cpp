/** @file soak_main.cpp Soak test: balancers as processes on loopback, under
 * faults drawn from a seed. */
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>

#include "soak_run.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric::tests {
namespace {

/** Their addresses and those of the targets end in one byte. */
constexpr size_t max_balancers = 160;
/** A restore of the registry, by 10 s, ends before the drain after all faults.
 */
constexpr time_us min_fault_phase_end = 4 * us_per_s;

constexpr const char* usage_text =
    "Usage: soak --daemon PATH [--seed N] [--runs N] [--minutes M]\n"
    "            [--balancers N] [--fault-seconds S] [--promises-only]\n"
    "            [--plant reset-open-flow|move-open-flow|\n"
    "            reset-opening-copy] [--overload] [--old-daemon PATH]\n"
    "\n"
    "Starts balancers on loopback addresses 127.10.0.x, injects faults into\n"
    "them, the registry and targets, and checks what callers and targets\n"
    "receive. With --promises-only the share of flows served after the faults\n"
    "is printed and not checked, since it depends on the machine's speed.\n"
    "With --balancers above 4 (to 160) there are 3 targets for 2 balancers,\n"
    "targets are loaded and take time, and balancers are restarted in turn,\n"
    "paused and killed in series that overlap. Faults start until S seconds\n"
    "(8) after the start of a run, which takes 11 s more. --plant injects a\n"
    "fault that the checks must find. With --overload the settings of section\n"
    "[overload] are on, targets have short queues, one in three is slower, "
    "and\n"
    "in load phases callers ask for three times what they can serve.\n"
    "With --old-daemon all balancers start with that program, and each is\n"
    "replaced by the other, back and again, beside the faults.\n";

constexpr std::array<std::string_view, static_cast<size_t>(soak_plant::end)>
    plant_names = {"none", "reset-open-flow", "move-open-flow",
                   "reset-opening-copy"};

/** @return soak_plant::end if there is no such name. */
soak_plant plant_by_name(std::string_view name) {
  return static_cast<soak_plant>(
      std::find(plant_names.begin(), plant_names.end(), name) -
      plant_names.begin());
}

int run_program(int argc, char** argv) {
  const option options[] = {{"daemon", required_argument, nullptr, 'd'},
                            {"seed", required_argument, nullptr, 's'},
                            {"runs", required_argument, nullptr, 'n'},
                            {"minutes", required_argument, nullptr, 'm'},
                            {"promises-only", no_argument, nullptr, 'p'},
                            {"balancers", required_argument, nullptr, 'b'},
                            {"fault-seconds", required_argument, nullptr, 'f'},
                            {"plant", required_argument, nullptr, 'x'},
                            {"overload", no_argument, nullptr, 'o'},
                            {"old-daemon", required_argument, nullptr, 'u'},
                            {nullptr, 0, nullptr, 0}};
  soak_options chosen;
  uint64_t seed = 1;
  uint64_t runs = 1;
  time_us time_limit = INT64_MAX;
  for (int c = 0; (c = getopt_long(argc, argv, "d:s:n:m:pb:f:x:ou:", options,
                                   nullptr)) != -1;) {
    switch (c) {
      case 'd':
        chosen.daemon = optarg;
        break;
      case 's':
        seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'n':
        runs = std::strtoull(optarg, nullptr, 10);
        break;
      case 'm':
        time_limit =
            static_cast<time_us>(std::strtod(optarg, nullptr) * 60) * us_per_s;
        runs = UINT64_MAX;
        break;
      case 'p':
        chosen.promises_only = true;
        break;
      case 'b':
        chosen.balancers = std::strtoull(optarg, nullptr, 10);
        break;
      case 'f':
        chosen.fault_phase_end =
            static_cast<time_us>(std::strtod(optarg, nullptr) * us_per_s);
        break;
      case 'x':
        chosen.plant = plant_by_name(optarg);
        break;
      case 'o':
        chosen.overload = true;
        break;
      case 'u':
        chosen.old_daemon = optarg;
        break;
      default:
        fmt::print(stderr, "{}", usage_text);
        return 2;
    }
  }
  if (chosen.daemon.empty() || chosen.balancers < default_balancers ||
      chosen.balancers > max_balancers ||
      chosen.fault_phase_end < min_fault_phase_end ||
      chosen.plant == soak_plant::end) {
    fmt::print(stderr, "{}", usage_text);
    return 2;
  }
  const time_us start = boot_now();
  uint64_t broken_runs = 0;
  for (uint64_t i = 0; i < runs && boot_now() - start < time_limit; ++i) {
    fmt::print("seed {} ", seed + i);
    std::fflush(stdout);
    broken_runs += run_soak(chosen, seed + i) ? 0 : 1;
  }
  fmt::print("{} runs broke a promise\n", broken_runs);
  return broken_runs == 0 ? 0 : 1;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::run_program(argc, argv);
}
