/** @file socket_address_func.h Addresses as the system's calls take them. */
#ifndef TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_
#define TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include "turmeric/state/message_type.h"

namespace turmeric {

/** @return @p e for IPv4 sockets. */
inline sockaddr_in to_sockaddr(endpoint e) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(e.port);
  out.sin_addr.s_addr = htonl(e.ip);
  return out;
}

}  // namespace turmeric

#endif  // TURMERIC_TRANSPORT_SOCKET_ADDRESS_FUNC_H_
