/** @file caller_core_base.h Client of services behind balancers.
 *
 * Requests permits, sends a request under one permit at a time and retransmits
 * until the answer is complete. Retries only a request that is repeatable or
 * provably did not run, within a retry budget. Does no I/O.
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

struct caller_options {
  time_us initial_rto = 100 * us_per_ms;  ///< First retransmission timeout.
  time_us max_rto = 250 * us_per_ms;      ///< The timeout doubles up to this.
  /** Time without a packet for a request after which a new path is opened. */
  time_us path_timeout = 1500 * us_per_ms;
  /** Least time between a retry and the deadline of the request. */
  time_us min_retry_time = 300 * us_per_ms;
  bool respect_retry_after = true;  ///< If false, retries at once.
  double retry_ratio = 0.2;         ///< Retry tokens added by each request.
  double retry_burst = 20.0;        ///< Most retry tokens, also at the start.
};

struct caller_request {
  request_id id;
  service_id service;
  flow_id flow;
  bool repeatable = false;
  request_priority work = request_priority::interactive;
  std::string body;
  time_us deadline = 0;  ///< Absolute, on the clock of `now`.
};

/** The one final result of a request. */
struct caller_result {
  request_id id;
  result_code code = result_code::ok;
  std::string body;
  uint32_t attempts = 0;        ///< Permits used.
  uint32_t retry_after_ms = 0;  ///< Of the last failed attempt; 0 if none.
};

/** Sends a packet to the balancers. */
struct caller_send {
  packet body;
};

/** Opens a new local path because the old one timed out. Packets that arrive on
 * the old one still go to receive(). */
struct caller_new_path {};

/** Work for the adapters of a caller_core. */
using caller_action = std::variant<caller_send, caller_result, caller_new_path>;

/** Runs the requests of one caller; see the file comment. */
class caller_core {
 public:
  caller_core(caller_options options, random_source random);

  /** @pre No earlier request had the same id. */
  std::vector<caller_action> submit(time_us now, caller_request request);

  /** Cancels a request, unless it has ended. Its result still comes: at once if
   * the request is not sent, else when the balancer answers or the deadline
   * passes. */
  std::vector<caller_action> cancel(time_us now, request_id id);

  /** Ignores packets of earlier attempts. */
  std::vector<caller_action> receive(time_us now, const packet& body);

  /** Handles deadlines, backoff and retransmissions that are due. */
  std::vector<caller_action> tick(time_us now);

  /** Whether no request is in flight. */
  bool idle() const { return calls_.empty(); }

 private:
  using actions = std::vector<caller_action>;
  enum class call_state : uint8_t {
    awaiting_permit,
    awaiting_result,
    backing_off
  };
  struct call {
    caller_request request;
    call_state state = call_state::awaiting_permit;
    std::optional<permit> current_permit;
    time_us submitted = 0;
    time_us last_sent = 0;
    time_us rto = 0;
    time_us last_progress = 0;  ///< Last change of state or packet received.
    time_us retry_at = 0;       ///< End of the backoff.
    uint32_t attempts = 0;
    bool may_have_run = false;
    result_code last_refusal = result_code::deadline_passed;
    uint32_t retry_after_ms = 0;
    std::map<uint16_t, std::string> parts;
    uint16_t parts_expected = 0;
  };
  struct cached_permit {
    permit unused;
    time_us received = 0;
  };
  struct flow_key {
    service_id service;
    flow_id flow;
    bool operator<(const flow_key& o) const {
      return service != o.service ? service < o.service : flow < o.flow;
    }
  };

  void request_permit(time_us now, call* c, actions* out);
  void send_run(time_us now, call* c, actions* out);
  void transmit(time_us now, call* c, actions* out);
  void on_grant(time_us now, const permit_grant& m, actions* out);
  void on_answer(time_us now, const answer_part& m, actions* out);
  void on_pending(time_us now, const request_pending& m);
  void cache_permit(time_us now, const call& c, const answer_part& m);
  void on_final_result(time_us now,
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
  bool take_retry_token();

  caller_options options_;
  random_source random_;
  std::map<request_id, call> calls_;
  std::map<flow_key, cached_permit> cached_permits_;
  std::map<flow_key, target_id> last_targets_;
  double retry_tokens_;
  time_us path_opened_ = 0;
};

}  // namespace turmeric

#endif  // TURMERIC_COORDINATION_CALLER_CORE_BASE_H_
