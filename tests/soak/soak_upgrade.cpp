/** @file soak_upgrade.cpp Replacement of the balancers of one release by those
 * of another, there and back, and what must hold at its end. */
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <thread>

#include "soak_run_internal.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/release_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/http_base.h"

namespace turmeric::tests {
namespace {

/** To the new release, back, and to the new one again. */
constexpr size_t passes = 3;
/** A configuration is in force within this time after the last change. */
constexpr time_us config_timeout = 5 * us_per_s;
constexpr time_us status_timeout = 500 * us_per_ms;
constexpr auto check_interval = std::chrono::milliseconds(100);

}  // namespace

void soak_run::schedule_upgrades() {
  const auto steps = static_cast<time_us>(passes * processes_.size());
  const time_us interval = (options_.fault_phase_end - first_fault) / steps;
  time_us at = first_fault;
  for (size_t pass = 0; pass < passes; ++pass) {
    const std::string& daemon =
        pass % 2 == 0 ? options_.daemon : options_.old_daemon;
    for (size_t i = 0; i < processes_.size(); ++i) {
      schedule(at, [this, i, daemon, at] { replace_balancer(i, daemon, at); });
      at += interval;
    }
  }
}

void soak_run::replace_balancer(size_t number,
                                const std::string& daemon,
                                time_us at) {
  balancer_process* balancer = processes_[number].get();
  balancer->set_daemon(daemon);
  balancer->send_signal(SIGTERM);
  schedule(at + stop_grace, [balancer, pid = balancer->pid()] {
    if (balancer->pid() == pid)
      balancer->send_signal(SIGKILL);
  });
  ++routing_version_;
  store_.put("config", "main", routing_json());
}

int64_t soak_run::status_of(size_t number, const std::string& key) const {
  boost::asio::io_context loop;
  http_client client(loop, balancer(number, first_metrics_port));
  int64_t value = -1;
  client.get("/status", status_timeout, [&](const http_result& response) {
    Json::Value status;
    if (response.status == 200 && json_parse(response.body, &status) &&
        status.isMember(key))
      value = status[key].asInt64();
  });
  loop.run();
  return value;
}

void soak_run::check_end_of_upgrade() {
  const time_us deadline = boot_now() + config_timeout;
  for (size_t i = 0; i < processes_.size(); ++i) {
    int64_t version = status_of(i, "routing_version");
    while (version != routing_version_ && boot_now() < deadline) {
      std::this_thread::sleep_for(check_interval);
      version = status_of(i, "routing_version");
    }
    if (version != routing_version_) {
      exit_faults_.push_back(
          fmt::format("balancer {} has configuration {} in force instead of {}",
                      i, version, routing_version_));
    }
    if (status_of(i, "release") != own_release)
      exit_faults_.push_back(
          fmt::format("balancer {} is not of the new release", i));
  }
}

}  // namespace turmeric::tests
