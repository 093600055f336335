/** @file soak_run.cpp One run: starts balancers, injects faults and evaluates
 * what callers and targets saw. */
#include "soak_run.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>

#include "soak_run_internal.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/http_base.h"

namespace turmeric::tests {
namespace {

constexpr auto loop_interval = std::chrono::milliseconds(100);
constexpr time_us probe_interval = 500 * us_per_ms;
constexpr time_us probe_timeout = 50 * us_per_ms;
/** Duration of a run beyond the end of its fault phase. */
constexpr time_us recovery_phase = 11 * us_per_s;
/** Flows count for min_served_share from this long after the fault phase. */
constexpr time_us settle_time = 3 * us_per_s;
/** Longest start of a large fleet. */
constexpr time_us start_timeout = 30 * us_per_s;
/** Lowest accepted share of flows served after the faults. */
constexpr double min_served_share = 0.98;

}  // namespace

bool soak_run::execute() {
  if (options_.large() && !await_ready(start_timeout)) {
    fmt::print("BROKEN: a balancer was not ready {} s after the start\n",
               start_timeout / us_per_s);
    return false;
  }
  const time_us start = boot_now();
  time_us next_fault = first_fault;
  time_us next_probe = 0;
  soak_counts all_counts;
  soak_counts undisturbed_counts;
  schedule_restore();
  if (options_.large())
    schedule_series();
  if (options_.overload)
    schedule_load_phases();
  if (options_.upgrades())
    schedule_upgrades();
  schedule(undisturbed_drain_time(), [this] {
    store_.put("servers", traffic_.name_of(0), target_json(0, true));
    traffic_.set_draining(0, boot_now());
  });
  while (boot_now() - start < options_.fault_phase_end + recovery_phase) {
    std::this_thread::sleep_for(loop_interval);
    const time_us now = boot_now() - start;
    if (now >= next_probe) {
      next_probe = now + probe_interval;
      probe_readiness();
    }
    if (now >= next_fault && now < options_.fault_phase_end) {
      next_fault =
          now + 200 * us_per_ms + static_cast<time_us>(random_() % (us_per_s));
      inject_fault(now);
      traffic_.set_undisturbed_since(start + std::max(now, last_fault_end()));
    }
    run_scheduled(now);
    restart_exited();
    const soak_counts counts = traffic_.take_counts();
    all_counts += counts;
    if (now >= options_.fault_phase_end + settle_time)
      undisturbed_counts += counts;
  }
  if (options_.overload)
    check_end_of_overload(all_counts);
  if (options_.upgrades())
    check_end_of_upgrade();
  all_counts.violations += exit_faults_.size();
  all_counts.violation_texts.insert(all_counts.violation_texts.end(),
                                    exit_faults_.begin(), exit_faults_.end());
  return evaluate(all_counts, undisturbed_counts);
}

bool soak_run::evaluate(const soak_counts& all_counts,
                        const soak_counts& undisturbed_counts) {
  const double served_share =
      undisturbed_counts.opened == 0
          ? 0
          : static_cast<double>(undisturbed_counts.served) /
                static_cast<double>(undisturbed_counts.opened);
  const bool held =
      all_counts.violations == 0 &&
      (options_.promises_only || served_share >= min_served_share);
  fmt::print(
      "{}: asked {} served {} failed {} refused {}; once calm {:.3f}; "
      "{} long flows, requests on them {}, lost {}; over 200 ms {}; "
      "exits {}\n",
      held ? "held" : "BROKEN", all_counts.opened, all_counts.served,
      all_counts.timed_out, all_counts.reset, served_share,
      all_counts.long_opened, all_counts.long_requests, all_counts.long_lost,
      all_counts.late, exits_);
  if (options_.overload) {
    fmt::print(
        "  overload: not run {}, openings reset by targets {}, refused by "
        "balancers {}; peak memory of a balancer {} KiB\n",
        all_counts.not_run, all_counts.reset_by_targets, all_counts.refused,
        peak_memory_kib_);
  }
  for (const auto& violation : all_counts.violation_texts)
    fmt::print("  {}\n", violation);
  if (all_counts.violations > all_counts.violation_texts.size())
    fmt::print("  {} violations in all\n", all_counts.violations);
  if (held) {
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  } else {
    fmt::print("  troubles:{}\n  logs in {}\n", injected_faults_, directory_);
  }
  return held;
}

bool soak_run::await_ready(time_us timeout) {
  const time_us end = boot_now() + timeout;
  do {
    std::this_thread::sleep_for(loop_interval);
    probe_readiness();
    restart_exited();
    if (std::all_of(failed_probes_.begin(), failed_probes_.end(),
                    [](int failed) { return failed == 0; }))
      return true;
  } while (boot_now() < end);
  return false;
}

void soak_run::restart_exited() {
  for (size_t i = 0; i < processes_.size(); ++i) {
    if (!processes_[i]->has_exited())
      continue;
    ++exits_;
    const std::string fault = processes_[i]->exit_fault();
    if (!fault.empty())
      exit_faults_.push_back(fmt::format("balancer {} ended: {}", i, fault));
    traffic_.on_balancer_exit(balancer(i, first_packet_port));
    processes_[i]->start();
  }
}

void soak_run::probe_readiness() {
  boost::asio::io_context loop;
  std::vector<std::unique_ptr<http_client>> clients;
  std::vector<bool> ready(processes_.size());
  for (size_t i = 0; i < processes_.size(); ++i) {
    clients.push_back(
        std::make_unique<http_client>(loop, balancer(i, first_ready_port)));
    clients.back()->get("/v1/ready", probe_timeout,
                        [&ready, i](const http_result& response) {
                          ready[i] = response.status == 200;
                        });
  }
  loop.run();
  std::vector<endpoint> in_rotation;
  for (size_t i = 0; i < processes_.size(); ++i) {
    failed_probes_[i] = ready[i] ? 0 : failed_probes_[i] + 1;
    if (failed_probes_[i] < 2)
      in_rotation.push_back(balancer(i, first_packet_port));
  }
  traffic_.set_balancers(in_rotation);
}

time_us soak_run::last_fault_end() const {
  time_us last = 0;
  for (const auto& [when, action] : scheduled_)
    last = when < undisturbed_drain_time() ? std::max(last, when) : last;
  return last;
}

void soak_run::run_scheduled(time_us now) {
  while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
    const auto action = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    action();
  }
}

bool run_soak(const soak_options& options, uint64_t seed) {
  return soak_run(options, seed).execute();
}

}  // namespace turmeric::tests
