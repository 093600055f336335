/** @file bench_control.cpp Cost of the control plane for one balancer.
 *
 * Runs the control cores of a whole zone in virtual time, encodes and signs
 * each message, and measures the CPU time, bytes sent and memory per balancer.
 * Configuration changes arrive at ten times the daily mean on the capacity
 * page.
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

constexpr time_us tick_interval = 20 * us_per_ms;
constexpr time_us warm_up = 30 * us_per_s;
constexpr time_us quiet_length = 10 * us_per_s;
constexpr time_us busy_length = 20 * us_per_s;
constexpr time_us change_interval = 900 * us_per_ms;
constexpr uint32_t ip_udp_header_bytes = 28;
/** Limits for one balancer: share of a CPU core, and bytes sent a second. */
constexpr double max_core_share = 0.018;
constexpr double max_bytes_per_s = 4096;

/** A gossip datagram in flight. operator< is reversed, so that
 * std::priority_queue yields the earliest arrival first. */
struct sent_datagram {
  time_us at;  ///< Time of arrival.
  uint64_t send_order;
  size_t sender;
  size_t recipient;
  std::string data;
  bool operator<(const sent_datagram& other) const {
    return at != other.at ? at > other.at : send_order > other.send_order;
  }
};

struct balancer_cost {
  double core_share = 0;         ///< CPU time over virtual time.
  double quiet_bytes_per_s = 0;  ///< Sent without configuration changes.
  double bytes_per_s = 0;        ///< Sent with changes.
  double memory_bytes = 0;
  double platform_calls_per_s = 0;  ///< Of the whole zone.
  double max_activation_s = 0;      ///< Longest time from commit to in force.
};

class simulated_zone {
 public:
  explicit simulated_zone(size_t balancer_count)
      : context_(make_codec_context("bench", std::string(64, '1')).value()) {
    for (size_t i = 0; i < balancer_count; ++i) {
      control_options options;
      for (size_t s = 0; s < 5; ++s)
        options.members.seeds.push_back(address(s));
      member_record self;
      self.name = "balancer" + std::to_string(i);
      self.id = id_of<member_id>(self.name);
      self.zone = id_of<zone_id>("zone0");
      self.incarnation = 1;
      self.gossip = address(i);
      self.peer = self.gossip;
      cores_.push_back(std::make_unique<control_core>(
          options, self, [this] { return random_(); }));
      in_force_.push_back(0);
    }
  }

  void run_until(time_us end, bool changes) {
    for (; now_ < end; now_ += tick_interval) {
      if (changes && now_ >= next_change_)
        commit_change();
      deliver_datagrams_and_replies();
      for (size_t i = 0; i < cores_.size(); ++i)
        perform_actions(i, cores_[i]->tick(now_));
    }
  }

  void reset_counters() {
    sent_bytes_ = 0;
    platform_calls_ = 0;
    max_activation_time_ = 0;
  }

  uint64_t bytes() const { return sent_bytes_; }
  uint64_t platform_calls() const { return platform_calls_; }
  double max_activation_s() const {
    return static_cast<double>(max_activation_time_) / us_per_s;
  }

 private:
  static endpoint address(size_t i) {
    return {0x0a000000u + static_cast<uint32_t>(i), 3};
  }

  void commit_change() {
    next_change_ = now_ + change_interval;
    config_change change;
    change.number = ++committed_;
    const service_config s =
        make_service(static_cast<int>(change.number % 50), 15, 1);
    change.entries.push_back({"service/" + full_name(s), to_json(s), 0});
    platform_call call;
    call.op = platform_op::create;
    call.name = change_log_object_name(change.number);
    call.value = to_json(change);
    store_.execute(call, 100);
    committed_at_.push_back(now_);
  }

  void deliver_datagrams_and_replies() {
    while (!queue_.empty() && queue_.top().at <= now_) {
      const sent_datagram datagram = queue_.top();
      queue_.pop();
      const auto decoded =
          decode_gossip(context_, datagram.data.data(), datagram.data.size());
      if (decoded)
        perform_actions(datagram.recipient,
                        cores_[datagram.recipient]->receive(
                            now_, address(datagram.sender), decoded.value()));
    }
    // A pending call is answered once it finds objects or its deadline passes.
    for (auto& pending : std::exchange(pending_calls_, {})) {
      platform_reply reply = store_.execute(pending.second, 100);
      reply.id = pending.second.id;
      const bool due = now_ >= pending.second.timeout;
      if (reply.objects.empty() && !due)
        pending_calls_.push_back(pending);
      else
        perform_actions(pending.first,
                        cores_[pending.first]->on_platform_reply(now_, reply));
    }
  }

  void perform_actions(size_t balancer, std::vector<control_action> actions) {
    for (auto& action : actions) {
      if (auto* gossip = std::get_if<outgoing_gossip>(&action)) {
        const size_t recipient = gossip->to.ip - 0x0a000000u;
        std::string data = encode(context_, gossip->message);
        sent_bytes_ += data.size() + ip_udp_header_bytes;
        queue_.push({now_ + us_per_ms, ++send_order_, balancer, recipient,
                     std::move(data)});
      } else if (auto* call = std::get_if<platform_call>(&action)) {
        ++platform_calls_;
        platform_call pending_call = *call;
        // From here on, `timeout` is the deadline in virtual time.
        pending_call.timeout += now_;
        pending_calls_.emplace_back(balancer, pending_call);
      } else {
        record_in_force(
            balancer, std::get<publish_routes>(action).table->index->in_force);
      }
    }
  }

  void record_in_force(size_t balancer, revision newest) {
    for (revision change_number = in_force_[balancer] + 1;
         change_number <= newest; ++change_number)
      max_activation_time_ = std::max(max_activation_time_,
                                      now_ - committed_at_[change_number - 1]);
    in_force_[balancer] = std::max(in_force_[balancer], newest);
  }

  codec_context context_;
  std::mt19937_64 random_{1};
  std::vector<std::unique_ptr<control_core>> cores_;
  std::vector<revision> in_force_;
  std::priority_queue<sent_datagram> queue_;
  std::vector<std::pair<size_t, platform_call>> pending_calls_;
  tests::platform_store store_;
  std::vector<time_us> committed_at_;
  time_us now_ = 0;
  time_us next_change_ = 0;
  time_us max_activation_time_ = 0;
  revision committed_ = 0;
  uint64_t send_order_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t platform_calls_ = 0;
};

balancer_cost measure(size_t members) {
  const double memory_before = allocated_bytes();
  simulated_zone zone(members);
  zone.run_until(warm_up, false);
  zone.reset_counters();
  zone.run_until(warm_up + quiet_length, false);
  const auto quiet_bytes = static_cast<double>(zone.bytes());
  zone.reset_counters();
  const double cpu_before = thread_cpu_seconds();
  zone.run_until(warm_up + quiet_length + busy_length, true);
  const double cpu_s = thread_cpu_seconds() - cpu_before;
  const auto balancers = static_cast<double>(members);
  const double busy_s = static_cast<double>(busy_length) / us_per_s;
  balancer_cost cost;
  cost.quiet_bytes_per_s =
      quiet_bytes / balancers / (static_cast<double>(quiet_length) / us_per_s);
  cost.core_share = cpu_s / busy_s / balancers;
  cost.bytes_per_s = static_cast<double>(zone.bytes()) / busy_s / balancers;
  cost.memory_bytes = (allocated_bytes() - memory_before) / balancers;
  cost.platform_calls_per_s =
      static_cast<double>(zone.platform_calls()) / busy_s;
  cost.max_activation_s = zone.max_activation_s();
  return cost;
}

int run() {
  constexpr size_t zone_sizes[] = {50, 200, 600};
  double member_counts[3], core[3], bytes[3], memory_kb[3];
  fmt::print("{:>8}{:>12}{:>12}{:>12}{:>14}{:>18}{:>16}\n", "members", "core %",
             "quiet B/s", "busy B/s", "memory KB", "platform calls/s",
             "in force max s");
  balancer_cost largest;
  for (size_t i = 0; i < 3; ++i) {
    largest = measure(zone_sizes[i]);
    member_counts[i] = static_cast<double>(zone_sizes[i]);
    core[i] = largest.core_share * 100;
    bytes[i] = largest.bytes_per_s;
    memory_kb[i] = largest.memory_bytes / 1024;
    fmt::print("{:>8}{:>12.3f}{:>12.0f}{:>12.0f}{:>14.1f}{:>18.2f}{:>16.2f}\n",
               zone_sizes[i], core[i], largest.quiet_bytes_per_s, bytes[i],
               memory_kb[i], largest.platform_calls_per_s,
               largest.max_activation_s);
  }
  const line_fit core_fit = fit_line(member_counts, core, 3);
  const line_fit bytes_fit = fit_line(member_counts, bytes, 3);
  const line_fit memory_fit = fit_line(member_counts, memory_kb, 3);
  fmt::print(
      "per member: core {:.6f} %, {:.3f} B/s, {:.3f} KB (largest error "
      "of the fitted lines: {:.0f} %, {:.0f} %, {:.0f} %)\n",
      core_fit.slope, bytes_fit.slope, memory_fit.slope,
      core_fit.max_relative_error * 100, bytes_fit.max_relative_error * 100,
      memory_fit.max_relative_error * 100);
  fmt::print(
      "{{\"bench\":\"control\",\"members\":600,\"core_of_limit\":{:.3f},"
      "\"quiet_bytes_of_limit\":{:.3f},"
      "\"bytes_of_limit\":{:.3f},\"memory_kb\":{:.1f},"
      "\"worst_force_s\":{:.2f}}}\n",
      largest.core_share / max_core_share,
      largest.quiet_bytes_per_s / max_bytes_per_s,
      largest.bytes_per_s / max_bytes_per_s, largest.memory_bytes / 1024,
      largest.max_activation_s);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
