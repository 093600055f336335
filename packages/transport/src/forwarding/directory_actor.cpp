/** @file directory_actor.cpp CAF actor around the directory core. */
#include "directory_actor_internal.h"

#include <algorithm>
#include <caf/all.hpp>
#include <chrono>

#include "turmeric/transport/clock_func.h"

namespace turmeric {

/** Contacts of changed settings on their way to the actor. */
struct seed_update {
  std::vector<endpoint> seeds;
};

/** What the traffic thread saw, on its way to the actor. */
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

caf::actor_system_config& prepared(caf::actor_system_config& config) {
  // The default policy polls for work to steal; here all work is in one
  // detached actor.
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", size_t{1});
  return config;
}

}  // namespace

struct directory_actor::impl {
  impl(directory_options options, directory_hook hook)
      : core(std::move(options), system_random()),
        on_actions(std::move(hook)),
        system(prepared(config)) {}

  /** Executes actions and sets the timer that is due next. */
  void carry_out(caf::event_based_actor* self,
                 directory_core::actions actions) {
    if (!actions.empty())
      on_actions(std::move(actions));
    const time_us due = core.next_tick();
    // An earlier timer that is still open finds nothing to do.
    if (due >= armed_for && armed_for > boot_now())
      return;
    armed_for = due;
    const time_us wait = std::max<time_us>(due - boot_now(), 0);
    self->delayed_send(self, std::chrono::microseconds(wait), tick_atom::value);
  }

  caf::behavior make_behavior(caf::event_based_actor* self) {
    return {
        [this, self](begin_atom) { carry_out(self, core.start(boot_now())); },
        [this, self](tick_atom) { carry_out(self, core.tick(boot_now())); },
        [this, self](const registry_reply& reply) {
          carry_out(self, core.on_reply(boot_now(), reply));
        },
        [this, self](const peer_message& message) {
          carry_out(self, core.on_peer_message(boot_now(), message));
        },
        [this](const seed_update& update) {
          core.set_seeds(boot_now(), update.seeds);
        },
        [this, self](const report_update& update) {
          carry_out(self, core.on_local_reports(boot_now(), update.reports));
        },
        [this, self](pause_atom) {
          carry_out(self, core.on_pause(boot_now()));
        },
        [this, self](leave_atom) { carry_out(self, core.leave(boot_now())); },
        [self](stop_atom) { self->quit(); },
    };
  }

  directory_core core;
  directory_hook on_actions;
  time_us armed_for = 0;
  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
};

directory_actor::directory_actor(directory_options options,
                                 directory_hook on_actions)
    : impl_(std::make_unique<impl>(std::move(options), std::move(on_actions))) {
}

directory_actor::~directory_actor() {
  stop();
}

void directory_actor::start() {
  // The argument is passed to CAF rather than captured: without any, CAF 0.17
  // binds a reference to an empty pointer.
  impl_->actor = impl_->system.spawn<caf::detached>(
      [](caf::event_based_actor* self, impl* own) {
        return own->make_behavior(self);
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

void directory_actor::paused() {
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
