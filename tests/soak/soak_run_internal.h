/** @file soak_run_internal.h State of one run of the soak test. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_RUN_INTERNAL_H_
#define TURMERIC_TESTS_SOAK_SOAK_RUN_INTERNAL_H_

#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <functional>
#include <memory>

#include "soak_process.h"
#include "soak_run.h"
#include "soak_series.h"
#include "soak_settings.h"

namespace turmeric::tests {

constexpr time_us first_fault = 2 * us_per_s;
/** Target 0 drains this long after the fault phase, after all faults: the last
 * may go on for 4 s. Balancers are in touch again 4 s later, and the bound on
 * openings at the target applies from 9 s, 3 s after the drain began. */
constexpr time_us undisturbed_drain_delay = 6 * us_per_s;
/** Routes of a configuration that is too large to be pushed whole. */
constexpr size_t upgrade_routes = 300;
/** From SIGTERM to SIGKILL; also in the settings of the balancers. */
constexpr time_us stop_grace = 3 * us_per_s;

/** One run: balancers, their surroundings and faults drawn from a seed. */
class soak_run {
 public:
  soak_run(const soak_options& options, uint64_t seed)
      : options_(options),
        seed_(seed),
        random_(seed),
        restore_random_(seed + 1000003),
        traffic_(options.targets(), load_of(options), seed),
        directory_(fmt::format("/tmp/turmeric-soak-{}-{}", getpid(), seed)) {
    mkdir(directory_.c_str(), 0755);
    store_.put("config", "main", routing_json());
    for (size_t i = 0; i < options_.targets(); ++i)
      store_.put("servers", traffic_.name_of(i), target_json(i, false));
    for (size_t i = 0; i < options_.balancers; ++i) {
      processes_.push_back(std::make_unique<balancer_process>(
          options_.upgrades() ? options_.old_daemon : options_.daemon,
          write_settings(i)));
      processes_.back()->start();
    }
  }

  /** @return Whether all guarantees held. */
  bool execute();

 private:
  /** Prints the result. @return Whether all guarantees held. */
  bool evaluate(const soak_counts& all_counts,
                const soak_counts& undisturbed_counts);

  time_us undisturbed_drain_time() const {
    return options_.fault_phase_end + undisturbed_drain_delay;
  }

  /** @return Whether all balancers became ready. */
  bool await_ready(time_us timeout);

  void restart_exited();

  endpoint balancer(size_t i, uint16_t first_port) const {
    return balancer_address(
        i, static_cast<uint16_t>(first_port + traffic_.port_offset()));
  }

  std::string routing_json() const {
    return routing_text(routing_version_, options_.overload,
                        options_.upgrades() ? upgrade_routes : 0);
  }

  std::string target_json(size_t i, bool draining) const {
    return target_text(traffic_.address_of(i), i, draining);
  }

  /** @return The path of the file. */
  std::string write_settings(size_t i) const {
    const std::string path = fmt::format("{}/balancer-{}.ini", directory_, i);
    std::ofstream(path) << settings_text(i, traffic_.port_offset(),
                                         store_.port(), stop_grace,
                                         options_.overload);
    return path;
  }

  /** Probes readiness as routers do: two failed probes in a row take a balancer
   * out of rotation. */
  void probe_readiness();

  /** @param when Time since the start of the run. */
  void schedule(time_us when, std::function<void()> action) {
    scheduled_.emplace(when, std::move(action));
  }

  /** @return When the last active fault ends, since the start; 0 if none is
   * active. The drain at undisturbed_drain_time() is no fault. */
  time_us last_fault_end() const;

  void run_scheduled(time_us now);

  /** In every second run, lets the registry refuse calls for a moment and
   * return from an older copy. What was written since is then written again.
   * Drawn apart from the other faults, whose seeds keep their meaning. */
  void schedule_restore();

  std::string log_path(size_t i) const {
    return fmt::format("{}/balancer-{}.ini.log", directory_, i);
  }

  /** Schedules the load phases, and the calm after them and all faults. */
  void schedule_load_phases();

  /** Checks what must hold after the load phases and all faults. */
  void check_end_of_overload(const soak_counts& counts);

  /** Schedules the replacement of each balancer by the new release, back by
   * the old one and by the new one again, with a change of the configuration at
   * each step. */
  void schedule_upgrades();
  /** @param at Time since the start of the run. */
  void replace_balancer(size_t number, const std::string& daemon, time_us at);

  /** Checks that all balancers are of the new release and have the same
   * configuration in force. */
  void check_end_of_upgrade();
  /** @return The value of @p key in the status of a balancer; -1 without an
   * answer. */
  int64_t status_of(size_t number, const std::string& key) const;

  /** Schedules the series of a large fleet. */
  void schedule_series();

  void start_step(const series_step& step);

  /** Draws and starts a fault. Kinds, as printed for a failed run: 0 balancer
   * killed, 1 terminated, 2 paused, 3 settings reloaded, 4 registry refuses, 5
   * registry silent, 6 registry's history discarded and routing changed, 7
   * target drains, 8 target stops replying. Only one target at a time drains
   * or is stopped. */
  void inject_fault(time_us now);

  soak_options options_;
  uint64_t seed_;
  std::mt19937_64 random_;
  std::mt19937_64 restore_random_;
  soak_store store_;
  soak_traffic traffic_;
  std::string directory_;
  std::vector<std::unique_ptr<balancer_process>> processes_;
  std::multimap<time_us, std::function<void()>> scheduled_;
  std::vector<int> failed_probes_ = std::vector<int>(options_.balancers, 2);
  int routing_version_ = 1;
  bool target_fault_active_ = false;
  std::vector<bool> draining_ = std::vector<bool>(options_.targets());
  uint64_t exits_ = 0;
  std::vector<std::string> exit_faults_;
  std::vector<size_t> calm_logs_;  ///< Sizes of the logs when calm began.
  size_t peak_memory_kib_ = 0;
  std::string injected_faults_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_RUN_INTERNAL_H_
