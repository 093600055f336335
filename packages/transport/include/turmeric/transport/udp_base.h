/** @file udp_base.h A bound, non-blocking UDP socket. */
#ifndef TURMERIC_TRANSPORT_UDP_BASE_H_
#define TURMERIC_TRANSPORT_UDP_BASE_H_

#include <asio.hpp>
#include <functional>
#include <string>
#include <vector>

#include "turmeric/state/error_type.h"
#include "turmeric/state/message_type.h"

namespace turmeric {

/** Receives datagrams on an event loop; sends immediately, without a queue. */
class udp_socket {
 public:
  /** Called on the event loop for each datagram. The data is valid only during
   * the call. */
  using handler =
      std::function<void(endpoint from, const char* data, size_t size)>;

  explicit udp_socket(asio::io_context& loop);

  /** Binds to @p local; port 0 selects any free port.
   * @return `internal` with the system's error message if that fails. */
  result<void> bind(endpoint local);

  /** Starts receiving. @pre bind() succeeded. */
  void start(handler on_datagram);

  /** Sends a datagram without blocking. It is dropped, as by a network, if the
   * send buffer is full or the send fails. */
  void send(endpoint to, const std::string& data);

  /** Stops receiving and releases the port. */
  void close();

  /** @return The bound port; 0 if the socket is not bound. */
  uint16_t port() const;

 private:
  void wait_for_datagrams();
  void receive_batch();

  asio::ip::udp::socket socket_;
  handler on_datagram_;
  std::vector<char> buffer_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_UDP_BASE_H_
