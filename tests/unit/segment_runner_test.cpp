/** @file segment_runner_test.cpp The traffic thread on a real socket. */
#include "turmeric/transport/segment_runner_base.h"

#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstring>
#include <ctime>
#include <thread>

#include "forwarding_fixture.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/transport/arrival_bound_base.h"
#include "turmeric/transport/clock_func.h"
#include "turmeric/transport/file_descriptor_base.h"
#include "turmeric/transport/socket_address_func.h"

namespace turmeric {
namespace {

constexpr uint32_t loopback = 0x7f000001;
constexpr uint8_t opens_flag = 128;
constexpr size_t flags_offset = 4;
constexpr size_t source_offset = 16;
/** Longest time until the traffic thread has handled a datagram. */
constexpr auto handling_time = std::chrono::seconds(5);

/** @return A UDP port that no other socket uses now. */
uint16_t free_port() {
  const file_descriptor probe(socket(AF_INET, SOCK_DGRAM, 0));
  sockaddr_in address = to_sockaddr({loopback, 0});
  socklen_t size = sizeof(address);
  BOOST_REQUIRE(bind(probe.get(), reinterpret_cast<const sockaddr*>(&address),
                     size) == 0);
  BOOST_REQUIRE(getsockname(probe.get(), reinterpret_cast<sockaddr*>(&address),
                            &size) == 0);
  return ntohs(address.sin_port);
}

/** Sends an opening without a route. */
void send_opening(const file_descriptor& from, endpoint caller, endpoint to) {
  std::array<uint8_t, platform::header_bytes> packet{};
  packet[flags_offset] = opens_flag;
  const sockaddr_in source = to_sockaddr(caller);
  std::memcpy(&packet[source_offset], &source.sin_addr,
              sizeof(source.sin_addr));
  const sockaddr_in address = to_sockaddr(to);
  BOOST_REQUIRE(sendto(from.get(), packet.data(), packet.size(), 0,
                       reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == static_cast<ssize_t>(packet.size()));
}

uint64_t decisions(segment_runner* runner, forwarding_reason reason) {
  return runner->snapshot(false).counters.reasons[static_cast<size_t>(reason)];
}

double processor_seconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct wait_row {
  std::chrono::milliseconds until_table;
  forwarding_reason expected;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(segment_runner_suite)

// Packets wait in the socket until the first table is published.
BOOST_AUTO_TEST_CASE(openings_that_waited_in_the_socket_are_dropped) {
  const wait_row rows[] = {
      {std::chrono::milliseconds(0), forwarding_reason::no_route},
      {std::chrono::milliseconds(250), forwarding_reason::superseded},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.until_table.count() << " ms") {
      const endpoint local{loopback, free_port()};
      segment_runner runner(local, forwarding_fixture::options(),
                            system_random());
      BOOST_REQUIRE(runner.start().has_value());
      send_opening(file_descriptor(socket(AF_INET, SOCK_DGRAM, 0)),
                   {loopback, 1}, local);
      std::this_thread::sleep_for(row.until_table);
      runner.publish({table_builder().table(), 1, {}, {}, {}, false});
      const auto deadline = std::chrono::steady_clock::now() + handling_time;
      while (decisions(&runner, row.expected) == 0 &&
             std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      BOOST_TEST(decisions(&runner, row.expected) == 1u);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_late_first_table_leaves_the_thread_idle) {
  const endpoint local{loopback, free_port()};
  segment_runner runner(local, forwarding_fixture::options(), system_random());
  BOOST_REQUIRE(runner.start().has_value());
  send_opening(file_descriptor(socket(AF_INET, SOCK_DGRAM, 0)), {loopback, 1},
               local);
  // Longer than the thread waits for the table.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  runner.publish({table_builder().table(), 1, {}, {}, {}, false});
  const double before = processor_seconds();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(processor_seconds() - before < 0.1);
}

struct read_step {
  time_us at_ms;
  size_t count;
  bool empty;
  time_us expected_ms;  ///< Earliest arrival of the datagrams read next.
};

BOOST_AUTO_TEST_CASE(a_socket_that_is_never_empty_is_bounded_by_its_capacity) {
  // Each ten datagrams read are marked; seven marks make up the capacity.
  constexpr size_t capacity = 63;
  const read_step steps[] = {
      {1010, 5, true, 1010},   {1500, 10, false, 1010}, {1510, 10, false, 1010},
      {1520, 10, false, 1010}, {1530, 10, false, 1010}, {1540, 10, false, 1010},
      {1550, 10, false, 1010}, {1560, 9, false, 1010},  {1570, 1, false, 1010},
      {1580, 10, false, 1500}, {1590, 10, false, 1510}, {1600, 3, true, 1600},
  };
  arrival_bound bound(1000 * us_per_ms, capacity);
  BOOST_TEST(bound.earliest() == 1000 * us_per_ms);
  for (const auto& step : steps) {
    BOOST_TEST_CONTEXT(step.at_ms << " ms") {
      bound.on_read(step.at_ms * us_per_ms, step.count, step.empty);
      BOOST_TEST(bound.earliest() == step.expected_ms * us_per_ms);
    }
  }
}

/** Keeps a thread from running for 300 ms. */
void pause_thread(int) {
  const timespec pause{0, 300 * us_per_ms * 1000};
  nanosleep(&pause, nullptr);
}

// A reader of the state that is descheduled holds the lock of the core.
BOOST_AUTO_TEST_CASE(openings_that_wait_for_the_state_are_not_reset) {
  constexpr int rounds = 6;
  constexpr int max_reply_ms = 250;
  table_builder builder;
  for (int i = 0; i < 3000; ++i)
    builder.add("t" + std::to_string(i), "north");
  std::signal(SIGUSR1, pause_thread);
  for (int round = 0; round < rounds; ++round) {
    const endpoint local{loopback, free_port()};
    segment_runner runner(local, forwarding_fixture::options(),
                          system_random());
    BOOST_REQUIRE(runner.start().has_value());
    runner.publish({builder.table(), 1, {}, {}, {}, false});
    // Resets go to the caller's address at the balancer's port.
    const endpoint caller{loopback + 1, local.port};
    const file_descriptor from(socket(AF_INET, SOCK_DGRAM, 0));
    const sockaddr_in address = to_sockaddr(caller);
    BOOST_REQUIRE(bind(from.get(), reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0);
    std::atomic<bool> end{false};
    std::thread reader([&] {
      while (!end)
        runner.snapshot(true);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    pthread_kill(reader.native_handle(), SIGUSR1);
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
    const auto sent = std::chrono::steady_clock::now();
    send_opening(from, caller, local);
    pollfd reply{from.get(), POLLIN, 0};
    const bool replied = poll(&reply, 1, 600) > 0;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - sent);
    BOOST_TEST((!replied || elapsed.count() < max_reply_ms));
    end = true;
    reader.join();
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
