/** @file http_test.cpp The registry's HTTP client against a server that
 * misbehaves, and the probes' server against odd requests. */
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
constexpr time_us short_limit = 300 * us_per_ms;

/** What a server does with a request. */
enum class behaviour { answer, close, silent, cut_short, garbage, two_answers };

/** Accepts connections and treats each request by a list of behaviours. */
class odd_server {
 public:
  odd_server(std::vector<behaviour> script, std::string answer)
      : script_(std::move(script)),
        answer_(std::move(answer)),
        acceptor_(loop_, {asio_ns::ip::address_v4(loopback), 0}),
        thread_([this] { run(); }) {}

  ~odd_server() {
    stopping_ = true;
    // Wakes the thread from accept().
    asio_ns::io_context loop;
    tcp::socket knock(loop);
    boost::system::error_code ignored;
    knock.connect(acceptor_.local_endpoint(), ignored);
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
    while (next_ < script_.size()) {
      asio_ns::streambuf request;
      asio_ns::read_until(*socket, request, "\r\n\r\n", code);
      if (code)
        return;
      const behaviour what = script_[next_++];
      if (what == behaviour::close)
        return;
      if (what == behaviour::silent) {
        kept_.push_back(std::move(*socket));
        return;
      }
      std::string text = answer_;
      if (what == behaviour::cut_short)
        text.resize(text.size() / 2);
      if (what == behaviour::garbage)
        text = "this is no HTTP\r\n\r\n";
      if (what == behaviour::two_answers)
        text += text;
      asio_ns::write(*socket, asio_ns::buffer(text), code);
      if (what != behaviour::answer && what != behaviour::two_answers)
        return;
    }
  }

  std::vector<behaviour> script_;
  std::string answer_;
  asio_ns::io_context loop_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> kept_;
  size_t next_ = 0;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/** Makes one request and waits for its end. */
http_result get(asio_ns::io_context* loop, http_client* client) {
  http_result out;
  client->get("/x", short_limit, [&](http_result a) { out = std::move(a); });
  loop->restart();
  loop->run();
  return out;
}

const std::string fine = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

struct odd_row {
  const char* name;
  behaviour first;
  int first_status;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_suite)

// An answer may be lost, late or broken; the next request must not get it.
BOOST_AUTO_TEST_CASE(requests_after_a_failure_use_a_new_connection) {
  const odd_row rows[] = {
      {"closed without an answer", behaviour::close, 0},
      {"silent for good", behaviour::silent, 0},
      {"cut short", behaviour::cut_short, 0},
      {"not HTTP", behaviour::garbage, 0},
      {"fine", behaviour::answer, 200},
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.name) {
      odd_server server({row.first, behaviour::answer}, fine);
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

BOOST_AUTO_TEST_CASE(refusals_come_back_with_their_status) {
  const status_row rows[] = {
      {410, "HTTP/1.1 410 Gone\r\nContent-Length: 2\r\n\r\n{}"},
      {429, "HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"},
      {503, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
  };
  for (const auto& row : rows) {
    odd_server server({behaviour::answer}, row.text);
    asio_ns::io_context loop;
    http_client client(loop, server.address());
    BOOST_TEST(get(&loop, &client).status == row.status);
  }
}

BOOST_AUTO_TEST_CASE(nobody_listening_ends_the_request) {
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
  const char* expected;  ///< Start of the answer; empty for a closed one.
};

BOOST_AUTO_TEST_CASE(probes_server_takes_any_request_without_harm) {
  const request_row rows[] = {
      {"probe", "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "HTTP/1.1 200"},
      {"other path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
       "HTTP/1.1 404"},
      {"other method", "POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
       "HTTP/1.1 405"},
      {"no HTTP", "\x16\x03\x01 garbage\r\n\r\n", ""},
      {"endless header", "GET /" + std::string(100000, 'a') + " HTTP/1.1\r\n",
       ""},
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
        asio_ns::io_context own;
        tcp::socket socket(own);
        socket.connect({asio_ns::ip::address_v4(loopback), server.port()});
        boost::system::error_code code;
        asio_ns::write(socket, asio_ns::buffer(row.text), code);
        std::string answer(12, '\0');
        const size_t size =
            asio_ns::read(socket, asio_ns::buffer(answer), code);
        answer.resize(size);
        BOOST_TEST(answer == row.expected);
      }
    }
  }
  loop.stop();
  thread.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace turmeric
