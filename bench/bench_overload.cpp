/** @file bench_overload.cpp Load above the capacity of the targets, in the
 * emulator.
 *
 * Prints a Markdown table and a last line of JSON. `--case NAME` measures only
 * that case: even, uneven or greedy.
 */
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "emu_world.h"

namespace turmeric::tests {
namespace {

/** As shares of the capacity of the targets' slots. */
constexpr double loads[] = {0.5, 1.0, 1.2, 2.0, 5.0, 10.0};
constexpr time_us request_time = 12 * us_per_s;
/** Above this rate, runs take a third of that time: at 10 times the load of 150
 * targets a run of 12 s takes some minutes. */
constexpr double max_long_run_rate = 50000;
/** Longer than the deadline of a request. */
constexpr time_us drain_time = 3 * us_per_s;
constexpr uint64_t seed = 7;
constexpr unsigned max_threads = 3;
constexpr double greedy_share = 1.0 / 3.0;
constexpr size_t other_callers = 30;
/** Above it, the attempts of the greedy caller need more ports than it has. */
constexpr double max_greedy_rate = 10000;
/** Per request a second: a request and its three flows, for longer than the
 * deadline. */
constexpr double history_factor = 12;

struct overload_case {
  std::string name;
  size_t balancers;
  size_t targets;
  double load;
};

emu_shape shape_of(const overload_case& c) {
  emu_shape shape;
  shape.balancers = c.balancers;
  shape.services = {{"notes", c.targets}};
  if (c.name == "uneven") {
    shape.services[0].speeds = {0.7, 0.7, 1.7};
    const size_t few = c.targets / 6;
    const size_t some = c.targets / 3;
    shape.services[0].zone_targets = {some, c.targets - some - few, few};
  }
  const time_us objective = 400 * us_per_ms;
  const time_us deadline = 2500 * us_per_ms;
  shape.request_classes = {
      {"entry", "notes", false, 2.0, 20 * us_per_ms, objective, deadline, 1},
      {"card", "notes", true, 7.0, 15 * us_per_ms, objective, deadline, 2}};
  // A target in production resets openings beyond its slots and its queue.
  shape.max_held_flows = shape.slots + shape.queue_capacity;
  if (c.name == "greedy") {
    shape.greedy_share = greedy_share;
    shape.callers = other_callers;
  }
  return shape;
}

/** @return The speeds of all slots. */
std::vector<double> slots_of(const emu_shape& shape) {
  const emu_service& service = shape.services[0];
  std::vector<double> slots;
  for (size_t i = 0; i < service.targets; ++i) {
    const double speed = service.speeds.empty()
                             ? 1.0
                             : service.speeds[i % service.speeds.size()];
    slots.insert(slots.end(), shape.slots, speed);
  }
  return slots;
}

emu_options options_for(const overload_case& c, bool overload_control) {
  emu_options options;
  options.seed = seed;
  options.drain_time = drain_time;
  options.overload_control = overload_control;
  options.shape = shape_of(c);
  emu_shape& shape = options.shape;
  double work_s = 0;
  double weights = 0;
  for (const auto& kind : shape.request_classes) {
    work_s += kind.weight * static_cast<double>(kind.mean_work) / us_per_s;
    weights += kind.weight;
  }
  const std::vector<double> slots = slots_of(shape);
  const double capacity = std::accumulate(slots.begin(), slots.end(), 0.0);
  shape.requests_per_s = c.load * capacity / (work_s / weights);
  const bool is_long = shape.requests_per_s <= max_long_run_rate;
  options.duration = request_time / (is_long ? 1 : 3) + drain_time;
  shape.flow_history =
      std::max(shape.flow_history,
               static_cast<size_t>(history_factor * shape.requests_per_s));
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

double share(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

struct measurement {
  overload_case measured;
  std::string policy;
  uint64_t requests = 0;
  double in_time = 0;
  double first_in_time = 0;
  double first_p99_ms = 0;
  uint64_t refused = 0;
  double refusal_p99_ms = 0;
  double rejected = 0;  ///< By targets, as a share of the attempts.
  /** Of the requests served in time; below 0 without a greedy caller. */
  double greedy = -1;
};

measurement measurement_of(const overload_case& c,
                           const std::string& policy,
                           const emu_report& report) {
  measurement out{c, policy};
  uint64_t in_time = 0;
  for (const auto& outcome : report.outcomes) {
    out.requests += outcome.requests;
    in_time += outcome.in_time;
  }
  out.in_time = share(in_time, out.requests);
  const emu_outcome& first = report.outcomes[0];
  out.first_in_time = share(first.in_time, first.requests);
  out.first_p99_ms =
      static_cast<double>(quantile(first.latencies, 0.99)) / us_per_ms;
  out.refused = report.refusal_times.size();
  out.refusal_p99_ms =
      static_cast<double>(quantile(report.refusal_times, 0.99)) / us_per_ms;
  out.rejected = share(report.rejected_requests + report.rejected_openings,
                       report.attempts);
  if (!report.callers.empty())
    out.greedy = share(report.callers[0].in_time, in_time);
  return out;
}

/** One queue in front of all slots: first priority first, then in the order of
 * arrival, to the fastest idle slot. A request that could not be in time is not
 * started.
 * @param knows_work Whether the queue knows how long each request's work takes,
 * so that short work has the better chance to be in time. Otherwise it expects
 * the longest, and what it serves is the capacity of the slots. */
emu_report run_central_queue(const emu_options& options, bool knows_work) {
  struct waiting_request {
    time_us issued;
    time_us work;
    bool greedy;
  };
  const emu_shape& shape = options.shape;
  std::mt19937_64 random(options.seed);
  const auto draw = [&] {
    return static_cast<double>(random() >> 11) * 0x1p-53;
  };
  // The opening and the request each go from the caller by a balancer to a
  // target of the same zone; the answers to both return directly.
  const time_us network = 4 * shape.caller_latency + 2 * shape.zone_latency;
  emu_report report;
  report.outcomes.resize(shape.request_classes.size());
  if (shape.greedy_share > 0)
    report.callers.resize(1);
  std::priority_queue<double> idle;  // Speeds.
  for (const double speed : slots_of(shape))
    idle.push(speed);
  using slot_end = std::pair<time_us, double>;
  std::priority_queue<slot_end, std::vector<slot_end>, std::greater<>> busy;
  std::vector<std::deque<waiting_request>> queues(shape.request_classes.size());
  const auto start_waiting = [&](time_us now) {
    for (size_t i = 0; i < queues.size(); ++i) {
      while (!queues[i].empty() && !idle.empty()) {
        const waiting_request r = queues[i].front();
        queues[i].pop_front();
        const double speed = idle.top();
        const emu_request_class& kind = shape.request_classes[i];
        const auto end_after = [&](time_us work) {
          return now + static_cast<time_us>(static_cast<double>(work) / speed);
        };
        const time_us expected =
            end_after(knows_work ? r.work : kind.mean_work * 3 / 2);
        if (expected - r.issued + network > kind.latency_objective)
          continue;
        const time_us end = end_after(r.work);
        const time_us took = end - r.issued + network;
        idle.pop();
        busy.emplace(end, speed);
        ++report.outcomes[i].in_time;
        report.outcomes[i].latencies.push_back(took);
        if (r.greedy)
          ++report.callers[0].in_time;
      }
    }
  };
  const auto end_work_until = [&](time_us now) {
    while (!busy.empty() && busy.top().first <= now) {
      const slot_end ended = busy.top();
      busy.pop();
      idle.push(ended.second);
      start_waiting(ended.first);
    }
  };
  double weights = 0;
  for (const auto& kind : shape.request_classes)
    weights += kind.weight;
  double now = 0;
  const time_us last = options.duration - options.drain_time;
  while (now < static_cast<double>(last)) {
    const auto at = static_cast<time_us>(now);
    end_work_until(at);
    double point = draw() * weights;
    size_t i = 0;
    while (i + 1 < queues.size() && point >= shape.request_classes[i].weight)
      point -= shape.request_classes[i++].weight;
    const auto mean = static_cast<double>(shape.request_classes[i].mean_work);
    const auto work = static_cast<time_us>(mean * (0.5 + draw()));
    const bool greedy = shape.greedy_share > 0 && draw() < shape.greedy_share;
    queues[i].push_back({at, work, greedy});
    ++report.outcomes[i].requests;
    start_waiting(at);
    now += 2 * draw() * us_per_s / shape.requests_per_s;
  }
  end_work_until(INT64_MAX);
  return report;
}

std::vector<overload_case> cases_named(const std::string& only) {
  std::vector<overload_case> out;
  for (const std::string name : {"even", "uneven", "greedy"}) {
    if (!only.empty() && name != only)
      continue;
    for (const auto& [balancers, targets] :
         {std::pair<size_t, size_t>{6, 18}, {80, 150}}) {
      for (const double load : loads) {
        const overload_case c{name, balancers, targets, load};
        const double rate = options_for(c, false).shape.requests_per_s;
        if (name != "greedy" || greedy_share * rate <= max_greedy_rate)
          out.push_back(c);
      }
    }
  }
  return out;
}

std::vector<measurement> measure_all(const std::string& only) {
  std::vector<std::function<measurement()>> jobs;
  for (const auto& c : cases_named(only)) {
    for (const bool on : {false, true}) {
      jobs.emplace_back([c, on] {
        emu_world world(options_for(c, on));
        return measurement_of(c, on ? "on" : "off", world.run());
      });
    }
    for (const bool knows_work : {true, false}) {
      jobs.emplace_back([c, knows_work] {
        return measurement_of(
            c, knows_work ? "bound" : "bound, work unknown",
            run_central_queue(options_for(c, false), knows_work));
      });
    }
  }
  std::vector<measurement> rows(jobs.size());
  std::atomic<size_t> next_job{0};
  std::vector<std::thread> threads;
  const unsigned cores = std::max(1u, std::thread::hardware_concurrency() / 2);
  for (unsigned i = 0; i < std::min(max_threads, cores); ++i) {
    threads.emplace_back([&] {
      // The last jobs are the longest and start first.
      for (size_t i = next_job++; i < jobs.size(); i = next_job++) {
        const size_t job = jobs.size() - 1 - i;
        rows[job] = jobs[job]();
      }
    });
  }
  for (auto& thread : threads)
    thread.join();
  return rows;
}

void print(const std::vector<measurement>& rows) {
  fmt::print(
      "| case | balancers | targets | load | policy | requests | in time | "
      "first priority in time | its p99 ms | refused | p99 ms to refusal | "
      "attempts rejected by targets | share of greedy caller |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
      "| --- |\n");
  for (const auto& r : rows) {
    const overload_case& c = r.measured;
    fmt::print(
        "| {} | {} | {} | {} | {} | {} | {:.3f} | {:.3f} | {:.0f} | {} | "
        "{:.1f} | {:.3f} | {} |\n",
        c.name, c.balancers, c.targets, c.load, r.policy, r.requests, r.in_time,
        r.first_in_time, r.first_p99_ms, r.refused, r.refusal_p99_ms,
        r.rejected, r.greedy < 0 ? "" : fmt::format("{:.3f}", r.greedy));
  }
  // Means over all cases and loads of the share of the bounds that is reached.
  // Rows come in fours: off, on, and the bounds.
  const auto mean_share = [&](size_t policy, size_t bound,
                              double measurement::*value) {
    double sum = 0;
    for (size_t i = 0; i + 3 < rows.size(); i += 4)
      sum += rows[i + policy].*value / (rows[i + bound].*value);
    return 4 * sum / static_cast<double>(rows.size());
  };
  const auto in_time = &measurement::in_time;
  const auto first = &measurement::first_in_time;
  fmt::print(
      "{{\"off\":{:.4f},\"on\":{:.4f},\"off_first_priority\":{:.4f},"
      "\"on_first_priority\":{:.4f},\"off_work_unknown\":{:.4f},"
      "\"on_work_unknown\":{:.4f}}}\n",
      mean_share(0, 2, in_time), mean_share(1, 2, in_time),
      mean_share(0, 2, first), mean_share(1, 2, first),
      mean_share(0, 3, in_time), mean_share(1, 3, in_time));
}

int run_benchmark(int argc, char** argv) {
  const bool one_case = argc == 3 && std::strcmp(argv[1], "--case") == 0;
  const std::string only = one_case ? argv[2] : "";
  const std::vector<overload_case> cases = cases_named(only);
  if ((argc != 1 && !one_case) || cases.empty()) {
    fmt::print(stderr, "Usage: bench_overload [--case even|uneven|greedy]\n");
    return 2;
  }
  print(measure_all(only));
  return 0;
}

}  // namespace
}  // namespace turmeric::tests

int main(int argc, char** argv) {
  return turmeric::tests::run_benchmark(argc, argv);
}
