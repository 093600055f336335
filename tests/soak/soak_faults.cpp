/** @file soak_faults.cpp Faults and load phases of a run, and what must hold
 * after them. */
#include <signal.h>

#include <algorithm>

#include "soak_overload.h"
#include "soak_run_internal.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric::tests {
namespace {

/** Longest time in which balancers are ready again at the end of a run. */
constexpr time_us end_ready_timeout = 5 * us_per_s;
/** After a load phase, when no opening may be refused because of it. */
constexpr time_us load_recovery_time = 2 * us_per_s;
/** Of a balancer; with 4 of them, a run of the default length takes 9 MiB. */
constexpr size_t max_memory_kib = 64 * 1024;

}  // namespace

void soak_run::schedule_restore() {
  if (restore_random_() % 2 != 0)
    return;
  const auto up_to = [this](time_us longest) {
    return static_cast<time_us>(restore_random_() %
                                static_cast<uint64_t>(longest));
  };
  const time_us away = 3 * us_per_s + up_to(4 * us_per_s);
  const time_us back = away + 300 * us_per_ms + up_to(us_per_s);
  const time_us age = us_per_s + up_to(3 * us_per_s);
  injected_faults_ += fmt::format(" {:.1f}:restored from {:.1f} s before",
                                  static_cast<double>(back) / us_per_s,
                                  static_cast<double>(age) / us_per_s);
  schedule(away, [this] { store_.set_fault(registry_fault::refusing); });
  schedule(back, [this, age] {
    store_.restore_copy(age);
    store_.set_fault(registry_fault::none);
  });
  schedule(back + up_to(us_per_s), [this] {
    store_.put("config", "main", routing_json());
    for (size_t i = 0; i < options_.targets(); ++i)
      store_.put("servers", traffic_.name_of(i), target_json(i, draining_[i]));
  });
}

void soak_run::schedule_load_phases() {
  const auto phases =
      draw_load_phases(seed_ + 4000037, first_fault, options_.fault_phase_end);
  for (const load_phase& phase : phases) {
    injected_faults_ += fmt::format(" {:.1f}:load until {:.1f}",
                                    static_cast<double>(phase.from) / us_per_s,
                                    static_cast<double>(phase.to) / us_per_s);
    schedule(phase.from, [this] { traffic_.set_load_phase(true); });
    schedule(phase.to, [this] { traffic_.set_load_phase(false); });
  }
  schedule(options_.fault_phase_end, [this] {
    schedule(std::max(options_.fault_phase_end, last_fault_end()) +
                 load_recovery_time,
             [this] {
               for (size_t i = 0; i < processes_.size(); ++i)
                 calm_logs_.push_back(file_size(log_path(i)));
             });
  });
}

void soak_run::check_end_of_overload(const soak_counts& counts) {
  if (!await_ready(end_ready_timeout))
    exit_faults_.emplace_back("a balancer is not ready at the end");
  if (counts.not_run + counts.reset_by_targets + counts.refused == 0)
    exit_faults_.emplace_back("the load phases did not fill the targets");
  for (size_t i = 0; i < processes_.size(); ++i) {
    const size_t refused =
        count_lines(log_path(i), calm_logs_[i], R"("overloaded")");
    if (refused != 0) {
      exit_faults_.push_back(fmt::format(
          "balancer {} logged {} lines with reason overloaded after recovery",
          i, refused));
    }
    const size_t memory = peak_memory_kib(processes_[i]->pid());
    peak_memory_kib_ = std::max(peak_memory_kib_, memory);
    if (memory == 0 || memory > max_memory_kib) {
      exit_faults_.push_back(
          fmt::format("balancer {} used {} KiB of memory, bound {} KiB", i,
                      memory, max_memory_kib));
    }
  }
}

void soak_run::schedule_series() {
  const series_plan plan = draw_series(seed_ + 2000003, processes_.size(),
                                       first_fault, options_.fault_phase_end);
  injected_faults_ += plan.description;
  for (const series_step& step : plan.steps) {
    schedule(step.at, [this, step] { start_step(step); });
    if (step.kind == series_kind::pause) {
      schedule(step.at + step.duration, [this, step] {
        processes_[step.balancer]->send_signal(SIGCONT);
      });
    }
  }
}

void soak_run::start_step(const series_step& step) {
  balancer_process* balancer = processes_[step.balancer].get();
  switch (step.kind) {
    case series_kind::restart:
      balancer->send_signal(SIGTERM);
      schedule(step.at + stop_grace, [balancer, pid = balancer->pid()] {
        if (balancer->pid() == pid)
          balancer->send_signal(SIGKILL);
      });
      return;
    case series_kind::pause:
      balancer->send_signal(SIGSTOP);
      return;
    case series_kind::kill:
      balancer->send_signal(SIGKILL);
      return;
    case series_kind::reload:
      balancer->send_signal(SIGHUP);
      return;
    case series_kind::routing_change:
      ++routing_version_;
      store_.put("config", "main", routing_json());
      return;
    case series_kind::end:
      return;
  }
}

void soak_run::inject_fault(time_us now) {
  const time_us fault_end =
      now + 200 * us_per_ms + static_cast<time_us>(random_() % (2 * us_per_s));
  balancer_process* balancer = processes_[random_() % processes_.size()].get();
  const size_t target = random_() % options_.targets();
  const uint64_t fault_kind = random_() % 9;
  injected_faults_ += fmt::format(
      " {:.1f}:{}", static_cast<double>(now) / us_per_s, fault_kind);
  switch (fault_kind) {
    case 0:
      balancer->send_signal(SIGKILL);
      return;
    case 1:
      balancer->send_signal(SIGTERM);
      return;
    case 2:
      balancer->send_signal(SIGSTOP);
      schedule(fault_end, [balancer] { balancer->send_signal(SIGCONT); });
      return;
    case 3:
      balancer->send_signal(SIGHUP);
      return;
    case 4:
    case 5: {
      store_.set_fault(fault_kind == 4 ? registry_fault::refusing
                                       : registry_fault::silent);
      schedule(fault_end, [this] { store_.set_fault(registry_fault::none); });
      return;
    }
    case 6:
      store_.discard_history();
      ++routing_version_;
      store_.put("config", "main", routing_json());
      return;
    case 7:
      if (target_fault_active_)
        return;
      target_fault_active_ = true;
      store_.put("servers", traffic_.name_of(target),
                 target_json(target, true));
      traffic_.set_draining(target, boot_now());
      draining_[target] = true;
      schedule(now + 4 * us_per_s, [this, target] {
        traffic_.set_draining(target, 0);
        draining_[target] = false;
        store_.put("servers", traffic_.name_of(target),
                   target_json(target, false));
        target_fault_active_ = false;
      });
      return;
    default:
      if (target_fault_active_)
        return;
      target_fault_active_ = true;
      traffic_.set_alive(target, false);
      schedule(fault_end, [this, target] {
        traffic_.set_alive(target, true);
        target_fault_active_ = false;
      });
  }
}

}  // namespace turmeric::tests
