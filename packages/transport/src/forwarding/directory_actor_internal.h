/** @file directory_actor_internal.h The control thread of the forwarding mode:
 * a CAF actor around the directory core. */
#ifndef TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_
#define TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_

#include <functional>
#include <memory>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {

/** Receives the core's actions, on the control thread. */
using directory_hook = std::function<void(directory_core::actions)>;

/** Owns the actor system, the actor and the core. */
class directory_actor {
 public:
  directory_actor(directory_options options, directory_hook on_actions);
  ~directory_actor();

  /** Starts the actor and its first calls. */
  void start();

  /** Hands over the end of a call. */
  void deliver(registry_reply reply);

  /** Hands over a checked message of a peer. */
  void deliver(peer_message message);

  /** Hands over the contacts of changed settings. */
  void set_seeds(std::vector<endpoint> seeds);

  /** Hands over what the traffic thread saw of targets. */
  void deliver(std::vector<target_report> reports);

  /** Tells that this process stood still. */
  void paused();

  /** Announces that this balancer is about to stop. */
  void leave();

  /** Ends the actor. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_
