/** @file soak_site.h The surroundings of real balancers on loopback: a store
 * over HTTP, targets and callers over UDP. */
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

/** How the store treats calls. */
enum class store_mood { fine, refuses, silent, slow };

/** The store: lists and watches of three kinds over HTTP/1.1. */
class soak_store {
 public:
  soak_store();
  ~soak_store();

  /** Writes an entry's JSON. */
  void put(const std::string& kind,
           const std::string& name,
           const std::string& spec);
  void remove(const std::string& kind, const std::string& name);

  /** Changes how calls are treated; open ones are ended. */
  void set_mood(store_mood mood);

  /** Drops the history. */
  void forget();

  uint16_t port() const { return port_; }

 private:
  struct change {
    uint64_t revision;
    std::string kind;
    std::string json;  ///< An event.
  };

  void accept();
  void serve(int fd);
  std::string answer(const std::string& target, int* status);
  std::string list(const std::string& kind) const;
  std::string object(const std::string& kind, const std::string& name) const;

  file_descriptor listener_;
  uint16_t port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t revision_ = 1;
  uint64_t oldest_ = 0;
  uint64_t mood_changes_ = 0;
  store_mood mood_ = store_mood::fine;
  struct entry {
    uint64_t created;
    uint64_t revision;
    std::string spec;
  };
  std::map<std::string, std::map<std::string, entry>> entries_;
  std::vector<change> history_;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  std::vector<std::thread> sessions_;
};

/** What callers saw. */
struct soak_counts {
  uint64_t asked = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  std::vector<std::string> violations;
};

/** Targets that answer segments, and callers that open flows. */
class soak_traffic {
 public:
  /** @param port UDP port of balancers and callers.
   * @param targets Number of targets. */
  soak_traffic(uint16_t port, size_t targets, uint64_t seed);
  ~soak_traffic();

  /** Sets the balancers that the router sends to. */
  void set_balancers(std::vector<endpoint> in_rotation);

  /** Lets a target fall silent, or answer again. */
  void set_alive(size_t target, bool alive);

  /** Says since when a target drains; 0 if it does not. */
  void set_draining(size_t target, time_us since);

  /** Says since when nothing disturbs the balancers or the store; may lie
   * ahead. Bounds on draining hold from some time after it. */
  void set_calm_since(time_us since);

  /** @return Counts since the last call. */
  soak_counts take_counts();

  endpoint address_of(size_t target) const { return targets_[target].address; }
  std::string name_of(size_t target) const;

 private:
  struct target {
    endpoint address;
    file_descriptor socket;
    bool alive = true;
    time_us draining = 0;
    std::map<uint64_t, uint32_t> flows;  ///< Sequence by the flow's hash.
  };
  struct flow {
    segment head;
    time_us started = 0;
    time_us sent = 0;
    int copies = 0;
    bool connected = false;
    size_t at = 0;  ///< Target that it is open at.
  };

  void run();
  void step(time_us now);
  void open_flow(time_us now);
  void send(const segment& s);
  void at_target(size_t index, const uint8_t* data, size_t size);
  void at_caller(const uint8_t* data, size_t size, endpoint from);
  void violate(const std::string& what);

  std::mt19937_64 random_;
  uint16_t port_;
  file_descriptor caller_;
  std::vector<target> targets_;
  std::mutex mutex_;
  std::vector<endpoint> balancers_;
  std::map<uint64_t, flow> flows_;
  soak_counts counts_;
  uint16_t next_port_ = 1024;
  time_us next_open_ = 0;
  time_us calm_since_ = 0;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace turmeric::tests

#endif  // TURMERIC_TESTS_SOAK_SOAK_SITE_H_
