/** @file bench_steering.cpp Steering of opaque flows on the same traffic.
 *
 * Six balancers and 15 or 4 targets; each packet goes to a random balancer, and
 * the lifetimes and packet rates of flows are heavy-tailed. During the run a
 * target is added, one is drained, each balancer is restarted gracefully and
 * one is killed. After each change the balancers' views differ for up to
 * 1.5 s.
 */
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include "bench_common.h"
#include "steering_policies.h"
#include "turmeric/coordination/burn_func.h"
#include "turmeric/coordination/flow_steering_base.h"
#include "turmeric/state/config_key_func.h"

namespace turmeric::bench {
namespace {

constexpr time_us run_length = 50 * us_per_s;
constexpr time_us load_window = 5 * us_per_s;
/** Packets before this time do not count for the imbalance. */
constexpr time_us load_begin = 5 * us_per_s;
constexpr time_us max_view_skew = 1500 * us_per_ms;
constexpr double min_lifetime_s = 5, max_lifetime_s = 60;

/** Simulates the same traffic and scheduled events for all policies. */
class scenario {
 public:
  scenario(int targets, int flows_per_s, bool two_phase)
      : targets_(targets), flows_per_s_(flows_per_s), two_phase_(two_phase) {
    views_.resize(balancers);
    put_service(targets_);
    for (int i = 0; i < balancers; ++i)
      rebuild_view(i);
  }

  /** Rates are per second and balancer; the imbalance is the mean over all load
   * windows. */
  struct outcome {
    uint64_t flows = 0, broken = 0, packets = 0, hops = 0, lost = 0;
    double imbalance = 0, state_per_flow = 0, control_per_s = 0,
           hints_per_s = 0;
  };

  const balancer_views& views() const { return views_; }

  outcome run(policy* policy_under_test, bucket_policy* buckets) {
    policy_ = policy_under_test;
    buckets_ = buckets;
    schedule_events();
    outcome out;
    for (time_us at = 0; at < run_length - load_window;
         at += us_per_s / flows_per_s_)
      queue_.push({at, order_++, [this, &out, at] { open_flow(at, &out); }});
    double state = 0;
    int sample_count = 0;
    for (time_us at = load_window; at < run_length; at += us_per_s) {
      queue_.push({at, order_++, [&, at] {
                     state +=
                         policy_->state_bytes() /
                         std::max<double>(1, static_cast<double>(open_flows_));
                     ++sample_count;
                     (void)at;
                   }});
    }
    while (!queue_.empty() && queue_.top().at < run_length) {
      const timed_event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.action();
    }
    out.state_per_flow = state / std::max(sample_count, 1);
    out.imbalance = mean_imbalance();
    const double balancer_seconds =
        static_cast<double>(run_length) / us_per_s * balancers;
    if (buckets != nullptr) {
      out.control_per_s = buckets->control_bytes() / balancer_seconds;
      out.hints_per_s = buckets->hint_bytes() / balancer_seconds;
    }
    return out;
  }

 private:
  struct timed_event {
    time_us at;
    uint64_t order;
    std::function<void()> action;
    bool operator<(const timed_event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void schedule(time_us when, std::function<void()> action) {
    queue_.push({when, order_++, std::move(action)});
  }

  void put_service(int targets) {
    service_config s = make_service(0, targets, 1);
    config_change change;
    change.number = state_.current_revision() + 1;
    change.entries.push_back(
        {make_key(key_kind::service, full_name(s)), to_json(s), 0});
    state_.apply(change);
    newest_ = builder_.build(state_);
    if (!in_force_)
      in_force_ = newest_;
  }

  /** Rebuilds the route table of balancer @p i from the member states. */
  void rebuild_view(int i) {
    balancer_view& v = views_[static_cast<size_t>(i)];
    auto table =
        make_route_table(v.table ? v.table->index : in_force_, balancers, i);
    if (v.table)
      table->announced = v.table->announced;
    for (auto& m : table->members)
      m.state = member_states_[m.name].state;
    for (auto& m : table->members)
      m.incarnation = member_states_[m.name].incarnation;
    table->self = table->members[static_cast<size_t>(i)];
    v.table = std::move(table);
  }

  void notify_buckets(int i) {
    if (buckets_ != nullptr && views_[static_cast<size_t>(i)].up)
      buckets_->on_view_change(now_, i);
  }

  /** Brings the newest configuration into force on all balancers, each with its
   * own delay. In two phases each is announced to all before it is in force. */
  void distribute_config() {
    const auto index = newest_;
    for (int i = 0; i < balancers; ++i) {
      const auto announce_delay =
          static_cast<time_us>(random_() % max_view_skew);
      schedule(now_ + announce_delay, [this, i, index] {
        auto table = std::make_shared<route_table>(
            *views_[static_cast<size_t>(i)].table);
        table->announced = index;
        if (!two_phase_)
          table->index = index;
        views_[static_cast<size_t>(i)].table = table;
        notify_buckets(i);
      });
      const auto delay = static_cast<time_us>(random_() % (100 * us_per_ms));
      schedule(now_ + max_view_skew + delay, [this, i, index] {
        auto table = std::make_shared<route_table>(
            *views_[static_cast<size_t>(i)].table);
        table->index = index;
        views_[static_cast<size_t>(i)].table = table;
        notify_buckets(i);
      });
    }
  }

  void set_member_state(int subject, member_state state, time_us max_delay) {
    member_states_["balancer" + std::to_string(subject)].state = state;
    for (int i = 0; i < balancers; ++i) {
      const auto delay = static_cast<time_us>(
          random_() % static_cast<uint64_t>(max_delay + 1));
      schedule(now_ + delay, [this, i] {
        rebuild_view(i);
        notify_buckets(i);
      });
    }
  }

  void stop_balancer(int i) { views_[static_cast<size_t>(i)].up = false; }

  void start_balancer(int i) {
    views_[static_cast<size_t>(i)].up = true;
    ++member_states_["balancer" + std::to_string(i)].incarnation;
    views_[static_cast<size_t>(i)].table.reset();
    in_force_ = newest_;
    rebuild_view(i);
    policy_->on_restart(now_, i);
    set_member_state(i, member_state::live, 300 * us_per_ms);
  }

  void schedule_events() {
    schedule(10 * us_per_s, [this] {
      put_service(targets_ + 1);
      distribute_config();
    });
    schedule(15 * us_per_s, [this] {
      config_change change;
      change.number = state_.current_revision() + 1;
      const std::string name =
          newest_->services.begin()->second->targets[0].name;
      change.entries.push_back(
          {make_key(key_kind::target_drain, name), "1", 0});
      state_.apply(change);
      newest_ = builder_.build(state_);
      distribute_config();
    });
    for (int i = 0; i < balancers; ++i) {
      const time_us start = 20 * us_per_s + i * 3 * us_per_s;
      schedule(start, [this, i] {
        set_member_state(i, member_state::leaving, 300 * us_per_ms);
      });
      schedule(start + us_per_s, [this, i] { stop_balancer(i); });
      schedule(start + 2 * us_per_s, [this, i] { start_balancer(i); });
    }
    schedule(42 * us_per_s, [this] { stop_balancer(3); });
    schedule(44 * us_per_s, [this] {
      set_member_state(3, member_state::dead, 500 * us_per_ms);
    });
  }

  void open_flow(time_us when, outcome* out) {
    auto new_flow = std::make_shared<flow>();
    new_flow->id = random_flow_();
    const double uniform = random_unit();
    const double lifetime_s =
        std::min(max_lifetime_s, min_lifetime_s / std::pow(uniform, 0.67));
    const double rate_factor =
        std::min(50.0, 1.0 / std::pow(random_unit(), 0.77));
    new_flow->ends_at = when + static_cast<time_us>(lifetime_s * us_per_s);
    new_flow->packet_interval =
        static_cast<time_us>(2.0 * us_per_s / rate_factor);
    ++out->flows;
    ++open_flows_;
    send(new_flow, out);
  }

  void send(const std::shared_ptr<flow>& f, outcome* out) {
    int to = static_cast<int>(random_flow_() % balancers);
    while (!views_[static_cast<size_t>(to)].up && fabric_skips_stopped_)
      to = (to + 1) % balancers;
    if (views_[static_cast<size_t>(to)].up)
      arrive(f, to, out);
    else
      ++out->lost;
    if (now_ + f->packet_interval < f->ends_at) {
      schedule(now_ + f->packet_interval, [this, f, out] { send(f, out); });
    } else {
      --open_flows_;
    }
  }

  void arrive(const std::shared_ptr<flow>& f, int to, outcome* out) {
    ++out->packets;
    const steering_result steered = policy_->steer(now_, to, *f, !f->opened);
    out->hops += static_cast<uint64_t>(steered.hops);
    if (!steered.target.valid()) {
      ++out->lost;
      return;
    }
    if (!f->opened) {
      f->opened = true;
      f->first_target = steered.target;
    } else if (steered.target != f->first_target && !f->broken) {
      f->broken = true;
      ++out->broken;
    }
    if (now_ >= load_begin)
      ++packets_by_window_[now_ / load_window][steered.target.value];
  }

  double mean_imbalance() const {
    double sum = 0;
    for (const auto& [window_number, load] : packets_by_window_) {
      std::vector<uint64_t> packet_counts;
      for (const auto& [target, count] : load)
        packet_counts.push_back(count);
      sum += imbalance_of(packet_counts);
    }
    return sum /
           static_cast<double>(std::max<size_t>(1, packets_by_window_.size()));
  }

  /** @return Uniform, above 0 and at most 1. */
  double random_unit() {
    return (static_cast<double>(random_flow_() >> 11) + 1) / 9007199254740993.0;
  }

  struct member_status {
    member_state state = member_state::live;
    uint64_t incarnation = 1;
  };

  int targets_;
  int flows_per_s_;
  bool two_phase_;
  bool fabric_skips_stopped_ = true;
  balancer_views views_;
  std::map<std::string, member_status> member_states_;
  config_state state_;
  index_builder builder_;
  std::shared_ptr<const service_index> in_force_;
  std::shared_ptr<const service_index> newest_;
  std::priority_queue<timed_event> queue_;
  std::mt19937_64 random_{7};
  std::mt19937_64 random_flow_{11};
  std::map<time_us, std::map<uint64_t, uint64_t>> packets_by_window_;
  policy* policy_ = nullptr;
  bucket_policy* buckets_ = nullptr;
  time_us now_ = 0;
  uint64_t order_ = 0;
  int64_t open_flows_ = 0;
};

using outcome = scenario::outcome;

void print_row(const char* name, const outcome& result) {
  fmt::print(
      "{:<22}{:>8}{:>8}{:>10}{:>12.4f}{:>11.3f}{:>14.1f}{:>14.0f}{:>12.0f}\n",
      name, result.flows, result.broken, result.packets,
      static_cast<double>(result.hops) / static_cast<double>(result.packets),
      result.imbalance, result.state_per_flow / balancers, result.control_per_s,
      result.hints_per_s);
}

template <typename Policy>
outcome measure(const char* name,
                int targets,
                int new_flows_per_s,
                bool two_phase) {
  scenario simulation(targets, new_flows_per_s, two_phase);
  Policy policy_under_test(simulation.views());
  outcome result;
  if constexpr (std::is_same_v<Policy, bucket_policy>)
    result = simulation.run(&policy_under_test, &policy_under_test);
  else
    result = simulation.run(&policy_under_test, nullptr);
  print_row(name, result);
  return result;
}

int run() {
  constexpr int new_flows_per_s = 1000;
  outcome hash_alone, buckets;
  for (const int targets : {15, 4}) {
    fmt::print("{} targets, {} new flows/s\n", targets, new_flows_per_s);
    fmt::print("{:<22}{:>8}{:>8}{:>10}{:>12}{:>11}{:>14}{:>14}{:>12}\n",
               "policy", "flows", "broken", "packets", "hops/packet",
               "imbalance", "state B/flow", "control B/s", "hints B/s");
    const outcome hash_result =
        measure<hash_policy>("hashing alone", targets, new_flows_per_s, false);
    measure<table_policy>("hashing, local table", targets, new_flows_per_s,
                          false);
    measure<owner_policy>("through owner", targets, new_flows_per_s, false);
    measure<bucket_policy>("buckets, at once", targets, new_flows_per_s, false);
    const outcome result = measure<bucket_policy>("buckets, announced", targets,
                                                  new_flows_per_s, true);
    if (targets == 15) {
      hash_alone = hash_result;
      buckets = result;
    }
  }
  fmt::print(
      "{{\"bench\":\"steering\",\"broken\":{},\"broken_hash_alone\":{},"
      "\"excess_imbalance_ratio\":{:.2f},\"hops_per_packet\":{:.4f},"
      "\"control_bytes_per_s\":{:.0f}}}\n",
      buckets.broken, hash_alone.broken,
      (buckets.imbalance - 1) / (hash_alone.imbalance - 1),
      static_cast<double>(buckets.hops) / static_cast<double>(buckets.packets),
      buckets.control_per_s);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
