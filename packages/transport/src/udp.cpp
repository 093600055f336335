/** @file udp.cpp UDP through Asio. */
#include "turmeric/transport/udp_base.h"

namespace turmeric {
namespace {

constexpr size_t max_datagram_bytes = 65536;
/** Datagrams received in a row before other handlers of the loop may run. */
constexpr int max_datagrams_per_wakeup = 64;
constexpr int socket_buffer_bytes = 4 << 20;

asio::ip::udp::endpoint to_asio(endpoint e) {
  return {asio::ip::address_v4(e.ip), e.port};
}

endpoint from_asio(const asio::ip::udp::endpoint& e) {
  return {e.address().to_v4().to_uint(), e.port()};
}

}  // namespace

udp_socket::udp_socket(asio::io_context& loop)
    : socket_(loop), buffer_(max_datagram_bytes) {}

result<void> udp_socket::bind(endpoint local) {
  asio::error_code code;
  socket_.open(asio::ip::udp::v4(), code);
  if (!code)
    socket_.bind(to_asio(local), code);
  if (!code)
    socket_.non_blocking(true, code);
  if (code)
    return fail(result_code::internal,
                "cannot open or bind the UDP socket: " + code.message());
  // Larger buffers are optional: the system may grant less, so errors are
  // ignored.
  asio::error_code ignored;
  socket_.set_option(
      asio::socket_base::receive_buffer_size(socket_buffer_bytes), ignored);
  socket_.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes),
                     ignored);
  return boost::outcome_v2::success();
}

void udp_socket::start(handler on_datagram) {
  on_datagram_ = std::move(on_datagram);
  wait_for_datagrams();
}

void udp_socket::wait_for_datagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const asio::error_code& code) {
                       if (code == asio::error::operation_aborted)
                         return;
                       receive_batch();
                       wait_for_datagrams();
                     });
}

void udp_socket::receive_batch() {
  for (int i = 0; i < max_datagrams_per_wakeup; ++i) {
    asio::ip::udp::endpoint from;
    asio::error_code code;
    const size_t size =
        socket_.receive_from(asio::buffer(buffer_), from, 0, code);
    // An ICMP refusal of an earlier send is reported here. The socket stays
    // usable.
    if (code == asio::error::connection_refused)
      continue;
    if (code)
      return;
    on_datagram_(from_asio(from), buffer_.data(), size);
  }
}

void udp_socket::send(endpoint to, const std::string& data) {
  asio::error_code ignored;
  socket_.send_to(asio::buffer(data), to_asio(to), 0, ignored);
}

void udp_socket::close() {
  asio::error_code ignored;
  socket_.close(ignored);
}

uint16_t udp_socket::port() const {
  asio::error_code ignored;
  return socket_.local_endpoint(ignored).port();
}

}  // namespace turmeric
