/** @file http_base.h Asynchronous HTTP through Boost.Beast, on one event loop.
 */
#ifndef TURMERIC_TRANSPORT_HTTP_BASE_H_
#define TURMERIC_TRANSPORT_HTTP_BASE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "turmeric/state/error_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/time_type.h"

namespace turmeric {

/** The end of a request. */
struct http_result {
  int status = 0;  ///< 0 if no whole answer came in time.
  std::string body;
  std::string failure_reason;  ///< Why none came.
};

/** One connection to a server, kept open between requests. A request that
 * gets no answer closes it, since an answer to it may still come. */
class http_client {
 public:
  using handler = std::function<void(http_result)>;

  http_client(boost::asio::io_context& loop, endpoint server);
  ~http_client();

  /** Sends a GET request; @p done is called once.
   * @pre No other request is open. */
  void get(const std::string& target, time_us timeout, handler done);

  /** Gives up a request that is still open, without calling its handler. */
  void cancel_if_open();

 private:
  struct exchange;

  boost::asio::io_context& loop_;
  endpoint server_;
  std::shared_ptr<exchange> open_;
};

/** An answer of a server. */
struct http_response {
  int status = 200;
  std::string type = "text/plain";
  std::string body;
};

/** Serves GET requests on one TCP port. */
class http_server {
 public:
  using handler = std::function<http_response(const std::string& target)>;

  http_server(boost::asio::io_context& loop, handler on_get);
  ~http_server();

  /** Starts listening.
   * @return `internal` if the port is taken. */
  result<void> start(endpoint local);

  /** @return The port that it listens on. */
  uint16_t port() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_HTTP_BASE_H_
