/** @file directory_actor.cpp CAF actor around the directory core. */
#include "directory_actor_internal.h"

#include <algorithm>
#include <caf/all.hpp>
#include <chrono>

#include "turmeric/transport/clock_func.h"

namespace turmeric {

/** Message to the actor: the seeds of changed settings. */
struct seed_update {
  std::vector<endpoint> seeds;
};

/** Message to the actor: observations of targets by the traffic thread. */
struct report_update {
  std::vector<target_report> reports;
};

}  // namespace turmeric

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::registry_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::peer_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::seed_update)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::report_update)

namespace turmeric {
namespace {

using begin_atom = caf::atom_constant<caf::atom("begin")>;
using tick_atom = caf::atom_constant<caf::atom("tick")>;
using pause_atom = caf::atom_constant<caf::atom("pause")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

caf::actor_system_config& configure(caf::actor_system_config& config) {
  // The default policy, work stealing, keeps polling. All work is done by one
  // detached actor, so there is nothing to steal.
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", size_t{1});
  return config;
}

}  // namespace

struct directory_actor::impl {
  impl(directory_options options, directory_action_handler hook)
      : core(std::move(options), system_random()),
        on_actions(std::move(hook)),
        system(configure(config)) {}

  /** Executes actions and sets a timer for the next tick of the core. */
  void execute_actions(caf::event_based_actor* self,
                       directory_core::actions actions) {
    if (!actions.empty())
      on_actions(std::move(actions));
    const time_us due = core.next_tick();
    // A pending timer that fires in time is kept. One that would fire too late
    // is not cancelled: its tick finds nothing due.
    if (due >= timer_due && timer_due > boot_now())
      return;
    timer_due = due;
    const time_us wait = std::max<time_us>(due - boot_now(), 0);
    self->delayed_send(self, std::chrono::microseconds(wait), tick_atom::value);
  }

  caf::behavior make_behavior(caf::event_based_actor* self) {
    return {
        [this, self](begin_atom) {
          execute_actions(self, core.start(boot_now()));
        },
        [this, self](tick_atom) {
          execute_actions(self, core.tick(boot_now()));
        },
        [this, self](const registry_reply& reply) {
          execute_actions(self, core.on_reply(boot_now(), reply));
        },
        [this, self](const peer_message& message) {
          execute_actions(self, core.on_peer_message(boot_now(), message));
        },
        [this](const seed_update& update) {
          core.set_seeds(boot_now(), update.seeds);
        },
        [this, self](const report_update& update) {
          execute_actions(self,
                          core.on_local_reports(boot_now(), update.reports));
        },
        [this, self](pause_atom) {
          execute_actions(self, core.on_pause(boot_now()));
        },
        [this, self](leave_atom) {
          execute_actions(self, core.leave(boot_now()));
        },
        [self](stop_atom) { self->quit(); },
    };
  }

  directory_core core;
  directory_action_handler on_actions;
  time_us timer_due = 0;  ///< Of the last timer set, in boot time.
  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
};

directory_actor::directory_actor(directory_options options,
                                 directory_action_handler on_actions)
    : impl_(std::make_unique<impl>(std::move(options), std::move(on_actions))) {
}

directory_actor::~directory_actor() {
  stop();
}

void directory_actor::start() {
  // The argument is passed to CAF rather than captured: with a function that
  // takes no further argument, CAF 0.17 binds a reference to a null pointer.
  impl_->actor = impl_->system.spawn<caf::detached>(
      [](caf::event_based_actor* self, impl* state) {
        return state->make_behavior(self);
      },
      impl_.get());
  caf::anon_send(impl_->actor, begin_atom::value);
}

void directory_actor::deliver(registry_reply reply) {
  caf::anon_send(impl_->actor, std::move(reply));
}

void directory_actor::deliver(peer_message message) {
  caf::anon_send(impl_->actor, std::move(message));
}

void directory_actor::set_seeds(std::vector<endpoint> seeds) {
  caf::anon_send(impl_->actor, seed_update{std::move(seeds)});
}

void directory_actor::deliver(std::vector<target_report> reports) {
  caf::anon_send(impl_->actor, report_update{std::move(reports)});
}

void directory_actor::on_pause() {
  caf::anon_send(impl_->actor, pause_atom::value);
}

void directory_actor::leave() {
  caf::anon_send(impl_->actor, leave_atom::value);
}

void directory_actor::stop() {
  if (!impl_->actor)
    return;
  caf::anon_send(impl_->actor, stop_atom::value);
  impl_->actor = nullptr;
}

}  // namespace turmeric
