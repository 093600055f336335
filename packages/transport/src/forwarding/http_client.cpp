/** @file http_client.cpp Requests over one kept connection. */
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "http_internal.h"
#include "turmeric/state/service_type.h"
#include "turmeric/transport/http_base.h"

namespace turmeric {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

/** Largest answer taken: the registry's pages are about a megabyte. */
constexpr uint64_t max_body_bytes = 8 << 20;

}  // namespace

/** A connection with at most one request on its way. */
struct http_client::exchange : std::enable_shared_from_this<exchange> {
  exchange(boost::asio::io_context& loop, endpoint to)
      : stream(loop), server(to) {}

  void send(const std::string& target, time_us timeout, handler done) {
    on_done = std::move(done);
    request = {http::verb::get, target, 11};
    request.set(http::field::host, to_text(server));
    parser.emplace();
    parser->body_limit(max_body_bytes);
    // Beast's limit holds for all steps until it is set anew.
    stream.expires_after(std::chrono::microseconds(timeout));
    if (connected) {
      write();
      return;
    }
    stream.async_connect(
        tcp::endpoint(boost::asio::ip::address_v4(server.ip), server.port),
        [self = shared_from_this()](const beast::error_code& code) {
          if (code)
            return self->finish(code);
          self->connected = true;
          set_liveness(self->stream.socket());
          self->write();
        });
  }

  void write() {
    http::async_write(
        stream, request,
        [self = shared_from_this()](const beast::error_code& code, size_t) {
          if (code)
            return self->finish(code);
          self->read();
        });
  }

  void read() {
    http::async_read(
        stream, buffer, *parser,
        [self = shared_from_this()](const beast::error_code& code, size_t) {
          self->finish(code);
        });
  }

  void finish(const beast::error_code& code) {
    http_result answer;
    if (code) {
      answer.failure_reason = code.message();
      broken = true;
    } else {
      answer.status = static_cast<int>(parser->get().result_int());
      answer.body = std::move(parser->get().body());
      broken = !parser->keep_alive();
    }
    stream.expires_never();
    if (broken)
      close();
    if (auto done = std::exchange(on_done, nullptr))
      done(std::move(answer));
  }

  void close() {
    beast::error_code ignored;
    stream.socket().close(ignored);
  }

  beast::tcp_stream stream;
  endpoint server;
  bool connected = false;
  bool broken = false;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  beast::flat_buffer buffer;
  handler on_done;
};

http_client::http_client(boost::asio::io_context& loop, endpoint server)
    : loop_(loop), server_(server) {}

http_client::~http_client() {
  cancel_if_open();
}

void http_client::get(const std::string& target,
                      time_us timeout,
                      handler done) {
  if (open_ == nullptr || open_->broken)
    open_ = std::make_shared<exchange>(loop_, server_);
  open_->send(target, timeout, std::move(done));
}

void http_client::cancel_if_open() {
  if (open_ == nullptr || !open_->on_done)
    return;
  open_->on_done = nullptr;
  open_->broken = true;
  open_->close();
  open_ = nullptr;
}

}  // namespace turmeric
