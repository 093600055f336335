/** @file control_runner_base.h The control thread of the requests mode. */
#ifndef TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_
#define TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_

#include <functional>
#include <memory>

#include "turmeric/coordination/control_core_base.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/settings_base.h"

namespace turmeric {

/** Called on the control thread with each new routing snapshot. */
using route_hook = std::function<void(std::shared_ptr<const route_table>)>;

/** Runs a control core in a CAF actor with a thread of its own, and carries out
 * its actions: sends gossip datagrams, calls the platform and publishes routing
 * snapshots. */
class control_runner {
 public:
  /** @param peer_context Signs and checks gossip datagrams. */
  control_runner(const settings& options,
                 codec_context peer_context,
                 member_record self,
                 route_hook on_routes);
  ~control_runner();

  /** Binds the socket and starts the actor.
   * @return `internal` if the gossip port cannot be bound. */
  result<void> start();

  /** Marks this balancer as leaving and notifies some other balancers. Does not
   * wait. */
  void leave();

  /** @return The status of the control core; `internal` if the control thread
   * does not answer within 2 s. */
  result<control_status> status();

  /** @return Whether the configuration in force requests that this instance
   * leaves. Updated after each event of the control thread. */
  bool leave_requested();

  /** Ends the actor and its threads. Waits for platform calls in progress. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_CONTROL_RUNNER_BASE_H_
