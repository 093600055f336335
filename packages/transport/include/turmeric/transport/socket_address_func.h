/** @file socket_address_func.h Addresses for the socket calls of the system. */
#ifndef TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_
#define TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include "turmeric/state/message_type.h"

namespace turmeric {

/** @return @p e as an IPv4 socket address, in network byte order. */
inline sockaddr_in to_sockaddr(endpoint e) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(e.port);
  out.sin_addr.s_addr = htonl(e.ip);
  return out;
}

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_
