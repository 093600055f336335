/** @file bench_steering.cpp Policies for opaque flows on the same traffic.
 *
 * Six balancers, fifteen or four targets, packets sprayed at random, flows of
 * heavy-tailed length and rate. On the way a target is added, one is drained,
 * every balancer is restarted gracefully and one is killed. Views differ for
 * up to 1.5 s after each change.
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

constexpr time_us length = 50 * us_per_s;
constexpr time_us window = 5 * us_per_s;
constexpr time_us first_window = 5 * us_per_s;
constexpr time_us view_skew = 1500 * us_per_ms;
constexpr double min_life_s = 5, max_life_s = 60;

/** The cluster's planned life; equal for all policies. */
class scenario {
 public:
  scenario(int targets, int flows_per_s, bool announces)
      : targets_(targets), flows_per_s_(flows_per_s), announces_(announces) {
    views_.resize(balancers);
    add_services(targets_);
    for (int i = 0; i < balancers; ++i)
      set_view(i);
  }

  struct outcome {
    uint64_t flows = 0, broken = 0, packets = 0, hops = 0, lost = 0;
    double imbalance = 0, state_per_flow = 0, control_per_s = 0,
           hints_per_s = 0;
  };

  const views& all() const { return views_; }

  outcome run(policy* p, split_buckets* ours) {
    policy_ = p;
    ours_ = ours;
    plan();
    outcome out;
    for (time_us at = 0; at < length - window; at += us_per_s / flows_per_s_)
      queue_.push({at, order_++, [this, &out, at] { open_flow(at, &out); }});
    double state = 0;
    int samples = 0;
    for (time_us at = window; at < length; at += us_per_s) {
      queue_.push({at, order_++, [&, at] {
                     state += policy_->state_bytes() /
                              std::max<double>(1, static_cast<double>(open_));
                     ++samples;
                     (void)at;
                   }});
    }
    while (!queue_.empty() && queue_.top().at < length) {
      const entry e = queue_.top();
      queue_.pop();
      now_ = e.at;
      e.fn();
    }
    out.state_per_flow = state / std::max(samples, 1);
    out.imbalance = mean_imbalance();
    const double span = static_cast<double>(length) / us_per_s * balancers;
    if (ours != nullptr) {
      out.control_per_s = ours->control_bytes() / span;
      out.hints_per_s = ours->hint_bytes() / span;
    }
    return out;
  }

 private:
  struct entry {
    time_us at;
    uint64_t order;
    std::function<void()> fn;
    bool operator<(const entry& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };

  void at(time_us when, std::function<void()> fn) {
    queue_.push({when, order_++, std::move(fn)});
  }

  void add_services(int targets) {
    service_config s = make_service(0, targets, 1);
    config_change c;
    c.number = state_.current_revision() + 1;
    c.entries.push_back(
        {make_key(key_kind::service, full_name(s)), to_json(s), 0});
    state_.apply(c);
    newest_ = builder_.build(state_);
    if (!in_force_)
      in_force_ = newest_;
  }

  void set_view(int i) {
    view& v = views_[static_cast<size_t>(i)];
    auto table = make_table(v.table ? v.table->index : in_force_, balancers, i);
    if (v.table)
      table->announced = v.table->announced;
    for (auto& m : table->members)
      m.state = member_states_[m.name].state;
    for (auto& m : table->members)
      m.incarnation = member_states_[m.name].incarnation;
    table->self = table->members[static_cast<size_t>(i)];
    v.table = std::move(table);
  }

  void notify(int i) {
    if (ours_ != nullptr && views_[static_cast<size_t>(i)].up)
      ours_->view_changed(now_, i);
  }

  /** Spreads the newest configuration; views differ meanwhile. */
  void spread() {
    const auto index = newest_;
    for (int i = 0; i < balancers; ++i) {
      const auto skew = static_cast<time_us>(random_() % view_skew);
      at(now_ + skew, [this, i, index] {
        auto table = std::make_shared<route_table>(
            *views_[static_cast<size_t>(i)].table);
        table->announced = index;
        if (!announces_)
          table->index = index;
        views_[static_cast<size_t>(i)].table = table;
        notify(i);
      });
      const auto late = static_cast<time_us>(random_() % (100 * us_per_ms));
      at(now_ + view_skew + late, [this, i, index] {
        auto table = std::make_shared<route_table>(
            *views_[static_cast<size_t>(i)].table);
        table->index = index;
        views_[static_cast<size_t>(i)].table = table;
        notify(i);
      });
    }
  }

  void set_member(int subject, member_state state, time_us skew) {
    member_states_["balancer" + std::to_string(subject)].state = state;
    for (int i = 0; i < balancers; ++i) {
      const auto late =
          static_cast<time_us>(random_() % static_cast<uint64_t>(skew + 1));
      at(now_ + late, [this, i] {
        set_view(i);
        notify(i);
      });
    }
  }

  void down(int i) { views_[static_cast<size_t>(i)].up = false; }

  void up(int i) {
    views_[static_cast<size_t>(i)].up = true;
    ++member_states_["balancer" + std::to_string(i)].incarnation;
    views_[static_cast<size_t>(i)].table.reset();
    in_force_ = newest_;
    set_view(i);
    policy_->restarted(now_, i);
    set_member(i, member_state::live, 300 * us_per_ms);
  }

  void plan() {
    at(10 * us_per_s, [this] {
      add_services(targets_ + 1);
      spread();
    });
    at(15 * us_per_s, [this] {
      config_change c;
      c.number = state_.current_revision() + 1;
      const std::string name =
          newest_->services.begin()->second->targets[0].name;
      c.entries.push_back({make_key(key_kind::target_drain, name), "1", 0});
      state_.apply(c);
      newest_ = builder_.build(state_);
      spread();
    });
    for (int i = 0; i < balancers; ++i) {
      const time_us start = 20 * us_per_s + i * 3 * us_per_s;
      at(start,
         [this, i] { set_member(i, member_state::leaving, 300 * us_per_ms); });
      at(start + us_per_s, [this, i] { down(i); });
      at(start + 2 * us_per_s, [this, i] { up(i); });
    }
    at(42 * us_per_s, [this] { down(3); });
    at(44 * us_per_s,
       [this] { set_member(3, member_state::dead, 500 * us_per_ms); });
  }

  void open_flow(time_us when, outcome* out) {
    auto f = std::make_shared<flow>();
    f->id = random_flow_();
    const double u = unit();
    const double life = std::min(max_life_s, min_life_s / std::pow(u, 0.67));
    const double weight = std::min(50.0, 1.0 / std::pow(unit(), 0.77));
    f->end = when + static_cast<time_us>(life * us_per_s);
    f->interval = static_cast<time_us>(2.0 * us_per_s / weight);
    ++out->flows;
    ++open_;
    send(f, out);
  }

  void send(const std::shared_ptr<flow>& f, outcome* out) {
    int to = static_cast<int>(random_flow_() % balancers);
    while (!views_[static_cast<size_t>(to)].up && fabric_knows_)
      to = (to + 1) % balancers;
    if (views_[static_cast<size_t>(to)].up)
      arrive(f, to, out);
    else
      ++out->lost;
    if (now_ + f->interval < f->end) {
      at(now_ + f->interval, [this, f, out] { send(f, out); });
    } else {
      --open_;
    }
  }

  void arrive(const std::shared_ptr<flow>& f, int to, outcome* out) {
    ++out->packets;
    const choice c = policy_->steer(now_, to, *f, !f->opened);
    out->hops += static_cast<uint64_t>(c.hops);
    if (!c.target.valid()) {
      ++out->lost;
      return;
    }
    if (!f->opened) {
      f->opened = true;
      f->home = c.target;
    } else if (c.target != f->home && !f->broken) {
      f->broken = true;
      ++out->broken;
    }
    if (now_ >= first_window)
      ++loads_[now_ / window][c.target.value];
  }

  double mean_imbalance() const {
    double sum = 0;
    for (const auto& [w, load] : loads_) {
      std::vector<uint64_t> counts;
      for (const auto& [target, count] : load)
        counts.push_back(count);
      sum += imbalance_of(counts);
    }
    return sum / static_cast<double>(std::max<size_t>(1, loads_.size()));
  }

  double unit() {
    return (static_cast<double>(random_flow_() >> 11) + 1) / 9007199254740993.0;
  }

  struct member_life {
    member_state state = member_state::live;
    uint64_t incarnation = 1;
  };

  int targets_;
  int flows_per_s_;
  bool announces_;
  bool fabric_knows_ = true;
  views views_;
  std::map<std::string, member_life> member_states_;
  config_state state_;
  index_builder builder_;
  std::shared_ptr<const service_index> in_force_;
  std::shared_ptr<const service_index> newest_;
  std::priority_queue<entry> queue_;
  std::mt19937_64 random_{7};
  std::mt19937_64 random_flow_{11};
  std::map<time_us, std::map<uint64_t, uint64_t>> loads_;
  policy* policy_ = nullptr;
  split_buckets* ours_ = nullptr;
  time_us now_ = 0;
  uint64_t order_ = 0;
  int64_t open_ = 0;
};

using outcome = scenario::outcome;

void print_row(const char* name, const outcome& o) {
  fmt::print(
      "{:<22}{:>8}{:>8}{:>10}{:>12.4f}{:>11.3f}{:>14.1f}{:>14.0f}{:>12.0f}\n",
      name, o.flows, o.broken, o.packets,
      static_cast<double>(o.hops) / static_cast<double>(o.packets), o.imbalance,
      o.state_per_flow / balancers, o.control_per_s, o.hints_per_s);
}

template <typename Policy>
outcome measure(const char* name, int targets, int rate, bool announces) {
  scenario s(targets, rate, announces);
  Policy p(s.all());
  outcome o;
  if constexpr (std::is_same_v<Policy, split_buckets>)
    o = s.run(&p, &p);
  else
    o = s.run(&p, nullptr);
  print_row(name, o);
  return o;
}

int run() {
  constexpr int rate = 1000;
  outcome hash, ours;
  for (const int targets : {15, 4}) {
    fmt::print("{} targets, {} new flows/s\n", targets, rate);
    fmt::print("{:<22}{:>8}{:>8}{:>10}{:>12}{:>11}{:>14}{:>14}{:>12}\n",
               "policy", "flows", "broken", "packets", "hops/packet",
               "imbalance", "state B/flow", "control B/s", "hints B/s");
    const outcome h = measure<hash_only>("hashing alone", targets, rate, false);
    measure<hash_and_table>("hashing, local table", targets, rate, false);
    measure<through_owner>("through owner", targets, rate, false);
    measure<split_buckets>("buckets, at once", targets, rate, false);
    const outcome o =
        measure<split_buckets>("buckets, announced", targets, rate, true);
    if (targets == 15) {
      hash = h;
      ours = o;
    }
  }
  fmt::print(
      "{{\"bench\":\"steering\",\"broken\":{},\"broken_hash_alone\":{},"
      "\"excess_imbalance_ratio\":{:.2f},\"hops_per_packet\":{:.4f},"
      "\"control_bytes_per_s\":{:.0f}}}\n",
      ours.broken, hash.broken, (ours.imbalance - 1) / (hash.imbalance - 1),
      static_cast<double>(ours.hops) / static_cast<double>(ours.packets),
      ours.control_per_s);
  return 0;
}

}  // namespace
}  // namespace turmeric::bench

int main() {
  return turmeric::bench::run();
}
