/** @file http_client.cpp HTTP requests over one keep-alive connection. */
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

/** Largest accepted response body; pages of the registry have about 1 MB. */
constexpr uint64_t max_body_bytes = 8 << 20;

}  // namespace

/** A connection with at most one pending request. */
struct http_client::connection : std::enable_shared_from_this<connection> {
  connection(boost::asio::io_context& loop, endpoint to, std::string header)
      : stream(loop), server(to), result_header(std::move(header)) {}

  void send(const std::string& path_and_query, time_us timeout, handler done) {
    on_done = std::move(done);
    request = {http::verb::get, path_and_query, 11};
    request.set(http::field::host, to_text(server));
    parser.emplace();
    parser->body_limit(max_body_bytes);
    // The timeout covers connecting, writing and reading together: Beast keeps
    // it until the next call of expires_after() or expires_never().
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
          set_tcp_options(self->stream.socket());
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
    http_result reply;
    if (code) {
      reply.failure_reason = code.message();
      unusable = true;
    } else {
      reply.status = static_cast<int>(parser->get().result_int());
      if (!result_header.empty())
        reply.header_value = std::string(parser->get()[result_header]);
      reply.body = std::move(parser->get().body());
      unusable = !parser->keep_alive();
    }
    stream.expires_never();
    if (unusable)
      close();
    if (auto done = std::exchange(on_done, nullptr))
      done(std::move(reply));
  }

  void close() {
    beast::error_code ignored;
    stream.socket().close(ignored);
  }

  beast::tcp_stream stream;
  endpoint server;
  std::string result_header;
  bool connected = false;
  bool unusable = false;  ///< Failed, cancelled, or closed by the server.
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  beast::flat_buffer buffer;
  handler on_done;  ///< Set while a request is pending.
};

http_client::http_client(boost::asio::io_context& loop,
                         endpoint server,
                         std::string header)
    : loop_(loop), server_(server), header_(std::move(header)) {}

http_client::~http_client() {
  cancel_pending();
}

void http_client::get(const std::string& path_and_query,
                      time_us timeout,
                      handler done) {
  if (connection_ == nullptr || connection_->unusable)
    connection_ = std::make_shared<connection>(loop_, server_, header_);
  connection_->send(path_and_query, timeout, std::move(done));
}

void http_client::cancel_pending() {
  if (connection_ == nullptr || !connection_->on_done)
    return;
  connection_->on_done = nullptr;
  connection_->unusable = true;
  connection_->close();
  connection_ = nullptr;
}

}  // namespace turmeric
