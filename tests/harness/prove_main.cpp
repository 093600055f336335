/** @file prove_main.cpp Runs seeded simulations and checks the promises.
 *
 * Equal options give equal output, byte for byte.
 */
#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "checkers.h"
#include "fault_plan.h"
#include "sim_world.h"

namespace turmeric::tests {
namespace {

/** Number of seeds; each gives one run with all faults and one planned run. */
constexpr int default_runs = 300;
/** Seeds tried before an injected fault counts as not detected. */
constexpr int injected_fault_runs = 60;
constexpr unsigned max_threads = 6;

struct prove_options {
  std::string promise;
  uint64_t seed = 1;
  int runs = default_runs;
  bool inject_fault = false;  ///< Inject the fault of the promise.
  bool history = false;       ///< Print the history of one run, check nothing.
  bool planned = false;       ///< Print the planned run of the seed.
};

/** The violation of a promise by the run with the lowest seed. */
struct first_violation {
  uint64_t seed = 0;
  bool planned = false;
  violation what;
};

struct promise_result {
  uint64_t runs = 0;
  uint64_t faults = 0;
  uint64_t violations = 0;
  std::optional<first_violation> first;
};

sim_options options_for(const promise_row& row,
                        uint64_t seed,
                        bool planned,
                        bool inject_fault) {
  sim_options o = plan_run(seed, planned);
  if (inject_fault)
    row.inject_fault(&o);
  return o;
}

/** Removes every fault without which the run still violates the promise. */
sim_options minimize_faults(const promise_row& row, sim_options o) {
  for (size_t i = 0; i < o.faults.size();) {
    sim_options without_one = o;
    without_one.faults.erase(without_one.faults.begin() +
                             static_cast<std::ptrdiff_t>(i));
    if (row.check(simulate(without_one), without_one))
      o = std::move(without_one);
    else
      ++i;
  }
  return o;
}

void print_violation(const promise_row& row,
                     const promise_result& result,
                     bool inject_fault) {
  const first_violation& first = *result.first;
  fmt::print("{} VIOLATED seed={} kind={} violations={} runs={}\n", row.name,
             first.seed, first.planned ? "planned" : "all", result.violations,
             result.runs);
  fmt::print("  {:>6} ms  in the whole run: {}\n", first.what.at / us_per_ms,
             first.what.text);
  const sim_options minimal = minimize_faults(
      row, options_for(row, first.seed, first.planned, inject_fault));
  const auto what = row.check(simulate(minimal), minimal);
  fmt::print("  loss {}%, duplicates {}%, jitter up to {} ms\n",
             minimal.loss_percent, minimal.duplicate_percent,
             minimal.max_jitter / us_per_ms);
  for (const fault& f : minimal.faults)
    fmt::print("  {}\n", describe(f));
  fmt::print("  {:>6} ms  {}\n", what->at / us_per_ms, what->text);
}

/** Runs all seeds on up to max_threads threads. The results do not depend on
 * the order in which the runs finish. */
std::vector<promise_result> run_all(const prove_options& options,
                                    const std::vector<promise_row>& rows) {
  std::vector<promise_result> results(rows.size());
  std::mutex mutex;
  std::atomic<int> next{0};
  const auto run_seeds = [&] {
    for (int i = next++; i < options.runs; i = next++) {
      const uint64_t seed = options.seed + static_cast<uint64_t>(i);
      for (const bool planned : {false, true}) {
        const sim_options o =
            options.inject_fault
                ? options_for(rows.front(), seed, planned, true)
                : plan_run(seed, planned);
        const history events = simulate(o);
        for (size_t r = 0; r < rows.size(); ++r) {
          if (rows[r].planned_only && !planned)
            continue;
          const auto what = rows[r].check(events, o);
          const std::lock_guard<std::mutex> lock(mutex);
          ++results[r].runs;
          results[r].faults += o.faults.size();
          results[r].violations += what ? 1 : 0;
          auto& first = results[r].first;
          const bool earlier = what && (!first || seed < first->seed ||
                                        (seed == first->seed && !planned));
          if (earlier)
            first = first_violation{seed, planned, *what};
        }
      }
    }
  };
  std::vector<std::thread> threads;
  const unsigned count =
      std::clamp(std::thread::hardware_concurrency(), 1u, max_threads);
  for (unsigned i = 0; i < count; ++i)
    threads.emplace_back(run_seeds);
  for (auto& t : threads)
    t.join();
  return results;
}

const char* name_of(event_kind kind) {
  constexpr std::array<const char*, static_cast<size_t>(event_kind::end)>
      names = {"accepted",    "in_force",  "work",   "overload", "evidence",
               "packet_sent", "packet_in", "result", "started",  "ended",
               "target_cold", "disturbed", "calm"};
  return names[static_cast<size_t>(kind)];
}

int print_history(const prove_options& options) {
  const sim_options o = plan_run(options.seed, options.planned);
  for (const fault& f : o.faults)
    fmt::print("# {}\n", describe(f));
  for (const auto& e : simulate(o)) {
    fmt::print(
        "{:>9} {} balancer={} target={} request={} flow={:x} "
        "revision={} code={} opens={} known={} cold={}\n",
        e.at, name_of(e.kind), e.balancer, e.target, e.request, e.flow,
        e.config_revision, row_of(e.code).name, e.opens, e.target_has_flow,
        e.cold);
  }
  return 0;
}

int prove(const prove_options& options) {
  if (options.history)
    return print_history(options);
  std::vector<promise_row> rows;
  for (const auto& row : promises()) {
    if (options.promise.empty() || options.promise == row.name)
      rows.push_back(row);
  }
  const bool valid_choice =
      !rows.empty() && (!options.inject_fault || rows.size() == 1);
  if (!valid_choice) {
    fmt::print(stderr, "--plant needs --promise; promises are:\n");
    for (const auto& row : promises())
      fmt::print(stderr, "  {}\n", row.name);
    return 2;
  }
  const auto results = run_all(options, rows);
  int violated = 0;
  for (size_t i = 0; i < rows.size(); ++i) {
    const promise_result& r = results[i];
    if (!r.first) {
      fmt::print("{} held runs={} faults={}\n", rows[i].name, r.runs, r.faults);
      continue;
    }
    ++violated;
    print_violation(rows[i], r, options.inject_fault);
  }
  return violated == 0 ? 0 : 1;
}

int parse_and_prove(int argc, char** argv) {
  const option long_options[] = {{"promise", required_argument, nullptr, 'p'},
                                 {"seed", required_argument, nullptr, 's'},
                                 {"runs", required_argument, nullptr, 'r'},
                                 {"plant", no_argument, nullptr, 'P'},
                                 {"history", no_argument, nullptr, 'H'},
                                 {"planned", no_argument, nullptr, 'L'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  prove_options options;
  bool runs_given = false;
  for (int c = 0;
       (c = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    switch (c) {
      case 'p':
        options.promise = optarg;
        break;
      case 's':
        options.seed = std::strtoull(optarg, nullptr, 10);
        break;
      case 'r':
        options.runs = std::atoi(optarg);
        runs_given = true;
        break;
      case 'P':
        options.inject_fault = true;
        break;
      case 'H':
        options.history = true;
        break;
      case 'L':
        options.planned = true;
        break;
      default:
        fmt::print(
            "Usage: prove [--promise NAME] [--seed N] [--runs N] "
            "[--plant]\n"
            "       prove --history [--planned] [--seed N]\n");
        return c == 'h' ? 0 : 2;
    }
  }
  if (options.inject_fault && !runs_given)
    options.runs = injected_fault_runs;
  return prove(options);
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::parse_and_prove(argc, argv);
}
