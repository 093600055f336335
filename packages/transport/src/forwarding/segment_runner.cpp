/** @file segment_runner.cpp Loop of the traffic thread. */
#include "turmeric/transport/segment_runner_base.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include "turmeric/platform/segment_func.h"
#include "turmeric/state/log_func.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/arrival_bound_base.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric {
namespace {

/** Maximum number of datagrams received or sent by one system call. */
constexpr int batch_size = 32;
/** Size of the largest packet plus one byte, by which a longer packet is
 * recognized. */
constexpr size_t packet_buffer_bytes =
    platform::header_bytes + platform::max_data_bytes + 1;
/** Bound on the peers' reports that wait for the traffic thread. */
constexpr size_t max_pending_reports = 1024;
constexpr int receive_buffer_bytes = 1 << 20;
/** Least that the system counts for a datagram in a socket's buffer. */
constexpr size_t min_datagram_bytes = 512;
/** Log lines per second of each kind of event, in the order of
 * forwarding_event_kind; a line has about 300 bytes. Dropped segments get the
 * fewest, since anybody can cause them; refusals and events of targets are
 * needed to explain failures. */
constexpr std::array<int, static_cast<size_t>(forwarding_event_kind::end)>
    log_lines_per_second = {20, 20, 5, 20, 20, 20, 20, 20, 5};
/** The process counts as paused if poll() returns this much after its timeout.
 * Routers probe twice a second and move flows after two failed probes, so a
 * shorter pause moves no flows. */
constexpr time_us min_pause = 500 * us_per_ms;
/** Maximum poll timeout, below `min_delay`. */
constexpr time_us max_wait = 100 * us_per_ms;
/** Segments count as having waited if they can have arrived longer ago than
 * this. */
constexpr time_us min_delay = 150 * us_per_ms;
/** Longest wait for the first forwarding table after the first packet. Packets
 * are queued in the socket meanwhile; after a longer wait, their callers have
 * retransmitted them. */
constexpr int first_table_wait_ms = 400;

/** @return Most datagrams that wait in @p socket. */
size_t capacity_of(int socket) {
  int bytes = 0;
  socklen_t size = sizeof(bytes);
  // The system grants up to twice of what was asked for.
  if (getsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, &size) != 0)
    bytes = 2 * receive_buffer_bytes;
  return static_cast<size_t>(bytes) / min_datagram_bytes + 1;
}

error system_error(const char* what) {
  return error{result_code::internal,
               std::string(what) + ": " + std::strerror(errno), "", 0};
}

}  // namespace

/** Buffers of one round of receiving and sending. */
struct segment_runner::batch {
  /** A datagram, preceded by space for the prefix that names its target. */
  using buffer =
      std::array<uint8_t, platform::target_prefix_bytes + packet_buffer_bytes>;

  std::array<buffer, batch_size> buffers;
  std::array<std::array<uint8_t, platform::header_bytes>, batch_size> resets;
  std::array<iovec, batch_size> in_parts{};
  std::array<mmsghdr, batch_size> in{};
  std::array<iovec, batch_size> out_parts{};
  std::array<sockaddr_in, batch_size> out_addresses{};
  std::array<mmsghdr, batch_size> out{};
  int out_count = 0;

  batch() {
    for (size_t i = 0; i < batch_size; ++i) {
      in_parts[i] = {buffers[i].data() + platform::target_prefix_bytes,
                     packet_buffer_bytes};
      in[i].msg_hdr.msg_iov = &in_parts[i];
      in[i].msg_hdr.msg_iovlen = 1;
      out[i].msg_hdr.msg_iov = &out_parts[i];
      out[i].msg_hdr.msg_iovlen = 1;
      out[i].msg_hdr.msg_name = &out_addresses[i];
      out[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
  }

  void add(endpoint to, void* data, size_t size) {
    out_parts[out_count] = {data, size};
    out_addresses[out_count] = to_sockaddr(to);
    ++out_count;
  }

  /** Sends the datagrams that were added. One that the system does not accept
   * is lost, as on a full link, and the caller retransmits it. */
  void flush(int socket) {
    int done = 0;
    while (done < out_count) {
      const int sent = sendmmsg(socket, &out[done],
                                static_cast<unsigned>(out_count - done), 0);
      if (sent < 0 && errno == EINTR)
        continue;
      done += std::max(sent, 1);
    }
    out_count = 0;
  }
};

segment_runner::segment_runner(endpoint local,
                               forwarding_options options,
                               random_source random)
    : local_(local),
      core_(std::move(options), std::move(random)),
      event_limiters_(log_lines_per_second.begin(),
                      log_lines_per_second.end()) {}

segment_runner::~segment_runner() {
  stop();
}

result<void> segment_runner::start() {
  socket_ = file_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
  if (!socket_.valid())
    return boost::outcome_v2::failure(
        system_error("cannot open the UDP socket for packets"));
  // The system may grant a smaller buffer; bursts then lose more packets.
  setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
             sizeof(receive_buffer_bytes));
  const sockaddr_in address = to_sockaddr(local_);
  if (bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0)
    return boost::outcome_v2::failure(
        system_error("cannot bind the UDP socket for packets"));
  wake_ = file_descriptor(eventfd(0, EFD_NONBLOCK));
  if (!wake_.valid())
    return boost::outcome_v2::failure(
        system_error("cannot open the eventfd of the traffic thread"));
  thread_ = std::thread([this] { run(); });
  return boost::outcome_v2::success();
}

void segment_runner::publish(update next) {
  const std::lock_guard<std::mutex> lock(update_mutex_);
  update_ = std::move(next);
  if (!table_published_) {
    table_published_ = true;
    wake();
  }
}

void segment_runner::on_peer_reports(
    const std::vector<target_report>& reports) {
  const std::lock_guard<std::mutex> lock(update_mutex_);
  // The bound is only reached while the traffic thread is not scheduled, and
  // the reports that wait are stale by the time it runs again.
  if (pending_reports_.size() > max_pending_reports)
    pending_reports_.clear();
  pending_reports_.insert(pending_reports_.end(), reports.begin(),
                          reports.end());
}

void segment_runner::apply_update() {
  std::optional<update> next;
  std::vector<target_report> reports;
  {
    const std::lock_guard<std::mutex> lock(update_mutex_);
    next = std::exchange(update_, std::nullopt);
    reports = std::exchange(pending_reports_, {});
  }
  if (next.has_value()) {
    table_ = next->table;
    core_.set_table(boot_now(), next->table);
    core_.set_balancers(next->self, std::move(next->balancers));
    core_.set_zone_balancers(std::move(next->zone_balancers));
    core_.set_silent_zones(std::move(next->silent_zones));
    core_.set_registry_lost(next->registry_lost);
  }
  core_.on_peer_reports(boot_now(), reports);
}

time_us segment_runner::await_first_table() {
  pollfd packet{socket_.get(), POLLIN, 0};
  pollfd woken{wake_.get(), POLLIN, 0};
  std::array<pollfd, 2> both = {packet, woken};
  poll(both.data(), both.size(), -1);
  const time_us first_packet = boot_now();
  if (both[1].revents == 0)
    poll(&woken, 1, first_table_wait_ms);
  clear_wake();
  return first_packet;
}

void segment_runner::clear_wake() {
  uint64_t count = 0;
  if (read(wake_.get(), &count, sizeof(count)) < 0 && errno != EAGAIN) {
    log(log_category::traffic, log_level::warning,
        "cannot read the eventfd of the traffic thread",
        {{"reason", std::strerror(errno)}});
  }
}

traffic_snapshot segment_runner::snapshot(bool with_flows) {
  const time_us now = boot_now();
  const std::lock_guard<std::mutex> lock(core_mutex_);
  traffic_snapshot out;
  out.counters = core_.counters();
  out.answer_times = core_.answer_times();
  out.flow_count = core_.flows();
  const forwarding_table* table = core_.current_table();
  if (table == nullptr)
    return out;
  out.routing_version = table->routing_version();
  out.revisions = table->revisions();
  out.table_age = now - core_.table_since();
  for (const auto& [token, target] : table->targets())
    out.targets.push_back(snapshot_of(now, target));
  for (const auto& status : core_.admitting().status()) {
    out.services.push_back(
        {status.service, core_.loads().load(now, status.service), status});
  }
  if (!with_flows)
    return out;
  core_.for_each_flow([&](const flow_key& key, const flow_state& flow) {
    const auto* target = table->target_of(flow.token);
    out.flow_list.push_back({key, target == nullptr ? "" : target->entry.name,
                             flow.answered, flow.ended,
                             now - flow.last_segment});
  });
  return out;
}

target_snapshot segment_runner::snapshot_of(
    time_us now,
    const forwarding_target& target) const {
  target_snapshot out;
  out.name = target.entry.name;
  out.zone = target.entry.zone;
  out.service = target.entry.service;
  out.address = target.entry.address;
  out.token = target.token;
  out.accepts_new_flows =
      now < target.eligible_until && now >= target.entry.cold_until;
  out.draining = target.entry.draining;
  out.cold_remaining = std::max<time_us>(target.entry.cold_until - now, 0);
  out.active_flows = core_.placing().active_flows(target.token);
  out.failures = core_.placing().failures(target.token);
  out.reported_failures = core_.placing().reported_failures(target.token);
  out.weight = core_.placing().weight(now, target);
  return out;
}

int segment_runner::poll_timeout_ms() {
  const time_us delay = std::min(core_.next_tick() - boot_now(), max_wait);
  return static_cast<int>(std::max<time_us>(delay, 0) / us_per_ms + 1);
}

void segment_runner::run() {
  const auto b = std::make_unique<batch>();
  std::array<pollfd, 2> poll_fds = {pollfd{socket_.get(), POLLIN, 0},
                                    pollfd{wake_.get(), POLLIN, 0}};
  arrival_bound arrivals(await_first_table(), capacity_of(socket_.get()));
  while (!stopping_) {
    const int wait = poll_timeout_ms();
    const time_us wait_started = boot_now();
    poll(poll_fds.data(), poll_fds.size(), wait);
    if (poll_fds[1].revents != 0)
      clear_wake();
    const time_us read_at = boot_now();
    const int count =
        recvmmsg(socket_.get(), b->in.data(), batch_size, 0, nullptr);
    const std::lock_guard<std::mutex> lock(core_mutex_);
    apply_update();
    // The lock and the update may have taken long.
    const time_us now = boot_now();
    if (now - wait_started >= wait * us_per_ms + min_pause) {
      core_.on_pause(now);
      held_.clear();
      if (on_pause_)
        on_pause_();
    }
    if (count > 0)
      handle_batch(now, now - arrivals.earliest(), b.get(), count);
    arrivals.on_read(read_at, static_cast<size_t>(std::max(count, 0)),
                     count < batch_size);
    // Timers run only after all queued segments are handled: after a pause of
    // this process, an answer among them must not count as missing.
    if (count < batch_size)
      core_.tick(now);
    send_deferred(now, b.get());
    log_events(now);
    auto reports = core_.take_reports();
    if (!reports.empty() && on_reports_)
      on_reports_(std::move(reports));
  }
}

void segment_runner::log_events(time_us now) {
  for (const auto& event : core_.take_events()) {
    log_limiter& limiter = event_limiters_[static_cast<size_t>(event.kind)];
    if (limiter.allow(now / us_per_s))
      log_event(event, limiter.take_suppressed());
  }
}

void segment_runner::log_event(const forwarding_event& event,
                               uint64_t suppressed) const {
  std::vector<log_field> fields = {
      {"flow", to_text(event.flow.caller)},
      {"route", to_text(event.flow.service)},
      {"token", fmt::format("{:08x}", event.token)},
      {"since_opening_us", std::to_string(event.since_opening)},
      {"table_age_ms", std::to_string(event.table_age / us_per_ms)}};
  if (event.reason != forwarding_reason::end)
    fields.emplace_back("reason", name_of(event.reason));
  if (event.waited != 0)
    fields.emplace_back("waited_us", std::to_string(event.waited));
  if (event.kind == forwarding_event_kind::load_changed) {
    fields = {{"service", event.service},
              {"load", std::string(name_of(event.load))},
              {"delayed_share", fmt::format("{:.2f}", event.delayed_share)}};
  }
  if (!event.target.empty()) {
    fields.emplace_back("target", event.target);
    fields.emplace_back("zone", event.zone);
    fields.emplace_back("failures", std::to_string(event.failures));
    fields.emplace_back("reported", std::to_string(event.reported));
    fields.emplace_back("in_hand", std::to_string(event.active_flows));
  }
  if (event.candidates != 0) {
    fields.emplace_back("candidates", std::to_string(event.candidates));
    fields.emplace_back("cost", fmt::format("{:.2f}", event.cost));
  }
  if (table_ != nullptr) {
    fields.emplace_back("routing_version",
                        std::to_string(table_->routing_version()));
    fields.emplace_back(
        "targets_revision",
        std::to_string(
            table_->revisions()[static_cast<size_t>(directory_kind::targets)]));
  }
  if (suppressed != 0)
    fields.emplace_back("suppressed", std::to_string(suppressed));
  log(log_category::traffic, log_level::info, name_of(event.kind), fields);
}

void segment_runner::handle_batch(time_us now,
                                  time_us longest_wait,
                                  batch* b,
                                  int count) {
  last_segment_ = now;
  const time_us waited = longest_wait >= min_delay ? longest_wait : 0;
  for (int i = 0; i < count; ++i)
    handle_segment(now, waited, longest_wait, b, i);
  b->flush(socket_.get());
}

void segment_runner::handle_segment(time_us now,
                                    time_us waited,
                                    time_us longest_wait,
                                    batch* b,
                                    int index) {
  uint8_t* data = b->buffers[index].data() + platform::target_prefix_bytes;
  const size_t size = b->in[index].msg_len;
  const auto s = platform::read_segment(data, size);
  if (!s.has_value()) {
    core_.count_malformed();
    return;
  }
  const forwarding_decision decision =
      core_.on_segment(now, *s, waited, longest_wait);
  if (decision.action == forwarding_action::forward) {
    platform::write_token(data, decision.target->token);
    platform::write_target_prefix(b->buffers[index].data(),
                                  decision.target->entry.number);
    b->add(decision.target->entry.address, b->buffers[index].data(),
           size + platform::target_prefix_bytes);
  } else if (decision.action == forwarding_action::hold) {
    const uint8_t* start = b->buffers[index].data();
    held_[key_of(*s)].assign(start,
                             start + platform::target_prefix_bytes + size);
  } else if (decision.action == forwarding_action::reset) {
    b->resets[index] = platform::make_reset(*s);
    b->add({s->source.ip, local_.port}, b->resets[index].data(),
           platform::header_bytes);
  }
}

void segment_runner::send_deferred(time_us now, batch* b) {
  const auto deferred = core_.take_deferred(now);
  for (size_t i = 0; i < deferred.size(); ++i) {
    const auto& [opening, decision] = deferred[i];
    const size_t slot = i % batch_size;
    if (slot == 0)
      b->flush(socket_.get());
    const auto packet = held_.find(key_of(opening));
    if (packet == held_.end())
      continue;
    if (decision.action == forwarding_action::forward) {
      std::copy(packet->second.begin(), packet->second.end(),
                b->buffers[slot].begin());
      uint8_t* data = b->buffers[slot].data() + platform::target_prefix_bytes;
      platform::write_token(data, decision.target->token);
      platform::write_target_prefix(b->buffers[slot].data(),
                                    decision.target->entry.number);
      b->add(decision.target->entry.address, b->buffers[slot].data(),
             packet->second.size());
    } else if (decision.action == forwarding_action::reset) {
      b->resets[slot] = platform::make_reset(opening);
      b->add({opening.source.ip, local_.port}, b->resets[slot].data(),
             platform::header_bytes);
    }
    held_.erase(packet);
  }
  b->flush(socket_.get());
}

void segment_runner::stop() {
  if (!thread_.joinable())
    return;
  stopping_ = true;
  wake();
  thread_.join();
}

void segment_runner::wake() {
  const uint64_t one = 1;
  if (write(wake_.get(), &one, sizeof(one)) < 0) {
    log(log_category::traffic, log_level::warning,
        "cannot wake the traffic thread", {{"reason", std::strerror(errno)}});
  }
}

}  // namespace turmeric
