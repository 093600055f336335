/** @file forwarder_cli.cpp The subcommands forwarder and metrics-page: state of
 * balancers in the forwarding mode. */
#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <thread>

#include "cli_base.h"
#include "turmeric/coordination/burn_func.h"
#include "turmeric/state/json_func.h"
#include "turmeric/state/metric_type.h"
#include "turmeric/state/service_type.h"

namespace turmeric::cli {
namespace {

constexpr int connect_timeout_s = 2;
constexpr int read_timeout_s = 5;
constexpr int http_ok = 200;
constexpr int default_window_s = 10;
constexpr int max_window_s = 3600;
/** The alarm is `page` from this rate, as for the 1 h window in burn.cpp. */
constexpr double page_alarm_burn_rate = 14.4;

/** @param balancer The balancer's metrics address.
 * @return The body; `balancer_unreachable` without a reply of status 200. */
result<std::string> fetch_page(const endpoint& balancer,
                               const std::string& path) {
  const std::string address = to_text(balancer);
  httplib::Client client("http://" + address);
  client.set_connection_timeout(connect_timeout_s);
  client.set_read_timeout(read_timeout_s);
  const auto answer = client.Get(path.c_str());
  if (!answer || answer->status != http_ok) {
    return fail(result_code::balancer_unreachable,
                fmt::format("{} did not return {} with status 200; is it the "
                            "address of forwarding.metrics?",
                            address, path));
  }
  return answer->body;
}

result<Json::Value> fetch_json(const endpoint& balancer,
                               const std::string& path) {
  auto page = fetch_page(balancer, path);
  if (!page)
    return boost::outcome_v2::failure(page.error());
  Json::Value v;
  if (!json_parse(page.value(), &v)) {
    return fail(result_code::balancer_unreachable,
                to_text(balancer) + " returned a page that is not JSON");
  }
  return v;
}

void print_status(const Json::Value& v) {
  fmt::print(
      "{} in {}: {}, release {}, up {:.0f} s, {} peers, {} targets, {} "
      "flows\n"
      "  routing version {}, table {} ms old; revisions: targets {}, routing "
      "{}, withdrawals {}\n",
      v["name"].asString(), v["zone"].asString(),
      v["ready"].asBool()      ? "ready"
      : v["stopping"].asBool() ? "stopping"
                               : "not ready",
      v.get("release", 1).asUInt(), v["uptime_s"].asDouble(),
      v["peers"].asUInt(), v["targets"].asUInt(), v["flows"].asUInt(),
      v["routing_version"].asUInt64(), v["table_age_ms"].asInt64(),
      v["revisions"]["targets"].asUInt64(),
      v["revisions"]["routing"].asUInt64(),
      v["revisions"]["withdrawals"].asUInt64());
  for (const auto& zone : v["silent_zones"])
    fmt::print("  no heartbeat from any balancer of {}\n", zone.asString());
}

void print_targets(const Json::Value& v) {
  fmt::print("{:<16}{:<14}{:<14}{:<22}{:<8}{:>8}{:>9}{:>9}{:>9}\n", "target",
             "zone", "service", "address", "open", "in hand", "failures",
             "reported", "cold ms");
  for (const auto& t : v) {
    fmt::print("{:<16}{:<14}{:<14}{:<22}{:<8}{:>8}{:>9}{:>9}{:>9}\n",
               t["name"].asString(), t["zone"].asString(),
               t["service"].asString(), t["address"].asString(),
               t["open"].asBool()       ? "yes"
               : t["draining"].asBool() ? "drains"
                                        : "no",
               t["in_hand"].asUInt(), t["failures"].asUInt(),
               t["reported"].asUInt(), t["cold_left_ms"].asInt64());
  }
}

void print_flows(const Json::Value& v) {
  for (const auto& f : v) {
    fmt::print("{} -> {} at {}: {}, idle for {} ms\n", f["caller"].asString(),
               f["route"].asString(), f["target"].asString(),
               f["ended"].asBool()      ? "ended"
               : f["answered"].asBool() ? "open"
                                        : "not answered yet",
               f["quiet_ms"].asInt64());
  }
}

/** @return Openings of all balancers since their starts, by outcome; an
 * unanswered opening counts as unknown. */
result<service_counts> read_counts(const std::vector<endpoint>& balancers) {
  service_counts sum;
  for (const auto& balancer : balancers) {
    auto status = fetch_json(balancer, "/status");
    if (!status)
      return boost::outcome_v2::failure(status.error());
    const Json::Value& v = status.value()["counts"];
    service_counts balancer_counts;
    balancer_counts.answered = balancer_counts.interactive =
        v["answered"].asUInt64();
    balancer_counts.refused = v["refused"].asUInt64();
    balancer_counts.unknown = v["unanswered"].asUInt64();
    balancer_counts.in_time = balancer_counts.answered - v["slow"].asUInt64();
    add(&sum, balancer_counts);
  }
  return sum;
}

service_counts difference(const service_counts& a, const service_counts& b) {
  // A restarted balancer counts from 0, so the later sum may be lower; the
  // difference is then 0.
  const auto saturating_difference = [](uint64_t x, uint64_t y) {
    return x > y ? x - y : 0;
  };
  service_counts out;
  out.answered = saturating_difference(a.answered, b.answered);
  out.refused = saturating_difference(a.refused, b.refused);
  out.unknown = saturating_difference(a.unknown, b.unknown);
  out.in_time = saturating_difference(a.in_time, b.in_time);
  out.interactive = saturating_difference(a.interactive, b.interactive);
  return out;
}

/** Prints burn rates against the default objective. */
void print_burn(const char* window, const service_counts& counts) {
  const service_objective objective;
  const burn_rates rates = rates_of(counts, objective);
  const auto alarm_name = [](double rate) {
    return rate >= page_alarm_burn_rate ? "page" : rate > 1 ? "ticket" : "none";
  };
  fmt::print("{:<12}{:>10}{:>10}{:>12}{:>8}{:>14.2f}{:>9.2f}  {}\n", window,
             counts.answered, counts.refused, counts.unknown,
             counts.interactive - counts.in_time, rates.availability,
             rates.latency,
             alarm_name(std::max(rates.availability, rates.latency)));
}

/** Prints the burn rates of all balancers together, since their starts and over
 * a window that begins now. Waits for the window to end. */
result<void> run_burn(const cli_options& options) {
  int seconds = default_window_s;
  if (options.arguments.size() > 1) {
    const std::string& text = options.arguments[1];
    const auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (code != std::errc() || end != text.data() + text.size() ||
        seconds < 1 || seconds > max_window_s) {
      return fail(result_code::usage,
                  fmt::format("expected: forwarder burn [SECONDS], 1 to {}",
                              max_window_s));
    }
  }
  auto before = read_counts(options.balancers);
  if (!before)
    return boost::outcome_v2::failure(before.error());
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  auto after = read_counts(options.balancers);
  if (!after)
    return boost::outcome_v2::failure(after.error());
  fmt::print("{:<12}{:>10}{:>10}{:>12}{:>8}{:>14}{:>9}  {}\n", "window",
             "answered", "refused", "unanswered", "slow", "availability",
             "latency", "alarm");
  print_burn("since start", after.value());
  print_burn(fmt::format("last {} s", seconds).c_str(),
             difference(after.value(), before.value()));
  return boost::outcome_v2::success();
}

/** What one balancer answers about its release. */
struct release_row {
  std::string name;
  std::string zone;
  uint32_t release = 1;  ///< The first one does not answer it.
  bool ready = false;
  uint64_t routing_version = 0;
  bool reachable = false;
};

release_row release_of(const endpoint& balancer) {
  release_row row;
  row.name = to_text(balancer);
  const auto status = fetch_json(balancer, "/status");
  if (!status)
    return row;
  const Json::Value& v = status.value();
  row.reachable = true;
  row.name = v["name"].asString();
  row.zone = v["zone"].asString();
  row.ready = v["ready"].asBool();
  row.release = v.get("release", 1).asUInt();
  row.routing_version = v["routing_version"].asUInt64();
  return row;
}

/** @return What speaks against replacing one more of the balancers. */
std::vector<std::string> replacement_risks(
    const std::vector<release_row>& rows) {
  std::vector<std::string> risks;
  std::set<uint32_t> releases;
  std::set<uint64_t> routing_versions;
  std::map<std::string, std::pair<size_t, size_t>> zones;  // Ready, all.
  for (const auto& row : rows) {
    if (!row.reachable) {
      risks.push_back(row.name + " does not answer");
      continue;
    }
    releases.insert(row.release);
    routing_versions.insert(row.routing_version);
    zones[row.zone].first += row.ready ? 1 : 0;
    ++zones[row.zone].second;
  }
  for (const auto& [zone, counts] : zones) {
    const size_t left = counts.first - std::min<size_t>(counts.first, 1);
    // Routers use all balancers of a zone once less than half are ready.
    if (2 * left < counts.second)
      risks.push_back(fmt::format("{} of {} balancers of {} would be ready",
                                  left, counts.second, zone));
  }
  if (routing_versions.size() > 1)
    risks.emplace_back("balancers have different configurations in force");
  if (!releases.empty() && *releases.rbegin() > *releases.begin() + 1)
    risks.emplace_back("releases that are not neighbours run together");
  return risks;
}

/** Prints the releases over the balancers, how far an upgrade is, and what
 * speaks against replacing the next one.
 * @return `upgrade_unsafe` if something does. */
result<void> run_releases(const cli_options& options) {
  std::vector<release_row> rows;
  uint32_t newest = 0;
  fmt::print("{:<24}{:<14}{:>8}{:>8}{:>10}\n", "balancer", "zone", "release",
             "ready", "routing");
  for (const auto& balancer : options.balancers) {
    rows.push_back(release_of(balancer));
    const release_row& row = rows.back();
    if (!row.reachable) {
      fmt::print("{:<24}unreachable\n", row.name);
      continue;
    }
    newest = std::max(newest, row.release);
    fmt::print("{:<24}{:<14}{:>8}{:>8}{:>10}\n", row.name, row.zone,
               row.release, row.ready ? "yes" : "no", row.routing_version);
  }
  const auto upgraded =
      std::count_if(rows.begin(), rows.end(), [newest](const auto& row) {
        return row.reachable && row.release == newest;
      });
  fmt::print("{} of {} balancers run release {}\n", upgraded, rows.size(),
             newest);
  const auto risks = replacement_risks(rows);
  for (const auto& risk : risks)
    fmt::print("not safe to replace another one: {}\n", risk);
  if (!risks.empty())
    return fail(result_code::upgrade_unsafe, risks.front());
  return boost::outcome_v2::success();
}

/** A page that `forwarder` shows. */
struct page_row {
  std::string_view name;
  std::string_view path;  ///< Needs an argument if it ends in '/'.
  std::function<void(const Json::Value&)> print;
};

const std::vector<page_row>& pages() {
  static const std::vector<page_row> all = {
      {"status", "/status", print_status},
      {"targets", "/targets", print_targets},
      {"flows", "/flows/", print_flows},
  };
  return all;
}

}  // namespace

result<void> run_forwarder_pages(const cli_options& options) {
  const std::string wanted =
      options.arguments.empty() ? "" : options.arguments[0];
  if (wanted == "burn")
    return run_burn(options);
  if (wanted == "releases")
    return run_releases(options);
  for (const auto& page : pages()) {
    if (page.name != wanted)
      continue;
    std::string path(page.path);
    if (path.back() == '/') {
      if (options.arguments.size() != 2) {
        return fail(result_code::usage,
                    "expected: forwarder flows IP:PORT; port 0 means all");
      }
      path += options.arguments[1];
    }
    for (const auto& balancer : options.balancers) {
      auto answer = fetch_json(balancer, path);
      if (!answer)
        return boost::outcome_v2::failure(answer.error());
      if (options.json)
        fmt::print("{}\n", json_text(answer.value()));
      else
        page.print(answer.value());
    }
    return boost::outcome_v2::success();
  }
  return fail(result_code::usage,
              "expected: forwarder status, targets, burn, releases or flows "
              "IP:PORT");
}

result<void> run_metrics_page(const cli_options&) {
  fmt::print("{}", metrics_page());
  return boost::outcome_v2::success();
}

}  // namespace turmeric::cli
