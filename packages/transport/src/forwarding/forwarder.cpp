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
#include "turmeric/state/release_type.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/http_base.h"
#include "turmeric/transport/segment_runner_base.h"

namespace turmeric {
namespace {

namespace asio_ns = boost::asio;
using udp = asio_ns::ip::udp;

/** A stopping process exits this long before its grace period ends, when the
 * platform kills it. */
constexpr time_us stop_margin = 700 * us_per_ms;
constexpr auto stop_check_interval = std::chrono::milliseconds(100);
/** Failed probes after which routers take an instance out of rotation. */
constexpr int failed_probes_to_leave = 2;
/** Without a packet for this long after those probes, no router sends any more:
 * callers first retransmit after 200 ms, and routers act on probes with some
 * delay. */
constexpr time_us idle_time_to_stop = 500 * us_per_ms;
/** The settings file may change without a SIGHUP. */
constexpr auto settings_check_interval = std::chrono::seconds(2);
/** Receive buffer for peer messages; no UDP datagram is larger. */
constexpr size_t max_datagram_bytes = 65536;
/** For peer messages dropped or not sent: a peer, or anybody else who reaches
 * the port, can cause any number of them. */
constexpr int peer_log_lines_per_second = 5;
constexpr int http_unavailable = 503;
constexpr int http_not_found = 404;

/** A running balancer: its event loop, control actor and traffic thread. */
class forwarder {
 public:
  forwarder(const settings& options,
            std::string settings_path,
            settings_reader reread_settings,
            codec_context codec,
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
  void execute_one(const directory_log_line& line);
  void execute_one(const reported_targets& update);
  http_response on_probe_get(const std::string& path);
  http_response on_metrics_get(const std::string& path);
  forwarder_status status() const;
  result<void> start_metrics();
  void wait_for_signal();
  void on_signal(int number);
  void begin_stop();
  void check_stop();
  void schedule_settings_check();
  void reload(const char* cause);

  settings settings_;
  std::string settings_path_;
  settings_reader reread_settings_;
  int64_t settings_stamp_ = 0;  ///< Of the settings file when last read.
  codec_context context_;
  forwarder_addresses addresses_;
  uint64_t self_;  ///< Hashed name of this balancer.
  asio_ns::io_context loop_{1};
  std::array<http_client, directory_kinds> registry_clients_;  ///< By kind.
  udp::socket peer_socket_{loop_};
  std::vector<char> peer_buffer_;
  fragment_reassembler reassembler_;
  uint64_t last_peer_message_id_ = 0;
  udp::endpoint peer_sender_;
  http_server ready_server_;
  http_server metrics_server_;
  registry_call_counts registry_calls_;
  size_t peer_count_ = 0;                         ///< Other live balancers.
  std::map<uint32_t, size_t> peer_releases_;      ///< The same by release.
  std::array<size_t, directory_kinds> unread_{};  ///< As in publish_table.
  uint64_t registry_era_ = 0;
  std::vector<std::string> silent_zones_;
  time_us started_ = boot_now();
  asio_ns::signal_set signals_{loop_, SIGTERM, SIGINT, SIGHUP};
  asio_ns::steady_timer stop_timer_{loop_};
  asio_ns::steady_timer settings_timer_{loop_};
  log_limiter peer_log_limiter_{peer_log_lines_per_second};
  bool table_published_ = false;  ///< Set once; ready until the stop.
  bool stopping_ = false;
  time_us stop_deadline_ = 0;  ///< Boot time; the process exits by then.
  int failed_probes_ = 0;      ///< Probes answered "not ready" since the stop.
  segment_runner segments_;
  std::unique_ptr<directory_actor> directory_;
};

forwarder::forwarder(const settings& options,
                     std::string settings_path,
                     settings_reader reread_settings,
                     codec_context codec,
                     const forwarder_addresses& addresses)
    : settings_(options),
      settings_path_(std::move(settings_path)),
      reread_settings_(std::move(reread_settings)),
      settings_stamp_(modification_stamp(settings_path_)),
      context_(std::move(codec)),
      addresses_(addresses),
      self_(hash_name(options.text(setting::instance_name))),
      registry_clients_{
          http_client(loop_, addresses.registry, platform::era_header),
          http_client(loop_, addresses.registry, platform::era_header),
          http_client(loop_, addresses.registry, platform::era_header)},
      peer_buffer_(max_datagram_bytes),
      ready_server_(loop_,
                    [this](const std::string& request_target) {
                      return on_probe_get(request_target);
                    }),
      metrics_server_(loop_,
                      [this](const std::string& request_target) {
                        return on_metrics_get(request_target);
                      }),
      segments_(addresses.packets,
                forwarding_options_of(options),
                system_random()) {}

result<void> forwarder::start() {
  segments_.on_pause([this] {
    asio_ns::post(loop_, [this] {
      if (directory_ != nullptr)
        directory_->on_pause();
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
  // Started after the sockets are bound, so that these queue the packets that
  // arrive before the first table.
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
  schedule_settings_check();
  return boost::outcome_v2::success();
}

result<void> forwarder::run() {
  auto started = start();
  if (!started)
    return started;
  log(log_category::control, log_level::info, "started",
      {{"zone", settings_.text(setting::instance_zone)},
       {"release", std::to_string(own_release)},
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
    return fail(
        result_code::internal,
        "cannot bind the UDP socket for peer messages: " + code.message());
  return boost::outcome_v2::success();
}

void forwarder::receive_peers() {
  peer_socket_.async_receive_from(
      asio_ns::buffer(peer_buffer_), peer_sender_,
      [this](const boost::system::error_code& code, size_t size) {
        if (code == asio_ns::error::operation_aborted)
          return;
        // `code` may be an ICMP error for an earlier send; receiving continues.
        if (!code)
          on_datagram(peer_sender_, size);
        receive_peers();
      });
}

void forwarder::on_datagram(const udp::endpoint& from, size_t size) {
  auto decoded = decode_peer_message(context_, peer_buffer_.data(), size);
  if (decoded) {
    const endpoint sender{from.address().to_v4().to_uint(), from.port()};
    auto reassembled =
        reassembler_.add(context_, sender, std::move(decoded.value()));
    if (reassembled.has_value())
      directory_->deliver(std::move(*reassembled));
    return;
  }
  if (!peer_log_limiter_.allow(steady_now() / us_per_s))
    return;
  log(log_category::control, log_level::warning, "peer message dropped",
      {{"from", from.address().to_string()},
       {"reason", to_text(decoded.error())},
       {"suppressed", fmt::format("{}", peer_log_limiter_.take_suppressed())}});
}

void forwarder::execute(directory_core::actions actions) {
  for (auto& action : actions)
    std::visit([this](auto& a) { execute_one(a); }, action);
}

void forwarder::execute_one(const registry_call& call) {
  http_client& client = registry_clients_[static_cast<size_t>(call.kind)];
  client.cancel_pending();
  client.get(platform::path_and_query(call), call.timeout,
             [this, call](const http_result& answer) {
               registry_reply reply;
               reply.id = call.id;
               if (answer.status != 0) {
                 reply = platform::read_reply(call, answer.status,
                                              answer.header_value, answer.body,
                                              boot_now());
               }
               ++registry_calls_[{call.kind, call.cause, reply.status}];
               directory_->deliver(std::move(reply));
             });
}

void forwarder::execute_one(const send_peer_message& message) {
  const udp::endpoint to(asio_ns::ip::address_v4(message.to.ip),
                         message.to.port);
  for (const auto& data :
       encode_datagrams(context_, message.body, ++last_peer_message_id_)) {
    boost::system::error_code code;
    peer_socket_.send_to(asio_ns::buffer(data), to, 0, code);
    // Other errors are ignored: later heartbeats show the peer what it lacks. A
    // message too large to send is a fault of this program or machine.
    if (code == asio_ns::error::message_size &&
        peer_log_limiter_.allow(steady_now() / us_per_s)) {
      log(log_category::control, log_level::error, "peer message not sent",
          {{"bytes", std::to_string(data.size())}, {"reason", code.message()}});
    }
  }
}

void forwarder::execute_one(publish_table& publication) {
  if (!table_published_) {
    table_published_ = true;
    log(log_category::control, log_level::info, "ready",
        {{"routing_version",
          fmt::format("{}", publication.table->routing_version())},
         {"targets", fmt::format("{}", publication.table->targets().size())}});
  }
  peer_count_ = publication.balancers.size();
  peer_releases_ = publication.releases;
  unread_ = publication.unread;
  registry_era_ = publication.era;
  silent_zones_.assign(publication.silent_zones.begin(),
                       publication.silent_zones.end());
  segments_.publish(
      {std::move(publication.table), self_, std::move(publication.balancers),
       std::move(publication.zone_balancers),
       std::move(publication.silent_zones), publication.registry_lost});
}

void forwarder::execute_one(const directory_log_line& line) {
  log(log_category::control, log_level::info, line.message, line.fields);
}

void forwarder::execute_one(const reported_targets& update) {
  segments_.on_peer_reports(update.reports);
}

http_response forwarder::on_probe_get(const std::string& path) {
  if (path != platform::ready_path)
    return {http_not_found, "text/plain", ""};
  const bool ready = table_published_ && !stopping_;
  if (stopping_)
    ++failed_probes_;
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
  out.ready = table_published_ && !stopping_;
  out.stopping = stopping_;
  out.uptime = boot_now() - started_;
  out.peer_count = peer_count_;
  out.peer_releases = peer_releases_;
  out.silent_zones = silent_zones_;
  out.unread = unread_;
  out.registry_era = registry_era_;
  out.registry_calls = registry_calls_;
  return out;
}

http_response forwarder::on_metrics_get(const std::string& path) {
  constexpr const char* json = "application/json";
  constexpr std::string_view flows_path = "/flows/";
  if (path == "/metrics")
    return {200, "text/plain",
            metrics_text(status(), segments_.snapshot(false))};
  if (path == "/status")
    return {200, json, status_json(status(), segments_.snapshot(false))};
  if (path == "/targets")
    return {200, json, targets_json(segments_.snapshot(false))};
  if (path.rfind(flows_path, 0) == 0) {
    auto caller = parse_endpoint(path.substr(flows_path.size()));
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
  stop_deadline_ =
      boot_now() + std::max<time_us>(grace - stop_margin, grace / 2);
  check_stop();
}

void forwarder::check_stop() {
  // Routers move flows to other balancers after the failed probes. Until then,
  // or without another balancer, they send the packets here.
  const time_us now = boot_now();
  const bool drained = failed_probes_ >= failed_probes_to_leave &&
                       now - segments_.last_segment() >= idle_time_to_stop;
  if (drained || now >= stop_deadline_) {
    loop_.stop();
    return;
  }
  stop_timer_.expires_after(stop_check_interval);
  stop_timer_.async_wait([this](const boost::system::error_code& code) {
    if (!code)
      check_stop();
  });
}

void forwarder::schedule_settings_check() {
  settings_timer_.expires_after(settings_check_interval);
  settings_timer_.async_wait([this](const boost::system::error_code& code) {
    if (code)
      return;
    if (modification_stamp(settings_path_) != settings_stamp_)
      reload("file changed");
    schedule_settings_check();
  });
}

void forwarder::reload(const char* cause) {
  settings_stamp_ = modification_stamp(settings_path_);
  auto read = reread_settings_();
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
                           const settings_reader& reread_settings) {
  auto context = make_codec_context(options.text(setting::instance_cluster),
                                    options.text(setting::instance_key));
  if (!context)
    return boost::outcome_v2::failure(context.error());
  auto addresses = addresses_of(options);
  if (!addresses)
    return boost::outcome_v2::failure(addresses.error());
  forwarder f(options, settings_path, reread_settings, context.value(),
              addresses.value());
  return f.run();
}

}  // namespace turmeric
