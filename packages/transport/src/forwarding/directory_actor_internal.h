/** @file directory_actor_internal.h The control thread of the forwarding mode:
 * a CAF actor around the directory core. */
#ifndef TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_
#define TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_

#include <functional>
#include <memory>

#include "turmeric/coordination/directory_core_base.h"

namespace turmeric {

/** Executes the core's actions. Called on the control thread. */
using directory_action_handler = std::function<void(directory_core::actions)>;

/** Owns the actor system, the actor and the core. Its methods return at once;
 * the actor handles their input on the control thread. */
class directory_actor {
 public:
  directory_actor(directory_options options,
                  directory_action_handler on_actions);
  ~directory_actor();

  /** Starts the actor, which makes its first calls to the registry. */
  void start();

  /** Takes the reply to a registry call, also of one that failed. */
  void deliver(registry_reply reply);

  /** Takes a decoded and verified message of a peer. */
  void deliver(peer_message message);

  /** Replaces the seeds after the settings changed. */
  void set_seeds(std::vector<endpoint> seeds);

  /** Takes observations of targets by the traffic thread. */
  void deliver(std::vector<target_report> reports);

  /** Called after a pause of this process was detected. */
  void on_pause();

  /** Announces to the peers that this balancer is about to stop. */
  void leave();

  /** Ends the actor. */
  void stop();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_DIRECTORY_ACTOR_INTERNAL_H_
