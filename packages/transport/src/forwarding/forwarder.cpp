/** @file forwarder.cpp Event loop of the forwarding mode. */
#include "turmeric/transport/forwarder_base.h"

#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

#include "directory_actor_internal.h"
#include "forwarder_pages.h"
#include "forwarder_settings.h"
#include "turmeric/platform/registry_func.h"
#include "turmeric/protocol/fragment_base.h"
#include "turmeric/state/log_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/http_base.h"
#include "turmeric/transport/segment_runner_base.h"

namespace turmeric {
namespace {

namespace asio_ns = boost::asio;
using udp = asio_ns::ip::udp;

/** The process ends this long before the platform would kill it. */
constexpr time_us stop_margin = 700 * us_per_ms;
/** How often a stopping process looks whether it is still needed. */
constexpr auto stop_check_interval = std::chrono::milliseconds(100);
/** Failed probes after which routers take an instance out of rotation. */
constexpr int probes_to_leave = 2;
/** Without packets for this long after that, no router sends any more: the
 * callers' first repetition comes after 200 ms, and routers have some delay. */
constexpr time_us quiet_to_stop = 500 * us_per_ms;
/** How often the settings file is looked at; it may change unannounced. */
constexpr auto settings_check_interval = std::chrono::seconds(2);
constexpr size_t max_datagram = 65536;
constexpr int drop_logs_per_second = 5;
constexpr int http_unavailable = 503;
constexpr int http_not_found = 404;

/** Everything of one running balancer. */
class forwarder {
 public:
  forwarder(const settings& options,
            std::string settings_path,
            settings_reader read_again,
            codec_context peers,
            const forwarder_addresses& addresses);

  result<void> run();

 private:
  result<void> start();
  result<void> bind_peers();
  void receive_peers();
  void on_datagram(const udp::endpoint& from, size_t size);
  void execute(directory_core::actions actions);
  void execute_one(const registry_call& call);
  void execute_one(const send_peer_message& message);
  void execute_one(publish_table& publication);
  void execute_one(const directory_log_line& note);
  void execute_one(const reported_targets& told);
  http_response on_get(const std::string& target);
  http_response on_metrics_get(const std::string& target);
  forwarder_status status() const;
  result<void> start_metrics();
  void wait_for_signal();
  void on_signal(int number);
  void begin_stop();
  void check_stop();
  void wait_for_settings();
  void reload(const char* cause);

  settings settings_;
  std::string settings_path_;
  settings_reader read_again_;
  int64_t settings_changed_ = 0;
  codec_context context_;
  forwarder_addresses addresses_;
  uint64_t self_;
  asio_ns::io_context loop_{1};
  std::array<http_client, directory_kinds> registry_;
  udp::socket peer_socket_{loop_};
  std::vector<char> peer_buffer_;
  fragment_joiner joiner_;
  uint64_t peer_messages_ = 0;
  udp::endpoint peer_from_;
  http_server ready_server_;
  http_server metrics_server_;
  std::map<std::pair<directory_kind, registry_status>, uint64_t> calls_;
  size_t peers_ = 0;
  std::vector<std::string> silent_zones_;
  time_us started_ = boot_now();
  asio_ns::signal_set signals_{loop_, SIGTERM, SIGINT, SIGHUP};
  asio_ns::steady_timer stop_timer_{loop_};
  asio_ns::steady_timer settings_timer_{loop_};
  log_limiter drops_{drop_logs_per_second};
  bool complete_ = false;
  bool stopping_ = false;
  time_us stop_by_ = 0;     ///< Latest end of a stopping process.
  int refused_probes_ = 0;  ///< Probes answered "not ready" since the stop.
  segment_runner segments_;
  std::unique_ptr<directory_actor> directory_;
};

forwarder::forwarder(const settings& options,
                     std::string settings_path,
                     settings_reader read_again,
                     codec_context peers,
                     const forwarder_addresses& addresses)
    : settings_(options),
      settings_path_(std::move(settings_path)),
      read_again_(std::move(read_again)),
      settings_changed_(changed_at(settings_path_)),
      context_(std::move(peers)),
      addresses_(addresses),
      self_(hash_name(options.text(setting::instance_name))),
      registry_{http_client(loop_, addresses.registry),
                http_client(loop_, addresses.registry),
                http_client(loop_, addresses.registry)},
      peer_buffer_(max_datagram),
      ready_server_(loop_, [this](const std::string& t) { return on_get(t); }),
      metrics_server_(
          loop_,
          [this](const std::string& t) { return on_metrics_get(t); }),
      segments_(addresses.packets,
                forwarding_options_of(options),
                system_random()) {}

result<void> forwarder::start() {
  segments_.on_pause([this] {
    asio_ns::post(loop_, [this] {
      if (directory_ != nullptr)
        directory_->paused();
    });
  });
  segments_.on_reports([this](std::vector<target_report> reports) {
    asio_ns::post(loop_, [this, r = std::move(reports)]() mutable {
      if (directory_ != nullptr)
        directory_->deliver(std::move(r));
    });
  });
  auto started = segments_.start();
  if (started)
    started = bind_peers();
  if (started)
    started = ready_server_.start(addresses_.ready);
  if (started)
    started = start_metrics();
  if (!started)
    return started;
  // After the sockets are bound: packets that arrive meanwhile wait in them.
  directory_ = std::make_unique<directory_actor>(
      directory_options_of(settings_, addresses_),
      [this](directory_core::actions actions) {
        asio_ns::post(loop_, [this, a = std::move(actions)]() mutable {
          execute(std::move(a));
        });
      });
  directory_->start();
  receive_peers();
  wait_for_signal();
  wait_for_settings();
  return boost::outcome_v2::success();
}

result<void> forwarder::run() {
  auto started = start();
  if (!started)
    return started;
  log(log_category::control, log_level::info, "started",
      {{"zone", settings_.text(setting::instance_zone)},
       {"packets", to_text(addresses_.packets)},
       {"registry", to_text(addresses_.registry)}});
  loop_.run();
  directory_->stop();
  segments_.stop();
  log(log_category::control, log_level::info, "stopped");
  return boost::outcome_v2::success();
}

result<void> forwarder::bind_peers() {
  boost::system::error_code code;
  peer_socket_.open(udp::v4(), code);
  if (!code) {
    peer_socket_.bind(
        {asio_ns::ip::address_v4(addresses_.peers.ip), addresses_.peers.port},
        code);
  }
  if (!code)
    peer_socket_.non_blocking(true, code);
  if (code)
    return fail(result_code::internal, "cannot bind UDP: " + code.message());
  return boost::outcome_v2::success();
}

void forwarder::receive_peers() {
  peer_socket_.async_receive_from(
      asio_ns::buffer(peer_buffer_), peer_from_,
      [this](const boost::system::error_code& code, size_t size) {
        if (code == asio_ns::error::operation_aborted)
          return;
        // An ICMP refusal of an earlier send is reported here; it ends nothing.
        if (!code)
          on_datagram(peer_from_, size);
        receive_peers();
      });
}

void forwarder::on_datagram(const udp::endpoint& from, size_t size) {
  auto decoded = decode_peer_message(context_, peer_buffer_.data(), size);
  if (decoded) {
    const endpoint sender{from.address().to_v4().to_uint(), from.port()};
    auto whole = joiner_.take(context_, sender, std::move(decoded.value()));
    if (whole.has_value())
      directory_->deliver(std::move(*whole));
    return;
  }
  if (!drops_.allow(steady_now() / us_per_s))
    return;
  log(log_category::control, log_level::warning, "peer message dropped",
      {{"from", from.address().to_string()},
       {"reason", to_text(decoded.error())},
       {"suppressed", fmt::format("{}", drops_.take_suppressed())}});
}

void forwarder::execute(directory_core::actions actions) {
  for (auto& action : actions)
    std::visit([this](auto& a) { execute_one(a); }, action);
}

void forwarder::execute_one(const registry_call& call) {
  http_client& client = registry_[static_cast<size_t>(call.kind)];
  client.cancel_if_open();
  client.get(platform::target_of(call), call.timeout,
             [this, call](const http_result& answer) {
               registry_reply reply;
               reply.id = call.id;
               if (answer.status != 0) {
                 reply = platform::read_reply(call, answer.status, answer.body,
                                              boot_now());
               }
               ++calls_[{call.kind, reply.status}];
               directory_->deliver(std::move(reply));
             });
}

void forwarder::execute_one(const send_peer_message& message) {
  const udp::endpoint to(asio_ns::ip::address_v4(message.to.ip),
                         message.to.port);
  for (const auto& data :
       encode_datagrams(context_, message.body, ++peer_messages_)) {
    boost::system::error_code code;
    peer_socket_.send_to(asio_ns::buffer(data), to, 0, code);
    // Heartbeats bring what is lost on the way; what can't be sent at all shows
    // a fault of this program or machine.
    if (code == asio_ns::error::message_size &&
        drops_.allow(steady_now() / us_per_s)) {
      log(log_category::control, log_level::error, "peer message not sent",
          {{"bytes", std::to_string(data.size())}, {"reason", code.message()}});
    }
  }
}

void forwarder::execute_one(publish_table& publication) {
  if (!complete_) {
    complete_ = true;
    log(log_category::control, log_level::info, "ready",
        {{"routing_version",
          fmt::format("{}", publication.table->routing_version())},
         {"targets", fmt::format("{}", publication.table->targets().size())}});
  }
  peers_ = publication.balancers.size();
  silent_zones_.assign(publication.silent_zones.begin(),
                       publication.silent_zones.end());
  segments_.publish(
      {std::move(publication.table), self_, std::move(publication.balancers),
       std::move(publication.zone_balancers),
       std::move(publication.silent_zones), publication.registry_lost});
}

void forwarder::execute_one(const directory_log_line& note) {
  log(log_category::control, log_level::info, note.message, note.fields);
}

void forwarder::execute_one(const reported_targets& told) {
  segments_.reported(told.reports);
}

http_response forwarder::on_get(const std::string& target) {
  if (target != platform::ready_path)
    return {http_not_found, "text/plain", ""};
  const bool ready = complete_ && !stopping_;
  if (stopping_)
    ++refused_probes_;
  return {ready ? 200 : http_unavailable, "text/plain", ""};
}

result<void> forwarder::start_metrics() {
  const std::string& text = settings_.text(setting::forwarding_metrics);
  if (text.empty())
    return boost::outcome_v2::success();
  auto address = parse_endpoint(text);
  if (!address)
    return boost::outcome_v2::failure(address.error());
  return metrics_server_.start(address.value());
}

forwarder_status forwarder::status() const {
  forwarder_status out;
  out.name = settings_.text(setting::instance_name);
  out.zone = settings_.text(setting::instance_zone);
  out.ready = complete_ && !stopping_;
  out.stopping = stopping_;
  out.uptime = boot_now() - started_;
  out.peers = peers_;
  out.silent_zones = silent_zones_;
  out.calls = calls_;
  return out;
}

http_response forwarder::on_metrics_get(const std::string& target) {
  constexpr const char* json = "application/json";
  constexpr std::string_view flows_path = "/flows/";
  if (target == "/metrics")
    return {200, "text/plain",
            metrics_text(status(), segments_.snapshot(false))};
  if (target == "/status")
    return {200, json, status_json(status(), segments_.snapshot(false))};
  if (target == "/targets")
    return {200, json, targets_json(segments_.snapshot(false))};
  if (target.rfind(flows_path, 0) == 0) {
    auto caller = parse_endpoint(target.substr(flows_path.size()));
    if (caller)
      return {200, json, flows_json(segments_.snapshot(true), caller.value())};
  }
  return {http_not_found, "text/plain", ""};
}

void forwarder::wait_for_signal() {
  signals_.async_wait(
      [this](const boost::system::error_code& code, int number) {
        if (code)
          return;
        on_signal(number);
        wait_for_signal();
      });
}

void forwarder::on_signal(int number) {
  if (number == SIGHUP)
    reload("SIGHUP");
  else
    begin_stop();
}

void forwarder::begin_stop() {
  if (stopping_)
    return;
  stopping_ = true;
  log(log_category::control, log_level::info, "stopping");
  directory_->leave();
  const auto grace = static_cast<time_us>(
      settings_.decimal(setting::forwarding_grace) * us_per_s);
  stop_by_ = boot_now() + std::max<time_us>(grace - stop_margin, grace / 2);
  check_stop();
}

void forwarder::check_stop() {
  // Flows move to other balancers once routers have seen the failed probes;
  // until then, or while routers have nobody else, their packets come here.
  const time_us now = boot_now();
  const bool unused = refused_probes_ >= probes_to_leave &&
                      now - segments_.last_segment() >= quiet_to_stop;
  if (unused || now >= stop_by_) {
    loop_.stop();
    return;
  }
  stop_timer_.expires_after(stop_check_interval);
  stop_timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code)
      check_stop();
  });
}

void forwarder::wait_for_settings() {
  settings_timer_.expires_after(settings_check_interval);
  settings_timer_.async_wait([this](const boost::system::error_code& code) {
    if (code)
      return;
    if (changed_at(settings_path_) != settings_changed_)
      reload("file changed");
    wait_for_settings();
  });
}

void forwarder::reload(const char* cause) {
  settings_changed_ = changed_at(settings_path_);
  auto read = read_again_();
  if (!read) {
    log(log_category::control, log_level::error, "settings not reloaded",
        {{"cause", cause}, {"reason", to_text(read.error())}});
    return;
  }
  settings_ = std::move(read.value());
  directory_->set_seeds(seeds_of(settings_, addresses_.peers.port));
  log(log_category::control, log_level::info, "settings reloaded",
      {{"cause", cause}});
}

}  // namespace

result<void> run_forwarder(const settings& options,
                           const std::string& settings_path,
                           const settings_reader& read_again) {
  auto context = make_codec_context(options.text(setting::instance_cluster),
                                    options.text(setting::instance_key));
  if (!context)
    return boost::outcome_v2::failure(context.error());
  auto addresses = addresses_of(options);
  if (!addresses)
    return boost::outcome_v2::failure(addresses.error());
  forwarder f(options, settings_path, read_again, context.value(),
              addresses.value());
  return f.run();
}

}  // namespace turmeric
