/** @file bench_control.cpp Cost of control for one node of a zone.
 *
 * Runs the control cores of a whole zone in virtual time, with real encoding
 * and signing of every message, and measures processor time, bytes and memory
 * of one node. Changes come at ten times the daily mean of the capacity page.
 */
#include <fmt/format.h>

#include <cstdlib>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "bench_common.h"
#include "platform_store.h"
#include "turmeric/coordination/control_core_base.h"
#include "turmeric/protocol/codec_func.h"

namespace turmeric::bench {
namespace {

constexpr time_us tick = 20 * us_per_ms;
constexpr time_us warm_up = 30 * us_per_s;
constexpr time_us quiet = 10 * us_per_s;
constexpr time_us measured = 20 * us_per_s;
constexpr time_us change_interval = 900 * us_per_ms;
constexpr uint32_t header_bytes = 28;  // IPv4 and UDP
constexpr double max_core_share = 0.018;
constexpr double max_bytes_per_s = 4096;

struct arrival {
  time_us at;
  uint64_t order;
  size_t from;
  size_t to;
  std::string data;
  bool operator<(const arrival& o) const {
    return at != o.at ? at > o.at : order > o.order;
  }
};

struct node_cost {
  double core_share = 0;
  double quiet_bytes_per_s = 0;  ///< Without changes.
  double bytes_per_s = 0;
  double memory = 0;
  double platform_calls_per_s = 0;
  double worst_force_s = 0;  ///< Longest way of a change into force.
};

class zone_of_cores {
 public:
  explicit zone_of_cores(size_t count)
      : context_(make_codec_context("bench", std::string(64, '1')).value()) {
    for (size_t i = 0; i < count; ++i) {
      control_options o;
      for (size_t s = 0; s < 5; ++s)
        o.members.seeds.push_back(address(s));
      member_record self;
      self.name = "balancer" + std::to_string(i);
      self.id = id_of<member_id>(self.name);
      self.zone = id_of<zone_id>("zone0");
      self.incarnation = 1;
      self.gossip = address(i);
      self.peer = self.gossip;
      cores_.push_back(std::make_unique<control_core>(
          o, self, [this] { return random_(); }));
      in_force_.push_back(0);
    }
  }

  void run_until(time_us end, bool changes) {
    for (; now_ < end; now_ += tick) {
      if (changes && now_ >= next_change_)
        commit();
      deliver();
      for (size_t i = 0; i < cores_.size(); ++i)
        execute(i, cores_[i]->tick(now_));
    }
  }

  void reset_counters() {
    bytes_ = 0;
    calls_ = 0;
    worst_ = 0;
  }

  uint64_t bytes() const { return bytes_; }
  uint64_t calls() const { return calls_; }
  double worst_force_s() const {
    return static_cast<double>(worst_) / us_per_s;
  }

 private:
  static endpoint address(size_t i) {
    return {0x0a000000u + static_cast<uint32_t>(i), 3};
  }

  void commit() {
    next_change_ = now_ + change_interval;
    config_change c;
    c.number = ++committed_;
    const service_config s =
        make_service(static_cast<int>(c.number % 50), 15, 1);
    c.entries.push_back({"service/" + full_name(s), to_json(s), 0});
    platform_call call;
    call.op = platform_op::create;
    call.name = change_log_object_name(c.number);
    call.value = to_json(c);
    store_.execute(call, 100);
    accepted_at_.push_back(now_);
  }

  void deliver() {
    while (!queue_.empty() && queue_.top().at <= now_) {
      const arrival a = queue_.top();
      queue_.pop();
      const auto m = decode_gossip(context_, a.data.data(), a.data.size());
      if (m)
        execute(a.to, cores_[a.to]->receive(now_, address(a.from), m.value()));
    }
    // A watch that waits is answered as soon as there is something.
    for (auto& w : std::exchange(watches_, {})) {
      platform_reply reply = store_.execute(w.second, 100);
      reply.id = w.second.id;
      const bool due = now_ >= w.second.timeout;
      if (reply.objects.empty() && !due)
        watches_.push_back(w);
      else
        execute(w.first, cores_[w.first]->on_platform_reply(now_, reply));
    }
  }

  void execute(size_t node, std::vector<control_action> actions) {
    for (auto& action : actions) {
      if (auto* gossip = std::get_if<outgoing_gossip>(&action)) {
        const size_t to = gossip->to.ip - 0x0a000000u;
        std::string data = encode(context_, gossip->message);
        bytes_ += data.size() + header_bytes;
        queue_.push({now_ + us_per_ms, ++order_, node, to, std::move(data)});
      } else if (auto* call = std::get_if<platform_call>(&action)) {
        ++calls_;
        platform_call waiting = *call;
        waiting.timeout += now_;
        watches_.emplace_back(node, waiting);
      } else {
        came_into_force(
            node, std::get<publish_routes>(action).table->index->in_force);
      }
    }
  }

  void came_into_force(size_t node, revision r) {
    for (revision n = in_force_[node] + 1; n <= r; ++n)
      worst_ = std::max(worst_, now_ - accepted_at_[n - 1]);
    in_force_[node] = std::max(in_force_[node], r);
  }

  codec_context context_;
  std::mt19937_64 random_{1};
  std::vector<std::unique_ptr<control_core>> cores_;
  std::vector<revision> in_force_;
  std::priority_queue<arrival> queue_;
  std::vector<std::pair<size_t, platform_call>> watches_;
  tests::platform_store store_;
  std::vector<time_us> accepted_at_;
  time_us now_ = 0;
  time_us next_change_ = 0;
  time_us worst_ = 0;
  revision committed_ = 0;
  uint64_t order_ = 0;
  uint64_t bytes_ = 0;
  uint64_t calls_ = 0;
};

node_cost measure(size_t members) {
  const double before = allocated_bytes();
  zone_of_cores zone(members);
  zone.run_until(warm_up, false);
  zone.reset_counters();
  zone.run_until(warm_up + quiet, false);
  const auto quiet_bytes = static_cast<double>(zone.bytes());
  zone.reset_counters();
  const double started = thread_seconds();
  zone.run_until(warm_up + quiet + measured, true);
  const double seconds = thread_seconds() - started;
  const auto n = static_cast<double>(members);
  const double span = static_cast<double>(measured) / us_per_s;
  node_cost c;
  c.quiet_bytes_per_s =
      quiet_bytes / n / (static_cast<double>(quiet) / us_per_s);
  c.core_share = seconds / span / n;
  c.bytes_per_s = static_cast<double>(zone.bytes()) / span / n;
  c.memory = (allocated_bytes() - before) / n;
  c.platform_calls_per_s = static_cast<double>(zone.calls()) / span;
  c.worst_force_s = zone.worst_force_s();
  return c;
}

int run() {
  constexpr size_t sizes[] = {50, 200, 600};
  double x[3], core[3], bytes[3], memory[3];
  fmt::print("{:>8}{:>12}{:>12}{:>12}{:>14}{:>18}{:>16}\n", "members", "core %",
             "quiet B/s", "busy B/s", "memory KB", "platform calls/s",
             "worst force s");
  node_cost last;
  for (size_t i = 0; i < 3; ++i) {
    last = measure(sizes[i]);
    x[i] = static_cast<double>(sizes[i]);
    core[i] = last.core_share * 100;
    bytes[i] = last.bytes_per_s;
    memory[i] = last.memory / 1024;
    fmt::print("{:>8}{:>12.3f}{:>12.0f}{:>12.0f}{:>14.1f}{:>18.2f}{:>16.2f}\n",
               sizes[i], core[i], last.quiet_bytes_per_s, bytes[i], memory[i],
               last.platform_calls_per_s, last.worst_force_s);
  }
  const line_fit core_fit = fit(x, core, 3);
  const line_fit bytes_fit = fit(x, bytes, 3);
  const line_fit memory_fit = fit(x, memory, 3);
  fmt::print(
      "per member: core {:.6f} %, {:.3f} B/s, {:.3f} KB (worst error of "
      "the lines: {:.0f} %, {:.0f} %, {:.0f} %)\n",
      core_fit.slope, bytes_fit.slope, memory_fit.slope,
      core_fit.worst_error * 100, bytes_fit.worst_error * 100,
      memory_fit.worst_error * 100);
  fmt::print(
      "{{\"bench\":\"control\",\"members\":600,\"core_of_limit\":{:.3f},"
      "\"quiet_bytes_of_limit\":{:.3f},"
      "\"bytes_of_limit\":{:.3f},\"memory_kb\":{:.1f},"
      "\"worst_force_s\":{:.2f}}}\n",
      last.core_share / max_core_share,
      last.quiet_bytes_per_s / max_bytes_per_s,
      last.bytes_per_s / max_bytes_per_s, last.memory / 1024,
      last.worst_force_s);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
