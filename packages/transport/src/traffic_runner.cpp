/** @file traffic_runner.cpp Event loop and workers of the traffic path. */
#include "turmeric/transport/traffic_runner_base.h"

#include <fmt/format.h>

#include <chrono>
#include <future>

#include "turmeric/state/service_type.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/target_client_func.h"

namespace turmeric {
namespace {

constexpr auto tick_interval = std::chrono::milliseconds(5);
constexpr int drop_logs_per_second = 5;

traffic_options traffic_options_from(const settings& s) {
  traffic_options o;
  o.permit_lifetime = s.duration(setting::traffic_permit_lifetime);
  o.result_retention = 3 * o.permit_lifetime;
  o.take_over_wait = s.duration(setting::traffic_take_over_wait);
  o.max_body = static_cast<size_t>(s.number(setting::traffic_max_body));
  return o;
}

codec_context unsigned_context(const codec_context& signed_context) {
  codec_context c = signed_context;
  c.key.clear();
  return c;
}

}  // namespace

traffic_runner::traffic_runner(const settings& options,
                               codec_context peer_context,
                               member_record self)
    : caller_context_(unsigned_context(peer_context)),
      peer_context_(std::move(peer_context)),
      self_(self),
      service_port_(
          static_cast<uint16_t>(options.number(setting::network_service_port))),
      workers_(static_cast<size_t>(options.number(setting::traffic_workers))),
      timer_(loop_),
      caller_socket_(loop_),
      peer_socket_(loop_),
      core_(traffic_options_from(options), std::move(self), system_random()),
      drop_log_limiter_(drop_logs_per_second) {}

traffic_runner::~traffic_runner() {
  stop();
}

result<void> traffic_runner::start() {
  auto bound = caller_socket_.bind({self_.peer.ip, service_port_});
  if (bound)
    bound = peer_socket_.bind(self_.peer);
  if (!bound)
    return bound;
  caller_socket_.start([this](endpoint from, const char* data, size_t size) {
    on_datagram(false, from, data, size);
  });
  peer_socket_.start([this](endpoint from, const char* data, size_t size) {
    on_datagram(true, from, data, size);
  });
  arm_timer();
  thread_ = std::thread([this] { loop_.run(); });
  return boost::outcome_v2::success();
}

void traffic_runner::arm_timer() {
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const asio::error_code& code) {
    if (code)
      return;
    apply_published_table();
    execute(core_.tick(steady_now()));
    arm_timer();
  });
}

void traffic_runner::publish(std::shared_ptr<const route_table> table) {
  std::atomic_store(&published_table_, std::move(table));
}

void traffic_runner::apply_published_table() {
  auto next = std::atomic_load(&published_table_);
  if (next == table_)
    return;
  table_ = next;
  execute(core_.update_routes(steady_now(), std::move(next)));
}

void traffic_runner::on_datagram(bool from_peer,
                                 endpoint from,
                                 const char* data,
                                 size_t size) {
  auto decoded =
      decode_packet(from_peer ? peer_context_ : caller_context_, data, size);
  if (!decoded) {
    record_drop(from, decoded.error());
    return;
  }
  apply_published_table();
  const time_us now = steady_now();
  execute(from_peer ? core_.receive_from_peer(now, std::move(decoded.value()))
                    : core_.receive_from_caller(now, from,
                                                std::move(decoded.value())));
}

void traffic_runner::record_drop(endpoint from, const error& why) {
  core_.count_drop(why.code);
  if (!drop_log_limiter_.allow(steady_now() / us_per_s))
    return;
  log(log_category::traffic, log_level::warning, "invalid packet dropped",
      {{"from", to_text(from)},
       {"reason", to_text(why)},
       {"suppressed", fmt::format("{}", drop_log_limiter_.take_suppressed())}});
}

void traffic_runner::execute(std::vector<traffic_action> actions) {
  for (auto& action : actions)
    std::visit([this](auto& a) { execute_one(a); }, action);
  may_end_ = core_.may_end(steady_now());
}

void traffic_runner::execute_one(send_packet& action) {
  if (action.to_peer)
    peer_socket_.send(action.to, encode(peer_context_, action.body));
  else
    caller_socket_.send(action.to, encode(caller_context_, action.body));
}

void traffic_runner::execute_one(start_work& action) {
  asio::post(workers_, [this, work = std::move(action)] {
    work_result outcome = run_on_target(work);
    asio::post(loop_, [this, outcome = std::move(outcome)]() mutable {
      execute(core_.handle_work_result(steady_now(), std::move(outcome)));
    });
  });
}

void traffic_runner::execute_one(cancel_work& action) {
  asio::post(workers_, [action] { cancel_on_target(action); });
}

void traffic_runner::stop_accepting_work() {
  asio::post(loop_, [this] { core_.stop(steady_now()); });
}

traffic_metrics traffic_runner::metrics() {
  std::promise<traffic_metrics> promise;
  auto future = promise.get_future();
  asio::post(loop_, [&] { promise.set_value(core_.metrics()); });
  return future.get();
}

void traffic_runner::stop() {
  if (!thread_.joinable())
    return;
  workers_.join();
  loop_.stop();
  thread_.join();
}

}  // namespace turmeric
