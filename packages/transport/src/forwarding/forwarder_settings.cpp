/** @file forwarder_settings.cpp Reads and checks the settings of the forwarding
 * mode. */
#include "forwarder_settings.h"

#include <fmt/format.h>
#include <sys/stat.h>

#include <array>
#include <sstream>

#include "turmeric/state/log_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"

namespace turmeric {

result<forwarder_addresses> addresses_of(const settings& s) {
  forwarder_addresses out;
  const std::array<std::pair<setting, endpoint*>, 4> required = {{
      {setting::forwarding_packets, &out.packets},
      {setting::forwarding_ready, &out.ready},
      {setting::forwarding_peers, &out.peers},
      {setting::forwarding_registry, &out.registry},
  }};
  for (const auto& [id, address] : required) {
    auto parsed = parse_endpoint(s.text(id));
    if (!parsed) {
      const auto& row = setting_table()[static_cast<size_t>(id)];
      return fail(result_code::setting_out_of_range,
                  fmt::format("{}.{} is '{}', expected IP:PORT", row.section,
                              row.name, s.text(id)));
    }
    *address = parsed.value();
  }
  return out;
}

std::vector<endpoint> seeds_of(const settings& s, uint16_t port) {
  std::vector<endpoint> out;
  std::istringstream list(s.text(setting::forwarding_seeds));
  std::string item;
  while (std::getline(list, item, ',')) {
    if (item.find(':') == std::string::npos)
      item += ":1";
    auto parsed = parse_endpoint(item);
    if (parsed) {
      out.push_back({parsed.value().ip, port});
    } else {
      log(log_category::control, log_level::warning,
          "seed ignored: not an address", {{"seed", item}});
    }
  }
  return out;
}

directory_options directory_options_of(const settings& s,
                                       const forwarder_addresses& addresses) {
  directory_options o;
  o.peers.name = s.text(setting::instance_name);
  o.peers.zone = s.text(setting::instance_zone);
  o.peers.address = addresses.peers;
  o.seeds = seeds_of(s, addresses.peers.port);
  o.incarnation = static_cast<uint64_t>(wall_now());
  o.first_start = s.text(setting::forwarding_first_start) == "true";
  o.calm_time = s.number(setting::forwarding_calm_time) * us_per_ms;
  o.removed_retention =
      static_cast<time_us>(s.decimal(setting::forwarding_max_flow) * us_per_s);
  return o;
}

forwarding_options forwarding_options_of(const settings& s) {
  forwarding_options o;
  o.log_one_in = static_cast<uint64_t>(s.number(setting::log_one_in));
  o.placing.zone = s.text(setting::instance_zone);
  o.placing.cold_overage = s.decimal(setting::forwarding_cold_overage);
  o.placing.cold_slack = s.decimal(setting::forwarding_cold_slack);
  o.detect_full_targets = s.flag(setting::overload_full_targets);
  o.placing.learn_weights = s.flag(setting::overload_target_weights);
  o.admission.enabled = s.flag(setting::overload_admission);
  o.admission.max_wait = s.duration(setting::overload_max_wait);
  o.admission.fair_shares = s.flag(setting::overload_caller_shares);
  return o;
}

int64_t modification_stamp(const std::string& path) {
  struct stat info {};
  if (stat(path.c_str(), &info) != 0)
    return 0;
  return info.st_mtim.tv_sec * us_per_s + info.st_mtim.tv_nsec;
}

}  // namespace turmeric
