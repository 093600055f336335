/** @file http_internal.h What the HTTP client and server share. */
#ifndef TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_
#define TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>

namespace turmeric {

/** Unacknowledged bytes end a connection after this, in ms: a partitioned
 * peer sends no reset. Above a few retransmissions of TCP. */
constexpr int user_timeout_ms = 2000;

/** Makes a dead path end the connection, and sends small messages at once. */
inline void set_liveness(boost::asio::ip::tcp::socket& socket) {
  using user_timeout =
      boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                  TCP_USER_TIMEOUT>;
  // Without these options the requests' own time limits still hold.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(user_timeout(user_timeout_ms), ignored);
}

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_
