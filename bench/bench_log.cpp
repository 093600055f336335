/** @file bench_log.cpp CPU cost of the decision log in the traffic thread.
 *
 * A traffic thread on loopback forwards flows of four segments each: without a
 * log, with 1 of 16 flows logged, with all flows logged, and with all flows
 * logged to a pipe that is not read. Prints a Markdown table and a last line of
 * JSON.
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
constexpr uint16_t balancer_port = 17991;
constexpr uint16_t target_port = 17992;
constexpr int target_count = 18;
constexpr int flow_count = 40000;
/** Segments between two pauses of the sender; far fewer than fit in the
 * receive buffer. */
constexpr int segments_per_burst = 64;
constexpr auto burst_pause = std::chrono::milliseconds(1);
/** Wait after the last segment until the traffic thread has handled all. */
constexpr auto drain_time = std::chrono::milliseconds(200);

struct log_row {
  const char* name;
  uint64_t one_in;  ///< One of this many flows is logged; 0 for none.
  bool has_reader;  ///< Else the log goes to a pipe that is not read.
};

struct log_result {
  uint64_t segments = 0;
  double us_per_segment = 0;  ///< CPU time of the traffic thread.
  uint64_t written_bytes = 0;
  uint64_t lost_lines = 0;
};

double cpu_seconds(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

void write_big_endian(uint8_t* at, uint64_t value, size_t byte_count) {
  for (size_t i = 0; i < byte_count; ++i)
    at[i] = static_cast<uint8_t>(value >> (8 * (byte_count - 1 - i)));
}

/** @return A segment from a caller, encoded, without a checksum: it is not
 * checked on loopback. */
std::array<uint8_t, platform::header_bytes> make_segment(
    uint32_t flow,
    uint8_t flags,
    uint32_t acknowledgment,
    flow_token token) {
  std::array<uint8_t, platform::header_bytes> output{};
  output[4] = flags;
  write_big_endian(&output[8], flow & 0xffff, 2);
  write_big_endian(&output[10], 443, 2);
  write_big_endian(&output[12], 0xc6120001, 4);
  write_big_endian(&output[16], 0x64400000 + (flow >> 16), 4);
  write_big_endian(&output[24], acknowledgment, 4);
  write_big_endian(&output[28], token, 4);
  return output;
}

std::shared_ptr<const forwarding_table> make_forwarding_table() {
  table_input input;
  routing_entry routing;
  routing.version = 1;
  route_entry route;
  route.address = {0xc6120001, 443};
  route.services = {{"notes", 1}};
  routing.routes = {route};
  routing.services = {{"notes", 2000, 0.0}};
  input.routing = std::make_shared<const directory_value>(routing);
  for (int i = 0; i < target_count; ++i) {
    target_input target;
    target.entry.name = "i-" + std::to_string(i);
    target.entry.service = "notes";
    target.entry.zone = "north";
    target.entry.slots = 2;
    target.entry.address = {loopback, target_port};
    input.targets.push_back(target);
  }
  return std::make_shared<const forwarding_table>(input);
}

/** Sends the four segments of each flow, in bursts. */
void send_flows(int socket) {
  constexpr uint8_t syn = 0x80;
  constexpr uint8_t ack = 0x02;
  constexpr uint8_t fin = 0x04;
  const sockaddr_in to = to_sockaddr({loopback, balancer_port});
  int sent_segments = 0;
  const auto send_segment = [&](const auto& packet) {
    sendto(socket, packet.data(), packet.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (++sent_segments % segments_per_burst == 0)
      std::this_thread::sleep_for(burst_pause);
  };
  for (uint32_t flow = 0; flow < flow_count; ++flow) {
    const flow_token token =
        token_of("i-" + std::to_string(flow % target_count));
    send_segment(make_segment(flow, syn, 0, 0));
    send_segment(make_segment(flow, ack, 1, token));
    send_segment(make_segment(flow, ack, 600, token));
    send_segment(make_segment(flow, ack | fin, 601, token));
  }
  std::this_thread::sleep_for(drain_time);
}

/** Redirects standard output, which carries the log, to the descriptor @p to
 * until the end of the scope. */
class redirected_log {
 public:
  explicit redirected_log(int to) : stdout_copy_(dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    dup2(to, STDOUT_FILENO);
  }
  ~redirected_log() {
    dup2(stdout_copy_, STDOUT_FILENO);
    close(stdout_copy_);
  }
  redirected_log(const redirected_log&) = delete;
  redirected_log& operator=(const redirected_log&) = delete;

 private:
  int stdout_copy_;
};

result<log_result> measure(const log_row& row) {
  forwarding_options options;
  options.placing.zone = "north";
  options.log_one_in = row.one_in;
  std::array<int, 2> unread_pipe{};
  const int null = open("/dev/null", O_WRONLY);
  if (null < 0 || pipe(unread_pipe.data()) != 0)
    return fail(result_code::internal, std::strerror(errno));
  const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
  segment_runner runner({loopback, balancer_port}, options, system_random());
  auto start_result = runner.start();
  if (!start_result)
    return boost::outcome_v2::failure(start_result.error());
  runner.publish({make_forwarding_table(), 1, {}, {}, {}, false});
  log_result output;
  const uint64_t bytes_before = log_bytes_written();
  const uint64_t lost_before = log_lines_lost();
  {
    const redirected_log redirected(row.has_reader ? null : unread_pipe[1]);
    const double process_cpu_before = cpu_seconds(CLOCK_PROCESS_CPUTIME_ID);
    const double sender_cpu_before = cpu_seconds(CLOCK_THREAD_CPUTIME_ID);
    send_flows(socket);
    const double traffic_cpu_s =
        cpu_seconds(CLOCK_PROCESS_CPUTIME_ID) - process_cpu_before -
        (cpu_seconds(CLOCK_THREAD_CPUTIME_ID) - sender_cpu_before);
    for (const uint64_t segment_count : runner.snapshot(false).counters.reasons)
      output.segments += segment_count;
    output.us_per_segment =
        traffic_cpu_s * 1e6 / static_cast<double>(output.segments);
    runner.stop();
  }
  output.written_bytes = log_bytes_written() - bytes_before;
  output.lost_lines = log_lines_lost() - lost_before;
  for (const int descriptor : {null, unread_pipe[0], unread_pipe[1], socket})
    close(descriptor);
  return output;
}

int run_benchmark() {
  constexpr log_row rows[] = {{"none", 0, true},
                              {"one flow of 16", 16, true},
                              {"all flows", 1, true},
                              {"all flows, not read", 1, false}};
  fmt::print(
      "| log | segments handled | CPU us per segment | segments/s per core "
      "| bytes written | lines lost |\n| --- | --- | --- | --- | --- | --- "
      "|\n");
  double us_without_log = 0;
  double us_sampled = 0;
  for (const auto& row : rows) {
    auto measured = measure(row);
    if (!measured) {
      fmt::print(stderr, "{}\n", to_text(measured.error()));
      return 1;
    }
    const log_result& measurement = measured.value();
    fmt::print("| {} | {} | {:.2f} | {:.0f} | {} | {} |\n", row.name,
               measurement.segments, measurement.us_per_segment,
               1e6 / measurement.us_per_segment, measurement.written_bytes,
               measurement.lost_lines);
    if (row.one_in == 0)
      us_without_log = measurement.us_per_segment;
    if (row.one_in > 1)
      us_sampled = measurement.us_per_segment;
  }
  fmt::print("{{\"us_each_without\":{:.3f},\"us_each_usual\":{:.3f}}}\n",
             us_without_log, us_sampled);
  return 0;
}

}  // namespace
}  // namespace turmeric

int main() {
  return turmeric::run_benchmark();
}
