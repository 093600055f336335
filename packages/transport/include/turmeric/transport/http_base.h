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

/** Result of a request of an http_client. */
struct http_result {
  int status = 0;  ///< 0 if no complete response came before the timeout.
  std::string body;
  std::string header_value;    ///< Of the header chosen in the http_client.
  std::string failure_reason;  ///< Why there is no response; empty if it came.
};

/** A client with one keep-alive connection to a server. A request without a
 * response closes the connection, since a late response would be taken for that
 * of the next request. */
class http_client {
 public:
  using handler = std::function<void(http_result)>;

  /** @param header Name of the response header that results hold; empty for
   * none. */
  http_client(boost::asio::io_context& loop,
              endpoint server,
              std::string header = "");
  ~http_client();

  /** Sends a GET request for @p path_and_query; @p done is called once, unless
   * the request is cancelled.
   * @param timeout For all steps together, with connecting.
   * @pre No other request is pending. */
  void get(const std::string& path_and_query, time_us timeout, handler done);

  /** Cancels a pending request without calling its handler; does nothing if
   * there is none. */
  void cancel_pending();

 private:
  struct connection;

  boost::asio::io_context& loop_;
  endpoint server_;
  std::string header_;
  std::shared_ptr<connection> connection_;
};

/** Response of an http_server. */
struct http_response {
  int status = 200;
  std::string type = "text/plain";  ///< Value of Content-Type.
  std::string body;
};

/** Serves GET requests on one TCP port. Other methods get status 405. */
class http_server {
 public:
  using handler =
      std::function<http_response(const std::string& path_and_query)>;

  http_server(boost::asio::io_context& loop, handler on_get);
  ~http_server();

  /** Starts listening.
   * @return `internal` if it cannot listen there, for instance because the port
   * is in use. */
  result<void> start(endpoint local);

  /** @return The port that it listens on. */
  uint16_t port() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_HTTP_BASE_H_
