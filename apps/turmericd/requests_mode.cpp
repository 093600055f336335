/** @file requests_mode.cpp The requests mode, built as a module that the daemon
 * loads. */
#include "requests_mode.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <thread>

#include "admin_json.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/admin_base.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/control_runner_base.h"
#include "turmeric/transport/traffic_runner_base.h"

namespace turmeric {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(20);

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int) {
  stop_requested = 1;
}

/** @return The balancer's gossip record; the error of parse_endpoint() if
 * network.address is invalid. */
result<member_record> make_self_record(const settings& s) {
  member_record self;
  self.name = s.text(setting::instance_name);
  self.id = id_of<member_id>(self.name);
  self.zone = id_of<zone_id>(s.text(setting::instance_zone));
  self.incarnation = static_cast<uint64_t>(wall_now());
  auto address = parse_endpoint(s.text(setting::network_address) + ":0");
  if (!address)
    return boost::outcome_v2::failure(address.error());
  self.gossip = address.value();
  self.peer = address.value();
  self.gossip.port =
      static_cast<uint16_t>(s.number(setting::network_gossip_port));
  self.peer.port = static_cast<uint16_t>(s.number(setting::network_peer_port));
  return self;
}

/** Sets the log level of one category, or of all if @p category is "all".
 * @return Whether both names are valid. */
bool set_log_levels(const std::string& category, const std::string& level) {
  const log_level parsed_level = log_level_from(level);
  const log_category parsed_category = log_category_from(category);
  if (parsed_level == log_level::end)
    return false;
  if (parsed_category == log_category::end && category != "all")
    return false;
  set_log_level(parsed_category, parsed_level);
  return true;
}

admin_hooks make_admin_hooks(control_runner* control, traffic_runner* traffic) {
  admin_hooks hooks;
  hooks.status = [control] {
    auto status = control->status();
    return status ? status_to_json(status.value()) : Json::Value();
  };
  const time_us started = steady_now();
  hooks.metrics = [traffic, started] {
    const auto table = traffic->table();
    const time_us now = steady_now();
    return metrics_to_json(traffic->metrics(), table.get(), now, now - started);
  };
  hooks.set_log_level = set_log_levels;
  return hooks;
}

/** Announces the stop, accepts no new requests, and waits until none is queued
 * or running and all issued permits have expired. Repeated requests are still
 * answered meanwhile. */
void drain(control_runner* control, traffic_runner* traffic) {
  log(log_category::admin, log_level::info, "stopping");
  control->leave();
  traffic->stop_accepting_work();
  while (!traffic->may_end())
    std::this_thread::sleep_for(poll_interval);
}

result<void> run(const settings& s) {
  auto context = make_codec_context(s.text(setting::instance_cluster),
                                    s.text(setting::instance_key));
  if (!context)
    return boost::outcome_v2::failure(context.error());
  auto self = make_self_record(s);
  if (!self)
    return boost::outcome_v2::failure(self.error());
  traffic_runner traffic(s, context.value(), self.value());
  control_runner control(s, context.value(), self.value(),
                         [&](std::shared_ptr<const route_table> table) {
                           traffic.publish(std::move(table));
                         });
  endpoint admin_address = self.value().peer;
  admin_address.port =
      static_cast<uint16_t>(s.number(setting::network_admin_port));
  admin_server admin(admin_address, context.value(),
                     make_admin_hooks(&control, &traffic));
  auto started = traffic.start();
  if (started)
    started = control.start();
  if (started)
    started = admin.start();
  if (!started)
    return started;
  log(log_category::admin, log_level::info, "started");
  while (stop_requested == 0 && !control.leave_requested())
    std::this_thread::sleep_for(poll_interval);
  drain(&control, &traffic);
  admin.stop();
  control.stop();
  traffic.stop();
  log(log_category::admin, log_level::info, "stopped");
  return boost::outcome_v2::success();
}

/** @return The exit code. */
int print_error(const error& e) {
  fmt::print(stderr, "turmericd: {}\n", to_text(e));
  return static_cast<int>(e.code);
}

}  // namespace
}  // namespace turmeric

int turmericd_run_requests(const char* settings_path) {
  using namespace turmeric;  // NOLINT
  auto loaded = read_settings(settings_path);
  if (!loaded)
    return print_error(loaded.error());
  // The module has its own copy of the log's state, so the daemon's instance
  // name and levels do not apply here.
  set_log_instance(loaded.value().text(setting::instance_name));
  set_log_levels("all", loaded.value().text(setting::log_level));
  std::signal(SIGTERM, request_stop);
  std::signal(SIGINT, request_stop);
  auto outcome = run(loaded.value());
  return outcome ? 0 : print_error(outcome.error());
}
