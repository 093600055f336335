/** @file http_test.cpp The registry's HTTP client against a faulty server, and
 * the HTTP server for probes against malformed requests. */
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <thread>

#include "turmeric/transport/http_base.h"

namespace turmeric {
namespace {

namespace asio_ns = boost::asio;
using tcp = asio_ns::ip::tcp;

constexpr uint32_t loopback = 0x7f000001;
constexpr time_us request_timeout = 300 * us_per_ms;

/** How the server handles a request. */
enum class behaviour { answer, close, silent, cut_short, garbage, two_answers };

/** Server that handles each request by the next entry of a list of behaviours,
 * and sends one fixed response. */
class faulty_server {
 public:
  faulty_server(std::vector<behaviour> behaviours, std::string response)
      : behaviours_(std::move(behaviours)),
        response_(std::move(response)),
        acceptor_(loop_, {asio_ns::ip::address_v4(loopback), 0}),
        thread_([this] { run(); }) {}

  ~faulty_server() {
    stopping_ = true;
    // A connection makes the pending accept() of the thread return.
    asio_ns::io_context loop;
    tcp::socket wakeup(loop);
    boost::system::error_code ignored;
    wakeup.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  endpoint address() const {
    return {loopback, acceptor_.local_endpoint().port()};
  }

  int connections() const { return connections_; }

 private:
  void run() {
    while (!stopping_) {
      tcp::socket socket(loop_);
      boost::system::error_code code;
      acceptor_.accept(socket, code);
      if (code || stopping_)
        return;
      ++connections_;
      serve(&socket);
    }
  }

  void serve(tcp::socket* socket) {
    boost::system::error_code code;
    while (next_ < behaviours_.size()) {
      asio_ns::streambuf request;
      asio_ns::read_until(*socket, request, "\r\n\r\n", code);
      if (code)
        return;
      const behaviour current = behaviours_[next_++];
      if (current == behaviour::close)
        return;
      if (current == behaviour::silent) {
        silent_sockets_.push_back(std::move(*socket));
        return;
      }
      std::string text = response_;
      if (current == behaviour::cut_short)
        text.resize(text.size() / 2);
      if (current == behaviour::garbage)
        text = "this is no HTTP\r\n\r\n";
      if (current == behaviour::two_answers)
        text += text;
      asio_ns::write(*socket, asio_ns::buffer(text), code);
      if (current != behaviour::answer && current != behaviour::two_answers)
        return;
    }
  }

  std::vector<behaviour> behaviours_;
  std::string response_;
  asio_ns::io_context loop_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> silent_sockets_;
  size_t next_ = 0;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/** Sends one GET request and runs the loop until it ends. */
http_result get(asio_ns::io_context* loop, http_client* client) {
  http_result out;
  client->get("/x", request_timeout,
              [&](http_result received) { out = std::move(received); });
  loop->restart();
  loop->run();
  return out;
}

const std::string valid_response =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

struct failure_row {
  const char* name;
  behaviour first;
  int first_status;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_suite)

// A response may be lost, late or malformed. After any of these the client must
// close its connection, or the next request could get that response.
BOOST_AUTO_TEST_CASE(requests_after_a_failure_use_a_new_connection) {
  const failure_row rows[] = {
      {"closed without a response", behaviour::close, 0},
      {"no response at all", behaviour::silent, 0},
      {"cut short", behaviour::cut_short, 0},
      {"not HTTP", behaviour::garbage, 0},
      {"fine", behaviour::answer, 200},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      faulty_server server({row.first, behaviour::answer}, valid_response);
      asio_ns::io_context loop;
      http_client client(loop, server.address());
      const http_result first = get(&loop, &client);
      BOOST_TEST(first.status == row.first_status);
      BOOST_TEST(first.failure_reason.empty() == (row.first_status != 0));
      const http_result second = get(&loop, &client);
      BOOST_TEST(second.status == 200);
      BOOST_TEST(second.body == "hello");
      BOOST_TEST(server.connections() == (row.first_status == 0 ? 2 : 1));
    }
  }
}

struct status_row {
  int status;
  const char* text;
};

BOOST_AUTO_TEST_CASE(error_statuses_are_returned) {
  const status_row rows[] = {
      {410, "HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}"},
      {429, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"},
      {503, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
  };
  for (const auto& row : rows) {
    faulty_server server({behaviour::answer}, row.text);
    asio_ns::io_context loop;
    http_client client(loop, server.address());
    BOOST_TEST(get(&loop, &client).status == row.status);
  }
}

BOOST_AUTO_TEST_CASE(refused_connection_ends_the_request) {
  asio_ns::io_context loop;
  tcp::acceptor unused(loop, {asio_ns::ip::address_v4(loopback), 0});
  const endpoint address{loopback, unused.local_endpoint().port()};
  unused.close();
  http_client client(loop, address);
  BOOST_TEST(get(&loop, &client).status == 0);
}

struct request_row {
  const char* name;
  std::string text;
  /** Start of the response; empty if the server closes the connection. */
  const char* expected;
};

BOOST_AUTO_TEST_CASE(probe_server_handles_malformed_requests) {
  const request_row rows[] = {
      {"probe", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200"},
      {"other path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
       "HTTP/1.1 404"},
      {"other method", "POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
       "HTTP/1.1 405"},
      {"not HTTP", "\x16\x03\x01 garbage\r\n\r\n", ""},
      {"header without an end",
       "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n", ""},
      {"large body", "GET /ready HTTP/1.1\r\nContent-Length: 100000000\r\n\r\n",
       ""},
  };
  asio_ns::io_context loop;
  http_server server(loop, [](const std::string& target) {
    return target == "/ready" ? http_response{200, "text/plain", ""}
                              : http_response{404, "text/plain", ""};
  });
  BOOST_REQUIRE(server.start({loopback, 0}));
  auto work = asio_ns::make_work_guard(loop);
  std::thread thread([&] { loop.run(); });
  for (int round = 0; round < 3; ++round) {
    for (const auto& row : rows) {
      BOOST_TEST_CONTEXT(row.name) {
        asio_ns::io_context client_loop;
        tcp::socket socket(client_loop);
        socket.connect({asio_ns::ip::address_v4(loopback), server.port()});
        boost::system::error_code code;
        asio_ns::write(socket, asio_ns::buffer(row.text), code);
        std::string response(12, '\0');
        const size_t size =
            asio_ns::read(socket, asio_ns::buffer(response), code);
        response.resize(size);
        BOOST_TEST(response == row.expected);
      }
    }
  }
  loop.stop();
  thread.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
