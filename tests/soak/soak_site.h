/** @file soak_site.h Surroundings of the balancers under test on loopback: a
 * registry over HTTP, and targets and callers over UDP. */
#ifndef TURMERIC_TESTS_SOAK_SOAK_SITE_H_
#define TURMERIC_TESTS_SOAK_SOAK_SITE_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

#include "turmeric/state/segment_type.h"
#include "turmeric/state/time_type.h"
#include "turmeric/transport/file_descriptor_base.h"

namespace turmeric::tests {

/** Fault of the registry. `refusing`: status 503; `silent`: no response;
 * `slow`: response after 250 ms. */
enum class registry_fault { none, refusing, silent, slow };

/** Stand-in of the registry: lists and watches by kind over HTTP/1.1 on a free
 * loopback port, with a thread for each connection. */
class soak_store {
 public:
  soak_store();
  ~soak_store();

  /** Creates or replaces an object and notifies open watches.
   * @param spec JSON of the object's specification. */
  void put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  /** Deletes an object if it exists. */
  void remove(const std::string& kind, const std::string& name);

  /** Sets the fault for all later calls. Open watches get no response. */
  void set_fault(registry_fault fault);

  /** Discards all watch events. Watches from an older revision get status 410,
   * open ones get no response. */
  void discard_history();

  /** Goes back to the state of @p age ago and starts a new era. Open watches
   * get no response. */
  void restore_copy(time_us age);

  uint16_t port() const { return port_; }

 private:
  struct entry {
    uint64_t created_revision;
    uint64_t revision;
    std::string spec;
  };
  using entry_map = std::map<std::string, std::map<std::string, entry>>;
  /** A state that was replaced. */
  struct past_state {
    time_us replaced_at;  ///< boot_now()
    uint64_t revision;
    entry_map entries;
  };
  struct watch_event {
    uint64_t revision;
    std::string kind;
    std::string json;  ///< As in the response of a watch.
  };

  void accept_connections();
  void serve_connection(int fd);
  /** Runs a call. A watch waits for events until its wait time is over.
   * @param status Set to the HTTP status; 0 for no response.
   * @param era Set to the era of the response.
   * @return The body of the response. */
  std::string handle_request(const std::string& path_and_query,
                             int* status,
                             uint64_t* era);
  /** Keeps the state that a change is about to replace. */
  void keep_past_state();
  std::string list_json(const std::string& kind) const;
  std::string object_json(const std::string& kind,
                          const std::string& name) const;

  file_descriptor listener_;
  uint16_t port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t era_ = 1;
  uint64_t revision_ = 1;
  uint64_t history_start_ = 0;     ///< Older watches get status 410.
  uint64_t watch_generation_ = 0;  ///< Open watches end when it changes.
  registry_fault fault_ = registry_fault::none;
  entry_map entries_;
  std::vector<past_state> past_states_;
  std::vector<watch_event> history_;
  std::atomic<bool> stopping_{false};
  std::thread accept_thread_;
  std::vector<std::thread> connection_threads_;
};

/** Results of flows as their callers saw them. */
struct soak_counts {
  uint64_t opened = 0;     ///< Short flows, also in the next three.
  uint64_t served = 0;     ///< Ended by the target's FIN.
  uint64_t timed_out = 0;  ///< Not ended within 1 s.
  uint64_t reset = 0;
  uint64_t not_run = 0;  ///< Rejected by a target whose queue was full.
  uint64_t reset_by_targets = 0;  ///< Openings, in `reset`.
  uint64_t refused = 0;      ///< Openings, also of long flows, by balancers.
  uint64_t long_opened = 0;  ///< Long flows that were connected.
  uint64_t long_requests = 0;
  uint64_t long_lost = 0;   ///< Reset, or a request without a response.
  uint64_t late = 0;        ///< Responses after the caller's first copy.
  uint64_t violations = 0;  ///< Broken guarantees.
  /** The first violations of a run, in words. */
  std::vector<std::string> violation_texts;

  soak_counts& operator+=(const soak_counts& more);
};

/** Fault injected to show that the checks find it. `reset_open_flow`: resets of
 * open flows that their targets did not send; `move_open_flow`: open flows
 * whose packets name another target; `reset_opening_copy`: resets of openings
 * that were sent again, as if a balancer refused the copies. */
enum class soak_plant {
  none,
  reset_open_flow,
  move_open_flow,
  reset_opening_copy,
  end
};

/** What callers ask for and how fast targets respond. */
struct soak_load {
  time_us open_interval = 0;  ///< Between openings of short flows.
  size_t long_flows = 0;      ///< Long flows that are open at a time.
  /** Mean time of a request in a target's slot; 0: responds at once. */
  time_us service_time = 0;
  soak_plant plant = soak_plant::none;
  /** Between further openings in load phases. Without any (0), targets take
   * all requests, no packet is lost, and there is one route. */
  time_us load_interval = 0;
  size_t target_queue = 0;  ///< Requests that wait at a target; more don't run.
  size_t target_flows = 0;  ///< Flows at a target; more openings are reset.

  bool overloads() const { return load_interval != 0; }
};

/** Targets that respond to requests, and callers, on one thread. Callers open
 * short flows with one request, and long ones with many requests and pauses
 * between them. Packets of a flow are spread over the balancers in rotation by
 * `mod`, but those of one in four long flows keep to one balancer until its
 * process is gone. With load phases, a few first copies of openings are lost,
 * and later copies go to other balancers, as any packet may. */
class soak_traffic {
 public:
  /** @param seed Of the sequence numbers that targets choose, of pauses and of
   * service times. */
  soak_traffic(size_t targets, const soak_load& load, uint64_t seed);
  ~soak_traffic();

  /** Sets the balancers in rotation. Segments of callers are spread over them
   * by a flow hash, as routers do. */
  void set_balancers(std::vector<endpoint> in_rotation);

  /** Ends the use of a balancer by flows that keep to it. */
  void on_balancer_exit(endpoint balancer);

  /** Stops or resumes a target's replies. Stopping loses its flows. */
  void set_alive(size_t target, bool alive);

  /** Sets when a target's drain began (boot_now()); 0: not draining. */
  void set_draining(size_t target, time_us since);

  /** Sets the end of the last fault of balancers, registry or targets
   * (boot_now()), which may be in the future. The bound on openings at a
   * draining target applies only from some time after it. */
  void set_undisturbed_since(time_us since);

  /** Starts or ends a load phase. */
  void set_load_phase(bool active);

  /** @return Counts since the last call. */
  soak_counts take_counts();

  /** @return How far the ports of this run are above the first ones, which
   * another soak may use. */
  uint16_t port_offset() const { return port_offset_; }
  endpoint address_of(size_t target) const { return targets_[target].address; }
  std::string name_of(size_t target) const;

 private:
  /** A flow as its target sees it. */
  struct target_flow {
    uint32_t sequence = 0;  ///< Of the next response.
    uint32_t expected = 0;  ///< Sequence number of the next request.
    bool busy = false;      ///< A request is queued or in a slot.
    bool closes = false;    ///< The next response ends the flow.
    bool not_run = false;   ///< The last request was rejected.
    time_us last_segment = 0;
    segment last_request;
  };
  struct target {
    endpoint address;
    file_descriptor socket;
    bool alive = true;
    time_us silent_until = 0;    ///< End of its last fault (boot_now()).
    time_us draining_since = 0;  ///< 0 if it does not drain.
    std::vector<time_us> slots;  ///< When each is free.
    std::map<uint64_t, target_flow> flows;  ///< By flow hash.
  };
  struct flow {
    segment header;
    time_us opened_at = 0;
    time_us last_sent = 0;
    time_us request_sent = 0;  ///< First copy of the pending request.
    time_us next_request = 0;
    int retransmissions = 0;
    bool connected = false;
    bool pending = false;     ///< A request has no response yet.
    size_t target_index = 0;  ///< Target that accepted it, once connected.
    bool long_lived = false;
    int requests_left = 1;
    endpoint balancer;        ///< Keeps to this one; none if its port is 0.
    endpoint first_balancer;  ///< Got the first copy; port 0 if that was lost.
    bool reached_target = false;
  };
  using flow_map = std::map<uint64_t, flow>;

  bool bind_callers(uint16_t port_offset);
  void run();
  void process_timers(time_us now);
  /** Opens the short flows that are due. */
  void open_due(time_us now, time_us interval, time_us* next, bool load_phase);
  void open_flow(time_us now, bool long_lived, bool load_phase);
  /** @return Whether the flow goes on. */
  bool process_flow(time_us now, flow* f);
  void send_request(time_us now, flow* f);
  void send_request_copy(time_us now, flow* f);
  void plant_fault(flow* f);
  /** Resets a flow from an address that is neither its target's nor that of
   * its first balancer. */
  void plant_reset(const flow& f, uint32_t sequence);
  /** @return The balancer that it was sent to. */
  endpoint send(const flow& f, const segment& s);
  void receive_at_target(size_t index, const uint8_t* data, size_t size);
  void receive_opening(size_t index, uint64_t key, const segment& s);
  void receive_request(size_t index, uint64_t key, const segment& s, bool last);
  void finish_requests(time_us now);
  void send_response(size_t index, const target_flow& f);
  void send_from_target(size_t index,
                        const segment& request,
                        segment reply,
                        uint8_t first_byte = 0);
  /** @return Whether the target takes no further flow. */
  bool is_full(time_us now, target* t) const;
  bool is_target(endpoint e) const;
  void receive_at_caller(const uint8_t* data, size_t size, endpoint from);
  void receive_reset(flow_map::iterator it, const segment& s, endpoint from);
  /** Checks that a balancer's reset of an opening is a true refusal. */
  void receive_refusal(const flow& f, endpoint from);
  void receive_response(flow_map::iterator it, const segment& s, bool not_run);
  void record_violation(const std::string& what);
  std::string describe(const flow& f) const;
  time_us draw_pause();
  time_us draw_service_time(size_t index);

  soak_load load_;
  std::mt19937_64 random_;
  std::mt19937_64 long_random_;  ///< Of long flows and service times.
  std::mt19937_64 loss_random_;
  uint16_t port_offset_ = 0;
  std::vector<file_descriptor> caller_sockets_;
  std::vector<target> targets_;
  std::mutex mutex_;
  std::vector<endpoint> balancers_;
  flow_map flows_;
  std::unordered_set<uint64_t> refused_;  ///< By balancers; flow hashes.
  /** Requests in slots by their end: target and flow hash. */
  std::multimap<time_us, std::pair<size_t, uint64_t>> work_;
  soak_counts counts_;
  size_t violations_described_ = 0;
  uint64_t requests_to_plant_ = 0;
  size_t open_long_flows_ = 0;
  uint16_t next_port_ = 1024;
  time_us next_open_ = 0;
  time_us next_long_open_ = 0;
  time_us next_load_open_ = 0;
  bool load_phase_ = false;
  time_us next_scan_ = 0;
  time_us undisturbed_since_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/** Lowest ports of the run's sockets; port_offset() is added to each. */
constexpr uint16_t first_packet_port = 18172;
constexpr uint16_t first_ready_port = 18167;
constexpr uint16_t first_peer_port = 17720;
constexpr uint16_t first_metrics_port = 17600;
constexpr uint16_t first_target_port = 18080;

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_SITE_H_
