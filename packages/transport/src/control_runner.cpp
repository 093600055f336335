/** @file control_runner.cpp CAF actor around the control core. */
#include "turmeric/transport/control_runner_base.h"

#include <fmt/format.h>

#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <thread>

#include "turmeric/state/log_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/platform_client_func.h"
#include "turmeric/transport/udp_base.h"

namespace turmeric {

/** Message to the actor: a decoded control datagram. */
struct received_gossip {
  endpoint from;
  gossip_message message;
};

}  // namespace turmeric

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::received_gossip)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::platform_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(turmeric::control_status)

namespace turmeric {
namespace {

using tick_atom = caf::atom_constant<caf::atom("tick")>;
using leave_atom = caf::atom_constant<caf::atom("leave")>;
using status_atom = caf::atom_constant<caf::atom("status")>;
using stop_atom = caf::atom_constant<caf::atom("stop")>;

constexpr auto tick_interval = std::chrono::milliseconds(20);
constexpr auto status_timeout = std::chrono::seconds(2);
/** A watch and one other platform call may be in progress at once. */
constexpr size_t platform_threads = 2;
constexpr int drop_logs_per_second = 5;

/** Parses the list of seeds, separated by commas; skips invalid addresses. */
std::vector<endpoint> parse_seeds(const settings& s) {
  std::vector<endpoint> out;
  std::string rest = s.text(setting::network_seeds);
  while (!rest.empty()) {
    const size_t comma = rest.find(',');
    auto parsed = parse_endpoint(rest.substr(0, comma));
    if (parsed)
      out.push_back(parsed.value());
    rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
  }
  return out;
}

control_options control_options_from(const settings& s) {
  control_options o;
  o.members.probe_interval = s.duration(setting::membership_interval);
  o.members.probe_timeout = s.duration(setting::membership_probe_timeout);
  o.members.suspicion_timeout = s.duration(setting::membership_suspicion);
  o.members.seeds = parse_seeds(s);
  o.call_timeout = s.duration(setting::platform_timeout);
  o.watch_timeout = s.duration(setting::platform_watch);
  return o;
}

}  // namespace

struct control_runner::impl {
  impl(const settings& options,
       codec_context peer_context,
       member_record self,
       route_hook hook)
      : context(std::move(peer_context)),
        gossip_address(self.gossip),
        platform_address_text(options.text(setting::platform_address)),
        core(control_options_from(options), std::move(self), system_random()),
        on_routes(std::move(hook)),
        socket(loop),
        platform_workers(platform_threads),
        drop_log_limiter(drop_logs_per_second),
        system(config) {}

  void execute(std::vector<control_action> actions) {
    for (auto& action : actions)
      std::visit([this](auto& a) { execute_one(a); }, action);
    leave_requested = core.leave_requested();
  }

  void execute_one(outgoing_gossip& action) {
    socket.send(action.to, encode(context, action.message));
  }

  void execute_one(publish_routes& action) {
    log(log_category::control, log_level::info, "routing snapshot published",
        {{"revision", fmt::format("{}", action.table->index->in_force)},
         {"members", fmt::format("{}", action.table->members.size())}});
    on_routes(std::move(action.table));
  }

  void execute_one(platform_call& action) {
    asio::post(platform_workers, [this, call = std::move(action)] {
      platform_reply reply;
      auto address = parse_endpoint(platform_address_text);
      if (address)
        reply = call_platform(address.value(), call);
      reply.id = call.id;
      if (reply.status == platform_status::unavailable) {
        log(log_category::platform, log_level::warning,
            "platform call failed: platform unavailable",
            {{"operation", std::string(name_of(call.op))}});
      }
      caf::anon_send(actor, std::move(reply));
    });
  }

  void on_datagram(endpoint from, const char* data, size_t size) {
    auto decoded = decode_gossip(context, data, size);
    if (decoded) {
      caf::anon_send(actor, received_gossip{from, std::move(decoded.value())});
      return;
    }
    if (drop_log_limiter.allow(steady_now() / us_per_s)) {
      log(log_category::control, log_level::warning,
          "invalid control datagram dropped",
          {{"from", to_text(from)},
           {"reason", to_text(decoded.error())},
           {"suppressed",
            fmt::format("{}", drop_log_limiter.take_suppressed())}});
    }
  }

  caf::behavior make_behavior(caf::event_based_actor* self) {
    self->delayed_send(self, tick_interval, tick_atom::value);
    return {
        [this, self](tick_atom) {
          execute(core.tick(steady_now()));
          self->delayed_send(self, tick_interval, tick_atom::value);
        },
        [this](const received_gossip& arrival) {
          execute(core.receive(steady_now(), arrival.from, arrival.message));
        },
        [this](const platform_reply& reply) {
          execute(core.on_platform_reply(steady_now(), reply));
        },
        [this](leave_atom) { execute(core.leave(steady_now())); },
        [this](status_atom) { return core.status(steady_now()); },
        [self](stop_atom) { self->quit(); },
    };
  }

  codec_context context;
  endpoint gossip_address;
  std::string platform_address_text;
  control_core core;
  route_hook on_routes;
  std::atomic<bool> leave_requested{false};
  asio::io_context loop;
  udp_socket socket;
  std::thread receiver;
  asio::thread_pool platform_workers;
  log_limiter drop_log_limiter;
  caf::actor_system_config config;
  caf::actor_system system;
  caf::actor actor;
};

control_runner::control_runner(const settings& options,
                               codec_context peer_context,
                               member_record self,
                               route_hook on_routes)
    : impl_(std::make_unique<impl>(options,
                                   std::move(peer_context),
                                   std::move(self),
                                   std::move(on_routes))) {}

control_runner::~control_runner() {
  stop();
}

result<void> control_runner::start() {
  auto bound = impl_->socket.bind(impl_->gossip_address);
  if (!bound)
    return bound;
  impl* state = impl_.get();
  // Passed as an argument rather than captured: if there are no arguments, CAF
  // 0.17 binds a reference through a null pointer.
  state->actor = state->system.spawn<caf::detached>(
      [](caf::event_based_actor* self, impl* own) {
        return own->make_behavior(self);
      },
      state);
  state->socket.start([state](endpoint from, const char* data, size_t size) {
    state->on_datagram(from, data, size);
  });
  state->receiver = std::thread([state] { state->loop.run(); });
  return boost::outcome_v2::success();
}

void control_runner::leave() {
  caf::anon_send(impl_->actor, leave_atom::value);
}

result<control_status> control_runner::status() {
  caf::scoped_actor self{impl_->system};
  result<control_status> out =
      fail(result_code::internal,
           "control thread did not return its status within 2 s");
  self->request(impl_->actor, status_timeout, status_atom::value)
      .receive([&](const control_status& s) { out = s; },
               [](const caf::error&) {});
  return out;
}

bool control_runner::leave_requested() {
  return impl_->leave_requested;
}

void control_runner::stop() {
  if (!impl_->receiver.joinable())
    return;
  impl_->loop.stop();
  impl_->receiver.join();
  caf::anon_send(impl_->actor, stop_atom::value);
  impl_->platform_workers.stop();
  impl_->platform_workers.join();
  impl_->actor = nullptr;
}

}  // namespace turmeric
