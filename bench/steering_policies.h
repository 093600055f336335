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
/** Bytes of one entry of a baseline's flow table. */
constexpr double table_entry_bytes = 60;

/** One flow of the trace. */
struct flow {
  uint64_t id = 0;
  time_us end = 0;
  time_us interval = 0;
  bool opened = false;
  bool broken = false;
  target_id home;
};

/** Where a policy sends a packet. */
struct choice {
  target_id target;
  int hops = 0;
};

/** The view that one balancer holds. */
struct view {
  std::shared_ptr<route_table> table;
  bool up = true;
};

/** A policy decides for balancer @p at; baselines answer at once. */
class policy {
 public:
  virtual ~policy() = default;
  virtual choice steer(time_us now, int at, const flow& f, bool opens) = 0;
  virtual void restarted(time_us, int) {}
  virtual double state_bytes() const { return 0; }
};

using views = std::vector<view>;

inline target_id hash_choice(const route_table& table, uint64_t id) {
  const auto& service = *table.index->services.begin()->second;
  const target_config* t =
      choose_target(service, flow_id{id}, [&](const target_config& c) {
        return table.index->accepts_new_flows(c);
      });
  return t == nullptr ? target_id{} : t->id;
}

class hash_only : public policy {
 public:
  explicit hash_only(const views& v) : views_(v) {}
  choice steer(time_us, int at, const flow& f, bool) override {
    return {hash_choice(*views_[static_cast<size_t>(at)].table, f.id), 0};
  }

 private:
  const views& views_;
};

class hash_and_table : public policy {
 public:
  explicit hash_and_table(const views& v) : views_(v), tables_(balancers) {}
  choice steer(time_us, int at, const flow& f, bool) override {
    auto& table = tables_[static_cast<size_t>(at)];
    const auto it = table.find(f.id);
    if (it != table.end())
      return {it->second, 0};
    const target_id t =
        hash_choice(*views_[static_cast<size_t>(at)].table, f.id);
    table[f.id] = t;
    return {t, 0};
  }
  void restarted(time_us, int at) override {
    tables_[static_cast<size_t>(at)].clear();
  }
  double state_bytes() const override {
    size_t entries = 0;
    for (const auto& t : tables_)
      entries += t.size();
    return static_cast<double>(entries) * table_entry_bytes;
  }

 protected:
  const views& views_;
  std::vector<std::unordered_map<uint64_t, target_id>> tables_;
};

class through_owner : public hash_and_table {
 public:
  using hash_and_table::hash_and_table;
  choice steer(time_us now, int at, const flow& f, bool opens) override {
    const auto& table = *views_[static_cast<size_t>(at)].table;
    const member_record* owner = table.owner_in_zone(f.id, 0);
    const int to = owner == nullptr ? at : std::stoi(owner->name.substr(8));
    if (!views_[static_cast<size_t>(to)].up)
      return {};  // Lost on the way to a balancer that died.
    choice c = hash_and_table::steer(now, to, f, opens);
    c.hops = to == at ? 0 : 1;
    return c;
  }
};

/** The product's steering, six of them with messages between. */
class split_buckets : public policy {
 public:
  explicit split_buckets(const views& v) : views_(v), steering_(balancers) {
    for (int i = 0; i < balancers; ++i)
      restarted(0, i);
  }

  choice steer(time_us now, int at, const flow& f, bool opens) override {
    if (now >= next_tick_)
      tick(now);
    datagram m;
    m.service = views_[0].table->index->services.begin()->first;
    m.flow = flow_id{f.id};
    m.opens = opens;
    std::vector<traffic_action> out;
    steering_[static_cast<size_t>(at)]->steer(now, std::move(m), &metrics_,
                                              &out);
    return run(now, std::move(out));
  }

  void restarted(time_us now, int at) override {
    auto& s = steering_[static_cast<size_t>(at)];
    if (s) {
      lost_control_ += s->control_bytes();
      lost_hints_ += s->hint_bytes();
    }
    flow_options o;
    o.flow_timeout = 20 * us_per_s;
    s = std::make_unique<flow_steering>(
        o, views_[static_cast<size_t>(at)].table->self, flow_injected_faults{});
    s->update_routes(now, views_[static_cast<size_t>(at)].table);
  }

  void view_changed(time_us now, int at) {
    steering_[static_cast<size_t>(at)]->update_routes(
        now, views_[static_cast<size_t>(at)].table);
  }

  double state_bytes() const override {
    size_t entries = 0;
    for (const auto& s : steering_)
      entries += s->tracked_flows();
    return static_cast<double>(entries) * table_entry_bytes;
  }

  double control_bytes() const {
    auto sum = static_cast<double>(lost_control_);
    for (const auto& s : steering_)
      sum += static_cast<double>(s->control_bytes());
    return sum;
  }

  double hint_bytes() const {
    auto sum = static_cast<double>(lost_hints_);
    for (const auto& s : steering_)
      sum += static_cast<double>(s->hint_bytes());
    return sum;
  }

 private:
  void tick(time_us now) {
    next_tick_ = now + 50 * us_per_ms;
    for (int i = 0; i < balancers; ++i) {
      if (!views_[static_cast<size_t>(i)].up)
        continue;
      std::vector<traffic_action> out;
      steering_[static_cast<size_t>(i)]->tick(now, &out);
      run(now, std::move(out));
    }
  }

  /** Carries messages between the balancers until a target is reached. */
  choice run(time_us now, std::vector<traffic_action> first) {
    choice c;
    std::deque<traffic_action> queue(first.begin(), first.end());
    while (!queue.empty()) {
      auto& send = std::get<send_packet>(queue.front());
      if (!send.to_peer) {
        c.target = target_at(send.to);
        queue.pop_front();
        continue;
      }
      const auto to = static_cast<size_t>(send.to.ip - 0x0a000000u);
      std::vector<traffic_action> out;
      if (views_[to].up)
        deliver(now, to, std::move(send.body), &c, &out);
      queue.pop_front();
      for (auto& a : out)
        queue.push_back(std::move(a));
    }
    return c;
  }

  void deliver(time_us now,
               size_t to,
               packet body,
               choice* c,
               std::vector<traffic_action>* out) {
    flow_steering& s = *steering_[to];
    if (auto* q = std::get_if<flow_query>(&body)) {
      ++c->hops;
      s.on(now, std::move(*q), &metrics_, out);
    } else if (auto* h = std::get_if<flow_hint>(&body)) {
      s.on(now, *h);
    } else if (auto* r = std::get_if<flow_records>(&body)) {
      s.on(now, std::move(*r), out);
    } else if (auto* n = std::get_if<moving_buckets>(&body)) {
      s.on(now, std::move(*n), out);
    } else if (auto* p = std::get_if<moving_buckets_request>(&body)) {
      s.on(now, *p, out);
    } else if (auto* l = std::get_if<moving_buckets_reply>(&body)) {
      s.on(now, *l);
    }
  }

  target_id target_at(endpoint address) const {
    for (const auto& v : views_) {
      for (const auto& [id, place] : v.table->index->targets) {
        if (place.target->address == address)
          return id;
      }
    }
    return {};
  }

  const views& views_;
  std::vector<std::unique_ptr<flow_steering>> steering_;
  traffic_metrics metrics_;
  time_us next_tick_ = 0;
  uint64_t lost_control_ = 0;
  uint64_t lost_hints_ = 0;
};

}  // namespace turmeric::bench

#endif  // TURMERIC_BENCH_STEERING_POLICIES_H_
