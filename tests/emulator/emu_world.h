/** @file emu_world.h An installation in memory and virtual time: callers,
 * routers, balancers with the real cores, targets and the store. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_
#define TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

#include "emu_store.h"
#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"

namespace turmeric::tests {

/** Plays one run; see emu_options. */
class emu_world {
 public:
  explicit emu_world(emu_options options);
  ~emu_world();

  /** Runs to the end. @return What happened. */
  emu_report run();

 private:
  /** A balancer's machine with the process on it. */
  struct balancer {
    size_t number = 0;
    size_t zone = 0;
    std::string name;
    endpoint address;
    bool running = false;
    bool ready = false;
    bool stopping = false;
    bool frozen = false;
    bool in_rotation = false;
    bool refused = false;  ///< By the store.
    bool cut = false;
    int missed_probes = 0;
    uint64_t life = 0;
    time_us disturbed = 0;
    uint64_t routing_version = 0;
    std::unique_ptr<directory_core> directory;
    std::unique_ptr<forwarding_core> forwarding;
    std::shared_ptr<const forwarding_table> table;
    std::deque<sim_clock::event> backlog;  ///< While it is frozen.
  };
  struct target_flow {
    uint32_t sequence = 0;  ///< Of the target's end.
    bool open = false;
    bool served = false;
  };
  struct target {
    std::string name;
    std::string service;
    size_t zone = 0;
    endpoint address;
    bool alive = true;
    bool resets = false;  ///< Its machine answers for it.
    bool draining = false;
    bool registers = true;  ///< Sends heartbeats.
    time_us cold_until = 0;
    time_us disturbed = 0;
    time_us closed_at = INT64_MAX;  ///< When the store knew it drains or left.
    time_us last_beat = 0;
    uint32_t busy = 0;
    std::deque<std::function<void()>> waiting;
    std::map<uint64_t, target_flow> flows;  ///< By the flow's number.
    std::deque<time_us> openings;           ///< While it is cold.
  };
  /** One attempt of a request: one flow. */
  struct flow {
    uint64_t number = 0;
    uint64_t request = 0;
    size_t zone = 0;
    segment head;  ///< The caller's ports and addresses.
    flow_token token = 0;
    bool over = false;
    bool connected = false;
    bool answered = false;
    uint32_t acknowledged = 0;
    target* open_at = nullptr;
    std::string open_name;
    int astray = 0;  ///< Segments that reached other targets in a row.
  };
  struct request {
    uint64_t number = 0;
    size_t kind = 0;
    size_t zone = 0;
    time_us asked = 0;
    int attempts = 0;
    bool over = false;
    bool may_have_run = false;
  };

  // emu_world.cpp: set-up, balancers, the store's side.
  void set_up();
  void start_balancer(balancer* b);
  void end_balancer(balancer* b);
  void stop_balancer(balancer* b);
  void execute(balancer* b, directory_core::actions actions);
  void execute_one(balancer* b, const registry_call& call);
  void execute_one(balancer* b, const send_peer_message& message);
  void execute_one(balancer* b, const publish_table& published);
  void pass_reports(balancer* b);
  void arm(balancer* b);
  void arm_traffic(balancer* b);
  void on_balancer(balancer* b, sim_clock::event event);
  void probe_all();
  balancer* route(size_t zone, const flow_key& key);
  bool reachable(size_t a_zone, size_t b_zone) const;
  bool store_reaches(const balancer& b) const;
  time_us delay(size_t a_zone, size_t b_zone) const;
  registry_reply tampered(registry_reply reply, directory_kind kind);

  // emu_traffic.cpp: callers and targets.
  void ask();
  void attempt(uint64_t request_number);
  void send_opening(uint64_t flow_number, uint32_t copy);
  void send(const flow& f, segment s);
  void at_balancer(balancer* b, uint64_t flow_number, segment s);
  void follow_report(const balancer& b, const target_report& report);
  void follow_placement(const balancer& b, const forwarding_decision& decision);
  void at_target(balancer* from,
                 const std::string& name,
                 const endpoint& address,
                 uint64_t flow_number,
                 const segment& s);
  void opening_at(balancer* from,
                  target* t,
                  uint64_t flow_number,
                  const segment& s);
  void data_at(target* t, uint64_t flow_number, const segment& s);
  void work(target* t, uint64_t flow_number);
  void work_done(target* t, uint64_t flow_number);
  void to_caller(const target& t, std::function<void()> event);
  void connected(uint64_t flow_number, uint32_t sequence, flow_token token);
  /** Sends a flow's request, and again until it is answered. */
  void send_request(uint64_t flow_number, time_us wait);
  void acknowledge(uint64_t flow_number);
  void answered(uint64_t flow_number, flow_token token);
  void got_reset(uint64_t flow_number, bool from_target, const std::string& by);
  void attempt_failed(uint64_t flow_number, bool may_have_run);
  void finish(request* r, bool served);

  // emu_troubles.cpp
  void plan_events();
  void strike(const emu_event& event);
  void strike_balancer(const emu_event& event);
  void strike_store(const emu_event& event);
  void strike_target(const emu_event& event);
  void strike_zone(const emu_event& event);
  void configure(uint64_t pick);
  void withdraw(size_t zone, time_us length);
  void take_back(size_t zone, const std::string& name);
  void when_store_takes(std::function<void()> write);
  bool cut_off(size_t zone) const;
  bool disturbed_now(size_t zone) const;
  void disturb_zone(size_t zone);
  void beat(const std::string& name);
  void enter(target* t);
  void lapse_silent();
  target* add_target(const std::string& service,
                     size_t zone,
                     const endpoint& address);
  target* pick_target(uint64_t pick);
  target_entry entry_of(const target& t) const;
  void close(target* t);

  // emu_rules.cpp
  void follow(const target& t, const std::string& what);
  void violate(emu_rule rule, const std::string& what);
  bool in_touch(const balancer& b) const;
  bool undisturbed(const target& t) const;
  void check_opening(const balancer& from,
                     target* t,
                     uint64_t flow_number,
                     const segment& s);
  void check_astray(const target& t, flow* f);
  void check_configuration(const balancer& b);
  void check_service();
  void measure_imbalance();

  /** @return Whether the lead is over; starts are not counted. */
  bool started() const { return start_ != 0 && clock_.now() >= start_; }
  bool chance(double share);
  uint64_t random() { return random_(); }

  emu_options options_;
  sim_clock clock_;
  std::mt19937_64 random_;
  emu_store store_;
  bool store_down_ = false;
  bool store_silent_ = false;
  time_us store_disturbed_ = 0;
  uint64_t calls_second_ = 0;  ///< The second that is counted.
  uint64_t calls_in_second_ = 0;
  std::vector<std::unique_ptr<balancer>> balancers_;
  std::map<std::string, std::unique_ptr<target>> targets_;
  std::map<endpoint, target*> addresses_;
  std::multiset<size_t> cut_zones_;
  std::multiset<std::pair<size_t, size_t>> cut_pairs_;
  std::map<std::string, time_us> withdrawn_;  ///< Zone and since when.
  routing_entry routing_;
  std::vector<std::pair<uint64_t, time_us>> versions_;  ///< And their times.
  std::map<uint64_t, flow> flows_;
  std::map<uint64_t, request> requests_;
  uint64_t next_number_ = 1;
  uint32_t next_address_ = 1;
  time_us start_ = 0;       ///< Of the first request.
  time_us calm_since_ = 0;  ///< End of the last trouble.
  /** Openings of the first service by second and target. */
  std::map<time_us, std::map<std::string, uint64_t>> openings_;
  emu_report report_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_
