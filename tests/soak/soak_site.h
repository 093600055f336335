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
  uint64_t opened = 0;
  uint64_t served = 0;     ///< Ended by the target's FIN.
  uint64_t timed_out = 0;  ///< Not ended within 1 s.
  uint64_t reset = 0;
  std::vector<std::string> violations;  ///< Broken guarantees, in words.
};

/** Targets that reply to segments, and callers that open flows, on one
 * thread. */
class soak_traffic {
 public:
  /** @param port UDP port of balancers and callers.
   * @param seed Of the sequence numbers that targets choose. */
  soak_traffic(uint16_t port, size_t targets, uint64_t seed);
  ~soak_traffic();

  /** Sets the balancers in rotation. Segments of callers are spread over them
   * by a flow hash, as routers do. */
  void set_balancers(std::vector<endpoint> in_rotation);

  /** Stops or resumes a target's replies. Stopping loses its flows. */
  void set_alive(size_t target, bool alive);

  /** Sets when a target's drain began (boot_now()); 0: not draining. */
  void set_draining(size_t target, time_us since);

  /** Sets the end of the last fault of balancers, registry or targets
   * (boot_now()), which may be in the future. The bound on openings at a
   * draining target applies only from some time after it. */
  void set_undisturbed_since(time_us since);

  /** @return Counts since the last call. */
  soak_counts take_counts();

  endpoint address_of(size_t target) const { return targets_[target].address; }
  std::string name_of(size_t target) const;

 private:
  struct target {
    endpoint address;
    file_descriptor socket;
    bool alive = true;
    time_us draining_since = 0;  ///< 0 if it does not drain.
    /** Sequence number of the target by flow hash. */
    std::map<uint64_t, uint32_t> flows;
  };
  struct flow {
    segment header;
    time_us opened_at = 0;
    time_us last_sent = 0;
    int retransmissions = 0;
    bool connected = false;
    size_t target_index = 0;  ///< Target that accepted it, once connected.
  };

  void run();
  void process_timers(time_us now);
  void open_flow(time_us now);
  void send(const segment& s);
  void receive_at_target(size_t index, const uint8_t* data, size_t size);
  void receive_at_caller(const uint8_t* data, size_t size, endpoint from);
  void record_violation(const std::string& what);

  std::mt19937_64 random_;
  uint16_t port_;
  file_descriptor caller_socket_;
  std::vector<target> targets_;
  std::mutex mutex_;
  std::vector<endpoint> balancers_;
  std::map<uint64_t, flow> flows_;
  soak_counts counts_;
  uint16_t next_port_ = 1024;
  time_us next_open_ = 0;
  time_us undisturbed_since_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_SITE_H_
