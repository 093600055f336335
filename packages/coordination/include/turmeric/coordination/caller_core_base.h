/** @file caller_core_base.h A careful client of services behind balancers.
 *
 * Fetches permits, sends a request under one permit at a time, asks again for
 * lost packets, retries only what may be repeated or provably did not run,
 * within a retry budget. Does no I/O.
 */
#ifndef TURMERIC_COORDINATION_CALLER_CORE_BASE_H_
#define TURMERIC_COORDINATION_CALLER_CORE_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** Timing and bounds of a caller. */
struct caller_options {
  time_us first_rto = 100 * us_per_ms;  ///< First retransmission.
  time_us max_rto = 250 * us_per_ms;
  time_us silent_path = 1500 * us_per_ms;  ///< Opens a new path after this.
  time_us least_time = 300 * us_per_ms;    ///< No retry with less time left.
  bool respect_retry_after = true;         ///< Comes back when it was told to.
  double retry_ratio = 0.2;                ///< Retries earned by each request.
  double retry_burst = 20.0;               ///< Retries at hand at the most.
};

/** A request as the application sees it. */
struct caller_request {
  request_id id;
  service_id service;
  flow_id flow;
  bool repeatable = false;
  work_class work = work_class::interactive;
  std::string body;
  time_us deadline = 0;
};

/** The one final result of a request. */
struct caller_result {
  request_id id;
  result_code code = result_code::ok;
  std::string body;
  uint32_t attempts = 0;        ///< Permits used.
  uint32_t retry_after_ms = 0;  ///< When to come back after a refusal.
};

/** Sends a packet to the fabric. */
struct caller_send {
  packet body;
};

/** Opens a new local path because the old one went silent. What still arrives
 * on the old one is handed in as before. */
struct caller_new_path {};

/** What the adapters must do for the caller. */
using caller_action = std::variant<caller_send, caller_result, caller_new_path>;

/** Runs the requests of one caller; see the file's comment. */
class caller_core {
 public:
  caller_core(caller_options options, random_source random);

  /** Starts a request. @pre Its id was not used before. */
  std::vector<caller_action> submit(time_us now, caller_request request);

  /** Gives up a request; its result still comes. */
  std::vector<caller_action> cancel(time_us now, request_id id);

  /** Handles a packet from the fabric. */
  std::vector<caller_action> receive(time_us now, const packet& body);

  /** Runs the timers. */
  std::vector<caller_action> tick(time_us now);

  /** @return Whether no request is open. */
  bool idle() const { return open_.empty(); }

 private:
  using actions = std::vector<caller_action>;
  enum class stage : uint8_t { asking, sent, backing_off };
  struct call {
    caller_request request;
    stage at = stage::asking;
    std::optional<permit> right;
    time_us submitted = 0;
    time_us sent = 0;
    time_us rto = 0;
    time_us first_sent = 0;  ///< Oldest unanswered packet.
    time_us resume = 0;      ///< End of the back-off.
    uint32_t attempts = 0;
    bool maybe_ran = false;
    result_code last_refusal = result_code::deadline_passed;
    uint32_t retry_after_ms = 0;
    std::map<uint16_t, std::string> parts;
    uint16_t parts_expected = 0;
  };
  struct spare_permit {
    permit right;
    time_us received = 0;
  };
  struct flow_key {
    service_id service;
    flow_id flow;
    bool operator<(const flow_key& o) const {
      return service != o.service ? service < o.service : flow < o.flow;
    }
  };

  void ask(time_us now, call* c, actions* out);
  void send_run(time_us now, call* c, actions* out);
  void transmit(time_us now, call* c, actions* out);
  void on_grant(time_us now, const permit_grant& m, actions* out);
  void on_answer(time_us now, const answer_part& m, actions* out);
  void on_pending(time_us now, const request_pending& m);
  void keep_spare(time_us now, const call& c, const answer_part& m);
  void ended(time_us now,
             call* c,
             const answer_part& m,
             std::string body,
             actions* out);
  void retry_or_finish(time_us now,
                       call* c,
                       result_code code,
                       time_us retry_after,
                       actions* out);
  void finish(const call& c, result_code code, std::string body, actions* out);
  bool spend_retry();

  caller_options options_;
  random_source random_;
  std::map<request_id, call> open_;
  std::map<flow_key, spare_permit> spares_;
  std::map<flow_key, target_id> flow_targets_;
  double retries_;
  time_us path_opened_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CALLER_CORE_BASE_H_
