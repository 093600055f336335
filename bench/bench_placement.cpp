/** @file bench_placement.cpp Placement policies in the emulator.
 *
 * Prints a Markdown table and a last line of JSON. `--svg FILE` also plots the
 * share of requests served in time over the load; `--policy NAME` measures only
 * that policy.
 */
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** As shares of the capacity of the targets' slots. */
constexpr double loads[] = {0.5, 0.7, 0.9, 1.2, 2.0};
constexpr time_us run_length = 12 * us_per_s;
constexpr uint64_t seed = 7;

using target_list = std::vector<const forwarding_target*>;
using active_flow_count = std::function<uint32_t(flow_token)>;

/** Without make_hook the emulator uses the placement of the product. */
struct placement_policy {
  std::string name;
  std::function<placement_hook(size_t balancer)> make_hook;
};

std::shared_ptr<std::mt19937_64> make_random(size_t balancer) {
  return std::make_shared<std::mt19937_64>(balancer + 1);
}

/** @return A target with the fewest active flows, at random among equals; null
 * without targets. */
const forwarding_target* least_loaded(const target_list& eligible,
                                      const active_flow_count& active_flows,
                                      std::mt19937_64* random) {
  const forwarding_target* best = nullptr;
  uint64_t ties = 0;
  for (const auto* target : eligible) {
    if (best != nullptr &&
        active_flows(target->token) > active_flows(best->token))
      continue;
    const bool lower = best == nullptr ||
                       active_flows(target->token) < active_flows(best->token);
    ties = lower ? 1 : ties + 1;
    if (ties == 1 || (*random)() % ties == 0)
      best = target;
  }
  return best;
}

/** Also stands for hashing, which gives each flow a random target too, so that
 * the loads are the same. */
placement_hook random_policy(size_t balancer) {
  return [random = make_random(balancer)](const target_list& eligible,
                                          const active_flow_count&) {
    return eligible[(*random)() % eligible.size()];
  };
}

placement_hook least_of_two(size_t balancer) {
  return
      [random = make_random(balancer)](const target_list& eligible,
                                       const active_flow_count& active_flows) {
        const auto* a = eligible[(*random)() % eligible.size()];
        const auto* b = eligible[(*random)() % eligible.size()];
        return active_flows(b->token) < active_flows(a->token) ? b : a;
      };
}

placement_hook least_of_all(size_t balancer) {
  return
      [random = make_random(balancer)](const target_list& eligible,
                                       const active_flow_count& active_flows) {
        return least_loaded(eligible, active_flows, random.get());
      };
}

/** Assigns each slot of a target to one balancer by a hash. A balancer takes
 * the least loaded target on which it has a slot if that target has no active
 * flow, else the least loaded of all. */
std::function<placement_hook(size_t)> slot_shares(size_t balancers) {
  return [balancers](size_t balancer) -> placement_hook {
    return [balancers, balancer, random = make_random(balancer)](
               const target_list& eligible,
               const active_flow_count& active_flows) {
      target_list own;
      for (const auto* target : eligible) {
        for (uint64_t slot = 0; slot < target->entry.slots; ++slot) {
          if (hash_pair(target->token, slot) % balancers == balancer)
            own.push_back(target);
        }
      }
      const auto* best =
          own.empty() ? nullptr : least_loaded(own, active_flows, random.get());
      return best != nullptr && active_flows(best->token) == 0
                 ? best
                 : least_loaded(eligible, active_flows, random.get());
    };
  };
}

std::vector<placement_policy> policies_for(size_t balancers) {
  return {{"random (as hashing)", random_policy},
          {"least of two, local", least_of_two},
          {"least of all, local", least_of_all},
          {"shares of slots", slot_shares(balancers)},
          {"product", nullptr}};
}

emu_options options_for(size_t balancers,
                        size_t targets,
                        double load,
                        const placement_policy& chosen) {
  emu_options options;
  options.seed = seed;
  options.duration = run_length;
  options.make_placement_hook = chosen.make_hook;
  emu_shape& shape = options.shape;
  shape.zones = 3;
  shape.balancers = balancers;
  shape.uneven_callers = true;
  shape.services = {{"notes", targets * 4 / 5}, {"archive", targets / 5}};
  const double slots =
      static_cast<double>(shape.services[0].targets) * shape.slots;
  // Of 9.6 requests on average, nine are for notes: seven cards of 15 ms and
  // two entries of 20 ms.
  constexpr double notes_share = 9.0 / 9.6;
  constexpr double mean_work_s = (7 * 0.015 + 2 * 0.020) / 9;
  shape.requests_per_s = load * slots / mean_work_s / notes_share;
  return options;
}

time_us quantile(std::vector<time_us> values, double q) {
  if (values.empty())
    return 0;
  const auto at =
      static_cast<size_t>(q * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<long>(at),
                   values.end());
  return values[at];
}

struct measurement {
  std::string policy;
  size_t balancers = 0;
  size_t targets = 0;
  double load = 0;
  double in_time = 0;
  double answered = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double imbalance = 0;
  double messages_per_s = 0;
};

measurement measure(size_t balancers,
                    size_t targets,
                    double load,
                    const placement_policy& chosen) {
  emu_world world(options_for(balancers, targets, load, chosen));
  const emu_report report = world.run();
  measurement out{chosen.name, balancers, targets, load};
  uint64_t requests = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  for (const auto& c : report.outcomes) {
    requests += c.requests;
    in_time += c.in_time;
    late += c.late;
  }
  const auto request_count =
      static_cast<double>(std::max<uint64_t>(requests, 1));
  out.in_time = static_cast<double>(in_time) / request_count;
  out.answered = static_cast<double>(in_time + late) / request_count;
  const auto& card_latencies = report.outcomes[0].latencies;
  out.p50_ms = static_cast<double>(quantile(card_latencies, 0.5)) / us_per_ms;
  out.p99_ms = static_cast<double>(quantile(card_latencies, 0.99)) / us_per_ms;
  out.imbalance = report.imbalance;
  out.messages_per_s = static_cast<double>(report.peer_messages) /
                       (static_cast<double>(run_length) / us_per_s);
  return out;
}

/** Measures all policies at all loads on two sizes of installation, in half as
 * many threads as the hardware runs at once. */
std::vector<measurement> measure_all(const std::string& only_policy) {
  std::vector<std::function<measurement()>> jobs;
  for (const auto& [balancers, targets] :
       {std::pair<size_t, size_t>{6, 18}, {80, 150}}) {
    for (const double load : loads) {
      for (const auto& policy_option : policies_for(balancers)) {
        if (!only_policy.empty() && policy_option.name != only_policy)
          continue;
        jobs.emplace_back([b = balancers, t = targets, load, policy_option] {
          return measure(b, t, load, policy_option);
        });
      }
    }
  }
  std::vector<measurement> rows(jobs.size());
  std::atomic<size_t> next_job{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0;
       i < std::max(1u, std::thread::hardware_concurrency() / 2); ++i) {
    threads.emplace_back([&] {
      for (size_t job = next_job++; job < jobs.size(); job = next_job++)
        rows[job] = jobs[job]();
    });
  }
  for (auto& thread : threads)
    thread.join();
  return rows;
}

void print(const std::vector<measurement>& rows) {
  fmt::print(
      "| balancers | targets | load | policy | in time | answered | cards p50 "
      "ms | p99 ms | imbalance | messages/s |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const auto& r : rows) {
    fmt::print(
        "| {} | {} | {} | {} | {:.3f} | {:.3f} | {:.1f} | {:.1f} | {:.2f} | "
        "{:.0f} |\n",
        r.balancers, r.targets, r.load, r.policy, r.in_time, r.answered,
        r.p50_ms, r.p99_ms, r.imbalance, r.messages_per_s);
  }
  double product_sum = 0;
  double random_sum = 0;
  for (const auto& r : rows) {
    product_sum += r.policy == "product" ? r.in_time : 0;
    random_sum += r.policy.rfind("random", 0) == 0 ? r.in_time : 0;
  }
  // Each policy has ten rows: five loads on two installations.
  fmt::print(
      "{{\"mean_in_time_product\":{:.4f},\"mean_in_time_random\":{:.4f}}}"
      "\n",
      product_sum / 10, random_sum / 10);
}

constexpr int plot_width = 640;
constexpr int plot_height = 320;
constexpr int plot_margin = 50;

/** Plots one line per policy for the installation with @p balancers. */
void write_svg(const std::vector<measurement>& rows,
               size_t balancers,
               std::ostream* out) {
  constexpr const char* colours[] = {"#888888", "#3366cc", "#dc9912", "#109618",
                                     "#cc0033"};
  const double width = plot_width - 2 * plot_margin;
  const double height = plot_height - 2 * plot_margin;
  *out << fmt::format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='{}' height='{}' "
      "font-family='sans-serif' font-size='11'>\n<rect width='100%' "
      "height='100%' fill='white'/>\n<text x='{}' y='20'>Requests served in "
      "time over the load, {} balancers</text>\n",
      plot_width, plot_height, plot_margin, balancers);
  const auto x = [&](double load) { return plot_margin + load / 2.0 * width; };
  const auto y = [&](double share) {
    return plot_height - plot_margin - share * height;
  };
  for (const double share : {0.0, 0.5, 1.0}) {
    *out << fmt::format(
        "<line x1='{0}' x2='{1}' y1='{2}' y2='{2}' "
        "stroke='#dddddd'/><text x='20' y='{2}'>{3}</text>\n",
        plot_margin, plot_width - plot_margin, y(share), share);
  }
  for (const double load : loads)
    *out << fmt::format("<text x='{}' y='{}'>{}</text>\n", x(load),
                        plot_height - plot_margin + 15, load);
  size_t line_number = 0;
  for (const auto& policy_option : policies_for(balancers)) {
    std::string points;
    for (const auto& r : rows) {
      if (r.policy == policy_option.name && r.balancers == balancers)
        points += fmt::format("{:.0f},{:.1f} ", x(r.load), y(r.in_time));
    }
    *out << fmt::format(
        "<polyline points='{}' fill='none' stroke='{}' stroke-width='2'/>"
        "<text x='{}' y='{}' fill='{}'>{}</text>\n",
        points, colours[line_number], plot_margin + 10,
        plot_height - plot_margin - 70 + 14 * static_cast<int>(line_number),
        colours[line_number], policy_option.name);
    ++line_number;
  }
  *out << "</svg>\n";
}

int run_benchmark(int argc, char** argv) {
  const bool single_policy = argc == 3 && std::strcmp(argv[1], "--policy") == 0;
  const std::vector<measurement> rows =
      measure_all(single_policy ? argv[2] : "");
  print(rows);
  if (argc == 3 && std::strcmp(argv[1], "--svg") == 0) {
    std::ofstream file(argv[2]);
    write_svg(rows, rows.front().balancers, &file);
    if (!file) {
      fmt::print(stderr, "bench_placement: cannot write {}\n", argv[2]);
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::run_benchmark(argc, argv);
}
