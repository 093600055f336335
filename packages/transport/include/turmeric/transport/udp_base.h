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

/** Receives datagrams on an event loop and sends them at once. */
class udp_socket {
 public:
  /** Called for each datagram; the data is valid during the call only. */
  using handler =
      std::function<void(endpoint from, const char* data, size_t size)>;

  explicit udp_socket(asio::io_context& loop);

  /** Binds to @p local; port 0 takes any free one.
   * @return `internal` with the system's message if that fails. */
  result<void> bind(endpoint local);

  /** Starts receiving. @pre bind() succeeded. */
  void start(handler on_datagram);

  /** Sends a datagram. A full buffer drops it, as a network would. */
  void send(endpoint to, const std::string& data);

  /** Stops receiving and frees the port. */
  void close();

  /** @return The bound port. */
  uint16_t port() const;

 private:
  void wait();
  void drain();

  asio::ip::udp::socket socket_;
  handler on_datagram_;
  std::vector<char> buffer_;
};

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_UDP_BASE_H_
