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
/** An idle connection, such as that of a waiting watch, is probed after this
 * time and then as often; a few unanswered probes close it. */
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

template <int Name>
using tcp_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/** Makes the connection end when the path to the peer fails, and disables
 * Nagle's algorithm so that small messages are sent at once. */
inline void set_tcp_options(boost::asio::ip::tcp::socket& socket) {
  using user_timeout = tcp_option<TCP_USER_TIMEOUT>;
  using keep_alive_idle = tcp_option<TCP_KEEPIDLE>;
  using keep_alive_interval = tcp_option<TCP_KEEPINTVL>;
  using keep_alive_count = tcp_option<TCP_KEEPCNT>;
  // Errors are ignored: the timeouts of the requests hold all the same.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(user_timeout(user_timeout_ms), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(keep_alive_idle(keep_alive_interval_s), ignored);
  socket.set_option(keep_alive_interval(keep_alive_interval_s), ignored);
  socket.set_option(keep_alive_count(keep_alive_probes), ignored);
}

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SRC_HTTP_INTERNAL_H_
