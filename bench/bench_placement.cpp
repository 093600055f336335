/** @file bench_placement.cpp Placement policies on the emulated installation.
 *
 * Prints a Markdown table, and as the last line JSON. With `--svg FILE` it also
 * draws the share of requests served in time over the load; with `--policy
 * NAME` it measures that one only.
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

/** Loads, as shares of what the targets' slots can do. */
constexpr double loads[] = {0.5, 0.7, 0.9, 1.2, 2.0};
constexpr time_us run_length = 12 * us_per_s;
constexpr uint64_t seed = 7;

using candidates = std::vector<const forwarding_target*>;
using load_of = std::function<uint32_t(flow_token)>;

struct policy {
  std::string name;
  std::function<placement_hook(size_t balancer)> make;
};

std::shared_ptr<std::mt19937_64> engine(size_t balancer) {
  return std::make_shared<std::mt19937_64>(balancer + 1);
}

const forwarding_target* least(const candidates& open,
                               const load_of& in_hand,
                               std::mt19937_64* random) {
  const forwarding_target* best = nullptr;
  uint64_t ties = 0;
  for (const auto* t : open) {
    if (best != nullptr && in_hand(t->token) > in_hand(best->token))
      continue;
    const bool lower =
        best == nullptr || in_hand(t->token) < in_hand(best->token);
    ties = lower ? 1 : ties + 1;
    if (ties == 1 || (*random)() % ties == 0)
      best = t;
  }
  return best;
}

/** Hashing gives each flow a random target too; loads are the same. */
placement_hook random_policy(size_t balancer) {
  return [random = engine(balancer)](const candidates& open, const load_of&) {
    return open[(*random)() % open.size()];
  };
}

placement_hook least_of_two(size_t balancer) {
  return [random = engine(balancer)](const candidates& open,
                                     const load_of& in_hand) {
    const auto* a = open[(*random)() % open.size()];
    const auto* b = open[(*random)() % open.size()];
    return in_hand(b->token) < in_hand(a->token) ? b : a;
  };
}

placement_hook least_of_all(size_t balancer) {
  return [random = engine(balancer)](const candidates& open,
                                     const load_of& in_hand) {
    return least(open, in_hand, random.get());
  };
}

/** Each target's slots belong to a few balancers, which use them alone while
 * they have room there. */
std::function<placement_hook(size_t)> shares_of(size_t balancers) {
  return [balancers](size_t balancer) -> placement_hook {
    return [balancers, balancer, random = engine(balancer)](
               const candidates& open, const load_of& in_hand) {
      candidates own;
      for (const auto* t : open) {
        for (uint64_t slot = 0; slot < t->entry.slots; ++slot) {
          if (hash_pair(t->token, slot) % balancers == balancer)
            own.push_back(t);
        }
      }
      const auto* best =
          own.empty() ? nullptr : least(own, in_hand, random.get());
      return best != nullptr && in_hand(best->token) == 0
                 ? best
                 : least(open, in_hand, random.get());
    };
  };
}

std::vector<policy> policies_for(size_t balancers) {
  return {{"random (as hashing)", random_policy},
          {"least of two, local", least_of_two},
          {"least of all, local", least_of_all},
          {"shares of slots", shares_of(balancers)},
          {"product", nullptr}};
}

emu_options options_for(size_t balancers,
                        size_t targets,
                        double load,
                        const policy& chosen) {
  emu_options options;
  options.seed = seed;
  options.duration = run_length;
  options.make_placement_hook = chosen.make;
  emu_shape& shape = options.shape;
  shape.zones = 3;
  shape.balancers = balancers;
  shape.uneven_callers = true;
  shape.services = {{"notes", targets * 4 / 5}, {"archive", targets / 5}};
  const double slots =
      static_cast<double>(shape.services[0].targets) * shape.slots;
  // Seven cards of 15 ms and two entries of 20 ms of 9.6 requests.
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

struct row {
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

row measure(size_t balancers,
            size_t targets,
            double load,
            const policy& chosen) {
  emu_world world(options_for(balancers, targets, load, chosen));
  const emu_report report = world.run();
  row out{chosen.name, balancers, targets, load};
  uint64_t asked = 0;
  uint64_t in_time = 0;
  uint64_t late = 0;
  for (const auto& c : report.outcomes) {
    asked += c.requests;
    in_time += c.in_time;
    late += c.late;
  }
  const auto all = static_cast<double>(std::max<uint64_t>(asked, 1));
  out.in_time = static_cast<double>(in_time) / all;
  out.answered = static_cast<double>(in_time + late) / all;
  const auto& cards = report.outcomes[0].latencies;
  out.p50_ms = static_cast<double>(quantile(cards, 0.5)) / us_per_ms;
  out.p99_ms = static_cast<double>(quantile(cards, 0.99)) / us_per_ms;
  out.imbalance = report.imbalance;
  out.messages_per_s = static_cast<double>(report.peer_messages) /
                       (static_cast<double>(run_length) / us_per_s);
  return out;
}

/** Measures all rows, a few at a time. */
std::vector<row> measure_all(const std::string& only) {
  std::vector<std::function<row()>> jobs;
  for (const auto& [balancers, targets] :
       {std::pair<size_t, size_t>{6, 18}, {80, 150}}) {
    for (const double load : loads) {
      for (const auto& p : policies_for(balancers)) {
        if (!only.empty() && p.name != only)
          continue;
        jobs.emplace_back([b = balancers, t = targets, load, p] {
          return measure(b, t, load, p);
        });
      }
    }
  }
  std::vector<row> rows(jobs.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> threads;
  for (unsigned i = 0;
       i < std::max(1u, std::thread::hardware_concurrency() / 2); ++i) {
    threads.emplace_back([&] {
      for (size_t job = next++; job < jobs.size(); job = next++)
        rows[job] = jobs[job]();
    });
  }
  for (auto& thread : threads)
    thread.join();
  return rows;
}

void print(const std::vector<row>& rows) {
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
  double product = 0;
  double random = 0;
  for (const auto& r : rows) {
    product += r.policy == "product" ? r.in_time : 0;
    random += r.policy.rfind("random", 0) == 0 ? r.in_time : 0;
  }
  fmt::print(
      "{{\"mean_in_time_product\":{:.4f},\"mean_in_time_random\":{:.4f}}}"
      "\n",
      product / 10, random / 10);
}

constexpr int plot_width = 640;
constexpr int plot_height = 320;
constexpr int plot_margin = 50;

/** Draws one line a policy for one size of installation. */
void draw(const std::vector<row>& rows, size_t balancers, std::ostream* out) {
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
  size_t line = 0;
  for (const auto& p : policies_for(balancers)) {
    std::string points;
    for (const auto& r : rows) {
      if (r.policy == p.name && r.balancers == balancers)
        points += fmt::format("{:.0f},{:.1f} ", x(r.load), y(r.in_time));
    }
    *out << fmt::format(
        "<polyline points='{}' fill='none' stroke='{}' stroke-width='2'/>"
        "<text x='{}' y='{}' fill='{}'>{}</text>\n",
        points, colours[line], plot_margin + 10,
        plot_height - plot_margin - 70 + 14 * static_cast<int>(line),
        colours[line], p.name);
    ++line;
  }
  *out << "</svg>\n";
}

int main_of(int argc, char** argv) {
  const bool one = argc == 3 && std::strcmp(argv[1], "--policy") == 0;
  const std::vector<row> rows = measure_all(one ? argv[2] : "");
  print(rows);
  if (argc == 3 && std::strcmp(argv[1], "--svg") == 0) {
    std::ofstream file(argv[2]);
    draw(rows, rows.front().balancers, &file);
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
  return turmeric::tests::main_of(argc, argv);
}
