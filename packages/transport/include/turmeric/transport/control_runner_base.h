/** @file control_runner_base.h The thread of control state: one CAF actor. */
#ifndef TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_

#include <functional>
#include <memory>

#include "turmeric/coordination/control_core_base.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

/** Receives each new routing snapshot, on the control thread. */
using route_hook = std::function<void(std::shared_ptr<const route_table>)>;

/** Drives a control core with an actor, a socket and platform calls. */
class control_runner {
 public:
  control_runner(const settings& options,
                 codec_context peers,
                 member_record self,
                 route_hook on_routes);
  ~control_runner();

  /** Binds the socket and starts the actor.
   * @return `internal` if the port is taken. */
  result<void> start();

  /** Announces that this balancer is about to stop. */
  void leave();

  /** @return A summary made by the control thread. */
  result<control_status> status();

  /** @return Whether operators told this instance to stop. */
  bool leave_requested();

  /** Ends the actor and its threads. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_
