/** @file sim_world.h Simulation of a cluster in memory and in virtual time. */
#ifndef TURMERIC_TESTS_HARNESS_SIM_WORLD_H_
#define TURMERIC_TESTS_HARNESS_SIM_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "platform_store.h"
#include "sim_clock.h"
#include "sim_types.h"
#include "turmeric/coordination/caller_core_base.h"
#include "turmeric/coordination/change_commit_base.h"
#include "turmeric/coordination/control_core_base.h"
#include "turmeric/coordination/traffic_core_base.h"

namespace turmeric::tests {

constexpr int zone_count = 3;
constexpr int balancer_count = 6;
constexpr int caller_count = 8;
/** Zone number of the platform, which can be cut off like a zone. */
constexpr int platform_zone = zone_count;
/** Zone number of callers and operators, which are never cut off. */
constexpr int outside_zone = -1;

/** Runs the cores of balancers, callers and operators on a simulated network
 * with simulated targets and a platform in memory. */
class sim_world {
 public:
  explicit sim_world(sim_options options);
  ~sim_world();

  /** To be called once. @return The events in order of time. */
  const history& run();

 private:
  struct balancer {
    int number = 0;
    int zone = 0;
    bool alive = false;
    bool frozen = false;
    bool stopping = false;
    time_us leaving_since = 0;  ///< Begin of the last stop, or the crash.
    uint64_t generation = 0;    ///< Number of starts; identifies a process.
    std::unique_ptr<control_core> control;
    std::unique_ptr<traffic_core> traffic;
    /** Published by the control core, not yet taken by the traffic core. */
    std::shared_ptr<const route_table> pending_table;
    std::deque<sim_clock::event> backlog;  ///< Deliveries while frozen.
    revision in_force = 0;
    uint64_t incarnation = 0;
  };
  struct running_work {
    int balancer = 0;
    uint64_t generation = 0;  ///< Of the balancer.
    uint64_t serial = 0;      ///< Of the start_work.
    uint64_t request = 0;
    bool cancelled = false;
  };
  struct target {
    int number = 0;
    int zone = 0;
    std::string name;
    std::string service;
    bool alive = true;
    bool declared = false;  ///< Part of the service's configuration.
    bool never_warm = true;
    time_us cold_until = 0;
    uint64_t generation = 0;                   ///< Number of restarts.
    std::map<uint64_t, running_work> running;  ///< By next_work_.
    std::set<uint64_t> flows;  ///< Opened here since the last restart.
  };
  struct opaque_flow {
    flow_id flow;
    std::string service;
    int packets_left = 0;
    bool opened = false;
  };
  struct caller {
    int number = 0;
    uint64_t path = 0;  ///< Number of the path in use; a new path adds 1.
    std::unique_ptr<caller_core> core;
    std::map<uint64_t, caller_request> requests;
    std::vector<opaque_flow> flows;
    uint64_t first_working_path = 0;  ///< Answers on lower paths are lost.
  };

  // sim_world.cpp: network and timing.
  uint64_t random() { return random_(); }
  bool chance(uint32_t percent) { return random() % 100 < percent; }
  time_us delay(int from_zone, int to_zone);
  bool cut(int from_zone, int to_zone) const;
  /** Runs @p fn when a packet arrives; it may be lost or duplicated. */
  void transmit(int from_zone, int to_zone, const std::function<void()>& fn);
  void record(history_event event);
  /** Runs @p fn on a balancer, after its pause if frozen, unless the process of
   * @p generation has ended. */
  void deliver(int balancer, uint64_t generation, sim_clock::event fn);
  void record_balancer_event(int balancer, event_kind kind);
  /** Records the begin or end of a disturbance; balancer -1 means all. */
  void record_disturbance(int balancer, bool disturbed);

  // sim_balancer.cpp
  void start_balancer(int number);
  void tick_control(int number, uint64_t generation);
  void tick_traffic(int number, uint64_t generation);
  void execute(balancer& b, std::vector<control_action> actions);
  void execute(balancer& b, std::vector<traffic_action> actions);
  void send_gossip(balancer& from, const outgoing_gossip& out);
  void call_platform_from(balancer& from, const platform_call& call);
  /** Passes a table to the traffic core and records its revision. */
  void install_table(balancer& b, std::shared_ptr<const route_table> table);
  void send_traffic(balancer& from, const send_packet& out);
  void start_work_on(balancer& from, const start_work& work);
  void cancel_work_on(balancer& from, const cancel_work& work);
  void deliver_work_result(int balancer,
                           uint64_t generation,
                           int target,
                           work_result outcome);
  void graceful_stop(int number, time_us downtime);
  void finish_stop(int number, uint64_t generation, time_us downtime);
  void crash(int number, time_us downtime);
  void freeze(int number, time_us duration);
  void unfreeze(int number, uint64_t generation);

  // sim_target.cpp
  void add_target(const std::string& service, int zone, bool is_declared);
  target* target_at(endpoint address);
  bool cold(const target& t) const;
  void receive_work(int target_number,
                    const start_work& work,
                    int balancer,
                    uint64_t generation);
  void finish_work(int target_number, uint64_t generation, uint64_t key);
  void receive_datagram(int target_number, const datagram& m, int from);
  void turn_cold(int target_number);
  void restart_target(int target_number);
  std::vector<service_config> declared_services() const;

  // sim_caller.cpp
  bool fabric_avoids(const balancer& b) const;
  void start_callers();
  void next_request(int number);
  uint64_t pick_flow();
  void next_packet(int number);
  void tick_caller(int number);
  void execute(caller& c, std::vector<caller_action> actions);
  void send_from_caller(caller& c, packet body);
  void receive_at_caller(endpoint to, const packet& body);
  void record_result(caller& c, const caller_result& result);

  // sim_operator.cpp
  void call_platform(const platform_call& call,
                     int from_zone,
                     const std::function<void(platform_reply)>& reply);
  void poll_watches();
  /** Starts a commit of @p entries on the newest accepted revision. */
  void commit(std::string author, std::vector<config_entry> entries);
  void run_commit(std::shared_ptr<change_commit> pending_commit,
                  commit_step step);
  /** Commits the configuration of all services with their targets. */
  void commit_declarations();
  void set_flag(const std::string& key, bool set);
  void apply_fault(const fault& f);
  void apply_platform_fault(const fault& f);

  struct pending_watch {
    platform_call call;
    time_us deadline = 0;
    std::function<void(platform_reply)> reply;
  };

  sim_options options_;
  std::mt19937_64 random_;
  sim_clock clock_;
  history history_;
  std::vector<std::unique_ptr<balancer>> balancers_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::set<std::pair<int, int>> cuts_;  ///< From and to zone.
  platform_store store_;
  std::vector<pending_watch> watches_;
  bool watch_poll_scheduled_ = false;
  uint64_t next_work_ = 0;
  uint64_t next_request_ = 0;
  bool sending_ended_ = false;  ///< Callers submit nothing new near the end.
};

/** @return The history of a run, in order of time. */
history simulate(const sim_options& options);

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_HARNESS_SIM_WORLD_H_
