/** @file main.cpp The balancer daemon. */
#include <fmt/format.h>
#include <getopt.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>

#include "admin_json.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/admin_base.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/control_runner_base.h"
#include "turmeric/transport/forwarder_base.h"
#include "turmeric/transport/traffic_runner_base.h"

namespace turmeric {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(20);

/** Names the settings file where the command line does not. */
constexpr const char* settings_variable = "TURMERICSTREAM_SETTINGS";
constexpr std::string_view forwarding_mode = "forwarding";

volatile std::sig_atomic_t stop_requested = 0;

void request_stop(int) {
  stop_requested = 1;
}

constexpr const char* usage_text =
    "Usage: turmericd [--settings FILE]\n"
    "\n"
    "Runs one balancer until SIGTERM or `turmericstream instance drain`.\n"
    "\n"
    "  -s, --settings FILE   INI file with the settings; without it, the file\n"
    "                        that TURMERICSTREAM_SETTINGS names\n"
    "  -S, --help-settings   print the table of settings\n"
    "  -h, --help            print this text\n";

result<member_record> self_record(const settings& s) {
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

bool set_levels(const std::string& category, const std::string& level) {
  const log_level parsed = log_level_from(level);
  const log_category which = log_category_from(category);
  if (parsed == log_level::end)
    return false;
  if (which == log_category::end && category != "all")
    return false;
  set_log_level(which, parsed);
  return true;
}

admin_hooks make_hooks(control_runner* control, traffic_runner* traffic) {
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
  hooks.set_log_level = set_levels;
  return hooks;
}

/** Hands the targets over, finishes what runs, and keeps answering repeated
 * questions for a while. */
void drain(control_runner* control, traffic_runner* traffic) {
  log(log_category::admin, log_level::info, "stopping");
  control->leave();
  traffic->stop_taking_work();
  while (!traffic->may_end())
    std::this_thread::sleep_for(poll_interval);
}

result<void> run(const settings& s) {
  auto context = make_codec_context(s.text(setting::instance_cluster),
                                    s.text(setting::instance_key));
  if (!context)
    return boost::outcome_v2::failure(context.error());
  auto self = self_record(s);
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
                     make_hooks(&control, &traffic));
  auto started = traffic.start();
  if (started)
    started = control.start();
  if (started)
    started = admin.start();
  if (!started)
    return started;
  log(log_category::admin, log_level::info, "started");
  while (stop_requested == 0 && !control.told_to_leave())
    std::this_thread::sleep_for(poll_interval);
  drain(&control, &traffic);
  admin.stop();
  control.stop();
  traffic.stop();
  log(log_category::admin, log_level::info, "stopped");
  return boost::outcome_v2::success();
}

int report(const error& e) {
  fmt::print(stderr, "turmericd: {}\n", to_text(e));
  return static_cast<int>(e.code);
}

int main_of(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"help-settings", no_argument, nullptr, 'S'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  const char* named = std::getenv(settings_variable);
  std::string path = named == nullptr ? "" : named;
  for (int c = 0;
       (c = getopt_long(argc, argv, "s:Sh", options, nullptr)) != -1;) {
    switch (c) {
      case 's':
        path = optarg;
        break;
      case 'S':
        fmt::print("{}", settings_help());
        return 0;
      case 'h':
        fmt::print("{}", usage_text);
        return 0;
      default:
        fmt::print(stderr, "{}", usage_text);
        return static_cast<int>(result_code::usage);
    }
  }
  if (path.empty()) {
    fmt::print(stderr, "{}", usage_text);
    return static_cast<int>(result_code::usage);
  }
  auto read = read_settings(path);
  if (!read)
    return report(read.error());
  set_log_instance(read.value().text(setting::instance_name));
  set_levels("all", read.value().text(setting::log_level));
  std::signal(SIGPIPE, SIG_IGN);
  if (read.value().text(setting::instance_mode) == forwarding_mode) {
    auto ended = run_forwarder(read.value(), path,
                               [path] { return read_settings(path); });
    return ended ? 0 : report(ended.error());
  }
  std::signal(SIGTERM, request_stop);
  std::signal(SIGINT, request_stop);
  auto ended = run(read.value());
  return ended ? 0 : report(ended.error());
}

}  // namespace
}  // namespace turmeric

int main(int argc, char** argv) {
  return turmeric::main_of(argc, argv);
}
