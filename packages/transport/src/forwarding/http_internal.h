/** @file http_internal.h Socket options of the HTTP client and server. */
#ifndef TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_
#define TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>

namespace turmeric {

/** TCP closes a connection whose sent data stays unacknowledged this long, as
 * to a peer behind a network partition, which sends no reset. Long enough for a
 * few retransmissions. */
constexpr int user_timeout_ms = 2000;

/** Makes the connection end when the path to the peer fails, and disables
 * Nagle's algorithm so that small messages are sent at once. */
inline void set_tcp_options(boost::asio::ip::tcp::socket& socket) {
  using user_timeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // Errors are ignored: the timeouts of the requests hold all the same.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(user_timeout(user_timeout_ms), ignored);
}

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_
