/** @file bench_log.cpp What the decision log costs the traffic thread.
 *
 * A traffic thread on loopback forwards flows of four segments each, with no
 * log, with one of 16 flows logged, with all, and with all while nobody reads
 * the log. Prints a Markdown table and, as the last line, JSON.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstring>
#include <ctime>
#include <thread>

#include "turmeric/platform/segment_func.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/segment_runner_base.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric {
namespace {

constexpr uint32_t loopback = 0x7f000001;
constexpr uint16_t runner_port = 17991;
constexpr uint16_t sink_port = 17992;
constexpr int targets = 18;
constexpr int flows = 40000;
/** Segments between two pauses of the sender, far below the receive buffer. */
constexpr int burst = 64;
constexpr auto pause_time = std::chrono::milliseconds(1);
constexpr auto settle_time = std::chrono::milliseconds(200);

struct log_row {
  const char* name;
  uint64_t one_in;
  bool read;  ///< Whether somebody reads the log.
};

struct log_result {
  uint64_t segments = 0;
  double us_each = 0;  ///< Processor time of the traffic thread.
  uint64_t lines_bytes = 0;
  uint64_t lost = 0;
};

double seconds_of(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

void put(uint8_t* at, uint64_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i)
    at[i] = static_cast<uint8_t>(value >> (8 * (bytes - 1 - i)));
}

/** A caller's segment as bytes; the sum is not checked on loopback. */
std::array<uint8_t, platform::header_bytes> packet_of(uint32_t flow,
                                                      uint8_t flags,
                                                      uint32_t acknowledged,
                                                      flow_token token) {
  std::array<uint8_t, platform::header_bytes> out{};
  out[4] = flags;
  put(&out[8], flow & 0xffff, 2);
  put(&out[10], 443, 2);
  put(&out[12], 0xc6120001, 4);
  put(&out[16], 0x64400000 + (flow >> 16), 4);
  put(&out[24], acknowledged, 4);
  put(&out[28], token, 4);
  return out;
}

std::shared_ptr<const forwarding_table> make_table() {
  table_input input;
  routing_entry routing;
  routing.version = 1;
  route_entry route;
  route.address = {0xc6120001, 443};
  route.services = {{"notes", 1}};
  routing.routes = {route};
  routing.services = {{"notes", 2000, 0.0}};
  input.routing = std::make_shared<const directory_value>(routing);
  for (int i = 0; i < targets; ++i) {
    target_input t;
    t.entry.name = "i-" + std::to_string(i);
    t.entry.service = "notes";
    t.entry.zone = "north";
    t.entry.slots = 2;
    t.entry.address = {loopback, sink_port};
    input.targets.push_back(t);
  }
  return std::make_shared<const forwarding_table>(input);
}

/** Sends all flows, a few segments at a time. */
void send_flows(int socket) {
  constexpr uint8_t syn = 0x80;
  constexpr uint8_t ack = 0x02;
  constexpr uint8_t fin = 0x04;
  const sockaddr_in to = to_sockaddr({loopback, runner_port});
  int sent = 0;
  const auto send_one = [&](const auto& packet) {
    sendto(socket, packet.data(), packet.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (++sent % burst == 0)
      std::this_thread::sleep_for(pause_time);
  };
  for (uint32_t flow = 0; flow < flows; ++flow) {
    const flow_token token = token_of("i-" + std::to_string(flow % targets));
    send_one(packet_of(flow, syn, 0, 0));
    send_one(packet_of(flow, ack, 1, token));
    send_one(packet_of(flow, ack, 600, token));
    send_one(packet_of(flow, ack | fin, 601, token));
  }
  std::this_thread::sleep_for(settle_time);
}

/** Sends the log to @p to until the end of the scope. */
class redirected_log {
 public:
  explicit redirected_log(int to) : saved_(dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    dup2(to, STDOUT_FILENO);
  }
  ~redirected_log() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
  }
  redirected_log(const redirected_log&) = delete;
  redirected_log& operator=(const redirected_log&) = delete;

 private:
  int saved_;
};

result<log_result> measure(const log_row& row) {
  forwarding_options options;
  options.placing.zone = "north";
  options.log_one_in = row.one_in;
  std::array<int, 2> unread{};
  const int null = open("/dev/null", O_WRONLY);
  if (null < 0 || pipe(unread.data()) != 0)
    return fail(result_code::internal, std::strerror(errno));
  const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  segment_runner runner({loopback, runner_port}, options, system_random());
  auto started = runner.start();
  if (!started)
    return boost::outcome_v2::failure(started.error());
  runner.publish({make_table(), 1, {}, {}, {}, false});
  log_result out;
  const uint64_t bytes = log_bytes_written();
  const uint64_t lost = log_lines_lost();
  {
    const redirected_log redirected(row.read ? null : unread[1]);
    const double all = seconds_of(CLOCK_PROCESS_CPUTIME_ID);
    const double own = seconds_of(CLOCK_THREAD_CPUTIME_ID);
    send_flows(socket);
    const double used = seconds_of(CLOCK_PROCESS_CPUTIME_ID) - all -
                        (seconds_of(CLOCK_THREAD_CPUTIME_ID) - own);
    for (const uint64_t count : runner.snapshot(false).counters.reasons)
      out.segments += count;
    out.us_each = used * 1e6 / static_cast<double>(out.segments);
    runner.stop();
  }
  out.lines_bytes = log_bytes_written() - bytes;
  out.lost = log_lines_lost() - lost;
  for (const int descriptor : {null, unread[0], unread[1], socket})
    close(descriptor);
  return out;
}

int main_of() {
  constexpr log_row rows[] = {{"none", 0, true},
                              {"one flow of 16", 16, true},
                              {"all flows", 1, true},
                              {"all flows, not read", 1, false}};
  fmt::print(
      "| log | segments taken | us of a core each | segments/s of a core | "
      "bytes written | lines lost |\n| --- | --- | --- | --- | --- | --- |\n");
  double none = 0;
  double usual = 0;
  for (const auto& row : rows) {
    auto measured = measure(row);
    if (!measured) {
      fmt::print(stderr, "{}\n", to_text(measured.error()));
      return 1;
    }
    const log_result& r = measured.value();
    fmt::print("| {} | {} | {:.2f} | {:.0f} | {} | {} |\n", row.name,
               r.segments, r.us_each, 1e6 / r.us_each, r.lines_bytes, r.lost);
    if (row.one_in == 0)
      none = r.us_each;
    if (row.one_in > 1)
      usual = r.us_each;
  }
  fmt::print("{{\"us_each_without\":{:.3f},\"us_each_usual\":{:.3f}}}\n", none,
             usual);
  return 0;
}

}  // namespace
}  // namespace turmeric

int main() {
  return turmeric::main_of();
}
