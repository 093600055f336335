/** @file http_server.cpp HTTP server for probes, metrics and operators. */
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "http_internal.h"
#include "turmeric/transport/http_base.h"

namespace turmeric {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

/** A connection without a complete request for this long is closed. Routers
 * probe every 0.5 s. */
constexpr auto idle_timeout = std::chrono::seconds(15);
/** Maximum number of open connections; further ones are closed at once, so that
 * clients cannot exhaust the file descriptors of the process. */
constexpr size_t max_connections = 64;
/** Delay before accepting again after accepting a connection failed. */
constexpr auto accept_retry_delay = std::chrono::milliseconds(100);
constexpr uint32_t max_header_bytes = 8192;
constexpr uint64_t max_body_bytes = 4096;

/** A connection and the requests on it, served one after the other. */
class session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket,
          std::shared_ptr<http_server::handler> on_get,
          std::shared_ptr<size_t> open_sessions)
      : stream_(std::move(socket)),
        on_get_(std::move(on_get)),
        open_sessions_(std::move(open_sessions)) {
    ++*open_sessions_;
  }

  ~session() { --*open_sessions_; }

  void read() {
    parser_.emplace();
    parser_->header_limit(max_header_bytes);
    parser_->body_limit(max_body_bytes);
    stream_.expires_after(idle_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& code, size_t) {
          if (!code)
            self->respond();
        });
  }

 private:
  void respond() {
    const auto& request = parser_->get();
    http_response reply{405, "text/plain", ""};
    if (request.method() == http::verb::get)
      reply = (*on_get_)(std::string(request.target()));
    response_ = {static_cast<http::status>(reply.status), request.version()};
    response_.set(http::field::content_type, reply.type);
    response_.keep_alive(request.keep_alive());
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    http::async_write(
        stream_, response_,
        [self = shared_from_this()](const beast::error_code& code, size_t) {
          if (!code && self->response_.keep_alive())
            self->read();
        });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<http_server::handler> on_get_;
  std::shared_ptr<size_t> open_sessions_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
};

}  // namespace

/** The listening socket; kept alive by its pending operations. */
struct http_server::impl : std::enable_shared_from_this<impl> {
  impl(boost::asio::io_context& loop, handler hook)
      : acceptor(loop),
        accept_retry_timer(loop),
        on_get(std::make_shared<handler>(std::move(hook))) {}

  void accept() {
    acceptor.async_accept(
        [self = shared_from_this()](const beast::error_code& code,
                                    tcp::socket socket) {
          if (code == boost::asio::error::operation_aborted)
            return;
          if (!code && *self->open_sessions < max_connections) {
            set_tcp_options(socket);
            std::make_shared<session>(std::move(socket), self->on_get,
                                      self->open_sessions)
                ->read();
          }
          if (code)
            self->accept_later();
          else
            self->accept();
        });
  }

  /** Accepts again after a delay: without free file descriptors, accepting
   * fails at once, and retrying without a delay would be a busy loop. */
  void accept_later() {
    accept_retry_timer.expires_after(accept_retry_delay);
    accept_retry_timer.async_wait(
        [self = shared_from_this()](const beast::error_code& code) {
          if (!code)
            self->accept();
        });
  }

  tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  std::shared_ptr<handler> on_get;
  std::shared_ptr<size_t> open_sessions = std::make_shared<size_t>(0);
};

http_server::http_server(boost::asio::io_context& loop, handler on_get)
    : impl_(std::make_shared<impl>(loop, std::move(on_get))) {}

http_server::~http_server() {
  beast::error_code ignored;
  impl_->acceptor.close(ignored);
}

result<void> http_server::start(endpoint local) {
  beast::error_code code;
  auto& acceptor = impl_->acceptor;
  acceptor.open(tcp::v4(), code);
  if (!code)
    acceptor.set_option(tcp::acceptor::reuse_address(true), code);
  if (!code)
    acceptor.bind({boost::asio::ip::address_v4(local.ip), local.port}, code);
  if (!code)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, code);
  if (code)
    return fail(result_code::internal,
                "cannot listen for HTTP requests: " + code.message());
  impl_->accept();
  return boost::outcome_v2::success();
}

uint16_t http_server::port() const {
  beast::error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

}  // namespace turmeric
