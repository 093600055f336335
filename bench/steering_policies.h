/** @file steering_policies.h Policies compared by bench_steering. */
#ifndef TURMERIC_BENCH_STEERING_POLICIES_H_
#define TURMERIC_BENCH_STEERING_POLICIES_H_

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench_common.h"
#include "turmeric/coordination/flow_steering_base.h"

namespace turmeric::bench {

constexpr int balancers = 6;
/** Assumed for all policies. */
constexpr double table_entry_bytes = 60;

struct flow {
  uint64_t id = 0;
  time_us ends_at = 0;
  time_us packet_interval = 0;
  bool opened = false;
  bool broken = false;  ///< A packet went to another target than the first.
  target_id first_target;
};

struct steering_result {
  target_id target;  ///< Invalid if the packet is lost.
  int hops = 0;      ///< Between balancers.
};

struct balancer_view {
  std::shared_ptr<route_table> table;
  bool up = true;
};

/** Selects the target of a packet that arrives at a balancer; the baselines do
 * so at once, without querying others. */
class policy {
 public:
  virtual ~policy() = default;
  virtual steering_result steer(time_us now,
                                int balancer,
                                const flow& f,
                                bool opens) = 0;
  virtual void on_restart(time_us, int) {}
  virtual double state_bytes() const { return 0; }
};

using balancer_views = std::vector<balancer_view>;

inline target_id choose_by_hash(const route_table& table, uint64_t id) {
  const auto& service = *table.index->services.begin()->second;
  const target_config* chosen =
      choose_target(service, flow_id{id}, [&](const target_config& candidate) {
        return table.index->accepts_new_flows(candidate);
      });
  return chosen == nullptr ? target_id{} : chosen->id;
}

/** Selects the target by hashing alone. */
class hash_policy : public policy {
 public:
  explicit hash_policy(const balancer_views& all_views) : views_(all_views) {}
  steering_result steer(time_us, int balancer, const flow& f, bool) override {
    return {choose_by_hash(*views_[static_cast<size_t>(balancer)].table, f.id),
            0};
  }

 private:
  const balancer_views& views_;
};

/** Selects the target of a new flow by hashing; the balancer that the packet
 * reaches keeps it in a table. */
class table_policy : public policy {
 public:
  explicit table_policy(const balancer_views& all_views)
      : views_(all_views), tables_(balancers) {}
  steering_result steer(time_us, int balancer, const flow& f, bool) override {
    auto& table = tables_[static_cast<size_t>(balancer)];
    const auto it = table.find(f.id);
    if (it != table.end())
      return {it->second, 0};
    const target_id t =
        choose_by_hash(*views_[static_cast<size_t>(balancer)].table, f.id);
    table[f.id] = t;
    return {t, 0};
  }
  void on_restart(time_us, int balancer) override {
    tables_[static_cast<size_t>(balancer)].clear();
  }
  double state_bytes() const override {
    size_t entries = 0;
    for (const auto& t : tables_)
      entries += t.size();
    return static_cast<double>(entries) * table_entry_bytes;
  }

 protected:
  const balancer_views& views_;
  std::vector<std::unordered_map<uint64_t, target_id>> tables_;
};

/** Forwards each packet to the balancer that owns the flow, which keeps its
 * target in a table. */
class owner_policy : public table_policy {
 public:
  using table_policy::table_policy;
  steering_result steer(time_us now,
                        int balancer,
                        const flow& f,
                        bool opens) override {
    const auto& table = *views_[static_cast<size_t>(balancer)].table;
    const member_record* owner = table.owner_in_zone(f.id, 0);
    const int to =
        owner == nullptr ? balancer : std::stoi(owner->name.substr(8));
    if (!views_[static_cast<size_t>(to)].up)
      return {};  // Lost: the owner is not running.
    steering_result result = table_policy::steer(now, to, f, opens);
    result.hops = to == balancer ? 0 : 1;
    return result;
  }
};

/** The product's steering, one per balancer, with the messages between them. */
class bucket_policy : public policy {
 public:
  explicit bucket_policy(const balancer_views& all_views)
      : views_(all_views), steering_by_balancer_(balancers) {
    for (int i = 0; i < balancers; ++i)
      on_restart(0, i);
  }

  steering_result steer(time_us now,
                        int balancer,
                        const flow& f,
                        bool opens) override {
    if (now >= next_tick_)
      tick(now);
    datagram message;
    message.service = views_[0].table->index->services.begin()->first;
    message.flow = flow_id{f.id};
    message.opens = opens;
    std::vector<traffic_action> out;
    steering_by_balancer_[static_cast<size_t>(balancer)]->steer(
        now, std::move(message), &metrics_, &out);
    return deliver_all(now, std::move(out));
  }

  void on_restart(time_us now, int balancer) override {
    auto& steering = steering_by_balancer_[static_cast<size_t>(balancer)];
    if (steering) {
      control_bytes_before_restarts_ += steering->control_bytes();
      hint_bytes_before_restarts_ += steering->hint_bytes();
    }
    flow_options options;
    options.flow_timeout = 20 * us_per_s;
    steering = std::make_unique<flow_steering>(
        options, views_[static_cast<size_t>(balancer)].table->self,
        flow_injected_faults{});
    steering->update_routes(now, views_[static_cast<size_t>(balancer)].table);
  }

  void on_view_change(time_us now, int balancer) {
    steering_by_balancer_[static_cast<size_t>(balancer)]->update_routes(
        now, views_[static_cast<size_t>(balancer)].table);
  }

  double state_bytes() const override {
    size_t entries = 0;
    for (const auto& steering : steering_by_balancer_)
      entries += steering->tracked_flows();
    return static_cast<double>(entries) * table_entry_bytes;
  }

  double control_bytes() const {
    auto sum = static_cast<double>(control_bytes_before_restarts_);
    for (const auto& steering : steering_by_balancer_)
      sum += static_cast<double>(steering->control_bytes());
    return sum;
  }

  double hint_bytes() const {
    auto sum = static_cast<double>(hint_bytes_before_restarts_);
    for (const auto& steering : steering_by_balancer_)
      sum += static_cast<double>(steering->hint_bytes());
    return sum;
  }

 private:
  void tick(time_us now) {
    next_tick_ = now + 50 * us_per_ms;
    for (int i = 0; i < balancers; ++i) {
      if (!views_[static_cast<size_t>(i)].up)
        continue;
      std::vector<traffic_action> out;
      steering_by_balancer_[static_cast<size_t>(i)]->tick(now, &out);
      deliver_all(now, std::move(out));
    }
  }

  /** Delivers messages between the balancers until none is left. */
  steering_result deliver_all(time_us now, std::vector<traffic_action> first) {
    steering_result result;
    std::deque<traffic_action> queue(first.begin(), first.end());
    while (!queue.empty()) {
      auto& send = std::get<send_packet>(queue.front());
      if (!send.to_peer) {
        result.target = target_with_address(send.to);
        queue.pop_front();
        continue;
      }
      const auto to = static_cast<size_t>(send.to.ip - 0x0a000000u);
      std::vector<traffic_action> out;
      if (views_[to].up)
        deliver(now, to, std::move(send.body), &result, &out);
      queue.pop_front();
      for (auto& a : out)
        queue.push_back(std::move(a));
    }
    return result;
  }

  void deliver(time_us now,
               size_t to,
               packet body,
               steering_result* result,
               std::vector<traffic_action>* out) {
    flow_steering& steering = *steering_by_balancer_[to];
    if (auto* q = std::get_if<flow_query>(&body)) {
      ++result->hops;
      steering.on(now, std::move(*q), &metrics_, out);
    } else if (auto* h = std::get_if<flow_hint>(&body)) {
      steering.on(now, *h);
    } else if (auto* r = std::get_if<flow_records>(&body)) {
      steering.on(now, std::move(*r), out);
    } else if (auto* n = std::get_if<moving_buckets>(&body)) {
      steering.on(now, std::move(*n), out);
    } else if (auto* p = std::get_if<moving_buckets_request>(&body)) {
      steering.on(now, *p, out);
    } else if (auto* l = std::get_if<moving_buckets_reply>(&body)) {
      steering.on(now, *l);
    }
  }

  target_id target_with_address(endpoint address) const {
    for (const auto& view : views_) {
      for (const auto& [id, indexed_target] : view.table->index->targets) {
        if (indexed_target.target->address == address)
          return id;
      }
    }
    return {};
  }

  const balancer_views& views_;
  std::vector<std::unique_ptr<flow_steering>> steering_by_balancer_;
  traffic_metrics metrics_;
  time_us next_tick_ = 0;
  uint64_t control_bytes_before_restarts_ = 0;
  uint64_t hint_bytes_before_restarts_ = 0;
};

}  // namespace turmeric::bench

#endif  // TURMERIC_BENCH_STEERING_POLICIES_H_
