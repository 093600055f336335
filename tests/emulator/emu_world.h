/** @file emu_world.h An installation in memory and virtual time: callers,
 * routers, balancers with the production cores, targets and the store. */
#ifndef TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_
#define TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

#include "emu_store.h"
#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"

namespace turmeric::tests {

/** Runs one emulation; see emu_options. */
class emu_world {
 public:
  explicit emu_world(emu_options options);
  ~emu_world();

  /** Runs to the end. @return Its results. */
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
    bool refused_by_store = false;  ///< By the store.
    bool isolated = false;          ///< Reachable by callers only.
    int lossy_links = 0;            ///< Disruptions by which it loses packets.
    int slowdowns = 0;              ///< Disruptions by which it is slow.
    time_us busy_until = 0;         ///< While it is slow.
    int failed_probes = 0;
    uint64_t generation = 0;  ///< Changes at start and end of the process.
    time_us disturbed_at = 0;
    uint64_t routing_version = 0;
    std::unique_ptr<directory_core> directory;
    std::unique_ptr<forwarding_core> forwarding;
    std::shared_ptr<const forwarding_table> table;
    std::deque<sim_clock::event> backlog;  ///< While it is frozen.
    /** Flows whose opening is held, and when it arrived. */
    std::unordered_map<flow_key, std::pair<uint64_t, time_us>, flow_key_hash>
        held;
    time_us deferred_tick = 0;  ///< Next tick for these.
  };
  struct target_flow {
    uint32_t sequence = 0;  ///< Of the target's end.
    bool open = false;
    bool served = false;
    bool held = false;              ///< Counted in `held_flows`.
    uint32_t request_sequence = 0;  ///< Of the last request.
  };
  struct target {
    std::string name;
    std::string service;
    size_t zone = 0;
    endpoint address;
    bool alive = true;
    bool host_resets = false;  ///< Its host answers with resets.
    bool draining = false;
    bool sends_heartbeats = true;  ///< Sends heartbeats.
    time_us cold_until = 0;
    time_us disturbed_at = 0;
    time_us closed_at =
        INT64_MAX;  ///< When the store got its drain or removal.
    time_us last_heartbeat = 0;
    time_us started = 0;      ///< Of its process.
    bool must_write = false;  ///< The store may have lost its entry's value.
    int slowdowns = 0;        ///< Disruptions by which its work takes longer.
    int silences = 0;         ///< Disruptions by which it gets no packets.
    double speed = 1.0;
    uint32_t busy_slots = 0;
    size_t held_flows = 0;  ///< Flows that await their request or its answer.
    std::deque<std::function<void()>> queued_work;
    std::map<uint64_t, target_flow> flows;  ///< By the flow's number.
    std::deque<time_us> cold_openings;      ///< While it is cold.
  };
  /** One attempt of a request: one flow. */
  struct flow {
    uint64_t number = 0;
    uint64_t request = 0;
    size_t zone = 0;
    segment header;  ///< The caller's ports and addresses.
    flow_token token = 0;
    bool ended = false;
    bool connected = false;
    bool answered = false;
    uint32_t acknowledged = 0;
    uint32_t request_sequence = 0;  ///< Of the request that is under way.
    int request_copies = 0;         ///< Of that request, sent so far.
    uint64_t stream = 0;            ///< 0 for a flow of one request.
    target* open_target = nullptr;
    std::string open_target_name;
    int misrouted_segments = 0;  ///< Consecutive segments at other targets.
  };
  struct request {
    uint64_t number = 0;
    size_t class_index = 0;
    size_t zone = 0;
    time_us issued_at = 0;
    int attempts = 0;
    bool ended = false;
    bool may_have_run = false;
    uint64_t stream = 0;  ///< Its stream's number; 0 if it has none.
    size_t caller = 0;    ///< 1: the greedy one; 0: has no address of its own.
  };
  /** A caller with a long flow. */
  struct stream {
    size_t zone = 0;
    uint64_t flow = 0;  ///< Its open flow; 0 if there is none.
  };

  // emu_world.cpp: set-up, balancers, calls to the store.
  void set_up();
  void add_idle_routes();
  void start_balancer(balancer* b);
  void terminate_balancer(balancer* b);
  void stop_balancer(balancer* b);
  void execute(balancer* b, directory_core::actions actions);
  void execute_one(balancer* b, const registry_call& call);
  void execute_one(balancer* b, const send_peer_message& message);
  void execute_one(balancer* b, const publish_table& published);
  void execute_one(balancer* b, const reported_targets& reported);
  void forward_reports(balancer* b);
  void schedule_directory_tick(balancer* b);
  void schedule_forwarding_tick(balancer* b);
  void run_on_balancer(balancer* b, sim_clock::event event);
  /** Runs an event after those that wait; drops it if too many do. */
  void run_on_slow_balancer(balancer* b, sim_clock::event event);
  void probe_all();
  balancer* choose_balancer(size_t zone, const flow_key& key);
  bool reachable(size_t a_zone, size_t b_zone) const;
  bool store_reachable_from(const balancer& b) const;
  time_us delay(size_t a_zone, size_t b_zone) const;
  registry_reply with_injected_fault(registry_reply reply, directory_kind kind);

  // emu_traffic.cpp: callers and targets.
  void issue_request();
  /** @return The weight of a request class at this time. */
  double weight_of(const emu_request_class& kind) const;
  /** Chooses the caller of a request, and thereby its zone. */
  void choose_caller(request* r);
  void start_attempt(uint64_t request_number);
  void send_opening(uint64_t flow_number, uint32_t copy);
  void send_segment(const flow& f, segment s);
  /** Executes the decisions on openings whose wait has ended. */
  void send_deferred(balancer* b);
  void apply_decision(balancer* b,
                      uint64_t flow_number,
                      time_us arrived,
                      segment s,
                      const forwarding_decision& decision);
  void receive_at_balancer(balancer* b,
                           uint64_t flow_number,
                           time_us arrived,
                           segment s);
  void log_followed_report(const balancer& b, const target_report& report);
  void log_followed_placement(const balancer& b,
                              const forwarding_decision& decision);
  void receive_at_target(balancer* from,
                         const std::string& name,
                         const endpoint& address,
                         uint64_t flow_number,
                         const segment& s);
  void receive_opening(balancer* from,
                       target* t,
                       uint64_t flow_number,
                       const segment& s);
  /** Counts a flow of a target as held, or no longer. */
  static void set_held(target* t, uint64_t flow_number, bool held);
  /** Resets an opening for which the target is too full.
   * @return Whether it did. */
  bool reset_if_full(const target& t, uint64_t flow_number);
  void receive_data(target* t, uint64_t flow_number, const segment& s);
  void start_work(target* t, uint64_t flow_number);
  void finish_work(target* t, uint64_t flow_number);
  void schedule_at_caller(const target& t, std::function<void()> event);
  void on_connected(uint64_t flow_number, uint32_t sequence, flow_token token);
  /** Sends a flow's request and retransmits it until it is answered. */
  void send_request(uint64_t flow_number, uint32_t sequence, time_us wait);
  /** Starts the work of a request that has arrived. */
  void accept_request(target* t, uint64_t flow_number);
  void send_acknowledgement(uint64_t flow_number);
  void on_answer(uint64_t flow_number, flow_token token, uint32_t sequence);
  /** @param by Name of the target whose host sends the reset, or of the
   * balancer. */
  void on_reset(uint64_t flow_number, const std::string& by);
  void fail_attempt(uint64_t flow_number, bool may_have_run);
  void finish_request(request* r, bool served);

  // emu_streams.cpp: callers with long flows.
  void start_streams();
  void await_stream_request(uint64_t number);
  void issue_stream_request(uint64_t number);
  void on_stream_answer(flow* f, flow_token token);
  void count_stream_request(const request& r, bool served, bool in_time);

  // emu_troubles.cpp
  void schedule_events();
  void start_event(const emu_event& event);
  void disrupt_balancer(const emu_event& event);
  void disrupt_quality(const emu_event& event);
  void disrupt_store(const emu_event& event);
  void restore_store(const emu_event& event);
  void write_lost_objects();
  /** Records when all balancers have followed a restore.
   * @param calls_before Calls to the store before it. */
  void await_new_era(uint64_t era, time_us restored_at, uint64_t calls_before);
  void disrupt_target(const emu_event& event);
  void disrupt_zone(const emu_event& event);
  void change_routing(uint64_t pick);
  void withdraw_zone(size_t zone, time_us length);
  void end_withdrawal(size_t zone, const std::string& name);
  void write_when_store_available(std::function<void()> write);
  bool zone_cut_off(size_t zone) const;
  bool zone_disturbed(size_t zone) const;
  void mark_zone_disturbed(size_t zone);
  void send_heartbeat(const std::string& name);
  void write_target_entry(target* t);
  void expire_silent_targets();
  target* add_target(const std::string& service,
                     size_t zone,
                     const endpoint& address);
  target* pick_target(uint64_t pick);
  target_entry entry_of(const target& t) const;
  void mark_closed(target* t);

  // emu_rules.cpp
  void log_followed(const target& t, const std::string& what);
  void record_violation(emu_invariant rule, const std::string& what);
  bool must_be_current(const balancer& b) const;
  bool undisturbed(const target& t) const;
  void check_opening(const balancer& from,
                     target* t,
                     uint64_t flow_number,
                     const segment& s);
  void check_misrouted(const target& t, flow* f);
  void check_configuration(const balancer& b);
  void check_service();
  void measure_imbalance();

  /** @return Whether the warm-up is over; calls and messages before are
   * not counted. */
  bool warm_up_over() const {
    return first_request_at_ != 0 && clock_.now() >= first_request_at_;
  }
  bool chance(double share);
  uint64_t random() { return random_(); }

  emu_options options_;
  sim_clock clock_;
  std::mt19937_64 random_;
  emu_store store_;
  bool store_down_ = false;
  bool store_silent_ = false;
  time_us store_disturbed_at_ = 0;
  time_us store_restored_at_ = 0;
  uint64_t counted_second_ = 0;  ///< Second that calls_in_second_ counts.
  uint64_t calls_in_second_ = 0;
  std::vector<std::unique_ptr<balancer>> balancers_;
  std::map<std::string, std::unique_ptr<target>> targets_;
  std::map<endpoint, target*> addresses_;
  std::multiset<size_t> cut_zones_;
  std::multiset<std::pair<size_t, size_t>> cut_pairs_;
  std::map<std::string, time_us> withdrawn_since_;  ///< Zone and since when.
  routing_entry routing_;
  size_t first_extra_route_ = 0;  ///< Of the routes that are added and removed.
  std::vector<std::pair<uint64_t, time_us>>
      routing_versions_;  ///< Version, time of the write.
  std::map<uint64_t, flow> flows_;
  std::map<uint64_t, request> requests_;
  std::map<uint64_t, stream> streams_;
  uint64_t next_number_ = 1;
  uint32_t next_address_ = 1;
  std::map<size_t, uint32_t> caller_ports_;        ///< Used so far, by caller.
  std::map<std::string, size_t> targets_started_;  ///< By service.
  time_us first_request_at_ = 0;                   ///< Of the first request.
  time_us last_event_end_ = 0;  ///< End of the last disruption.
  /** Openings of the first service by second and target. */
  std::map<time_us, std::map<std::string, uint64_t>> openings_by_second_;
  emu_report report_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_EMULATOR_EMU_WORLD_H_
