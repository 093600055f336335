/** @file fragment_base.h Peer messages that do not fit one datagram. */
#ifndef TURMERIC_PROTOCOL_FRAGMENT_BASE_H_
#define TURMERIC_PROTOCOL_FRAGMENT_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmeric/protocol/codec_func.h"

namespace turmeric {

/** Encodes @p body as one datagram, or as several signed fragments.
 * @param number Counts the sender's messages. */
std::vector<std::string> encode_datagrams(const codec_context& context,
                                          const peer_message& body,
                                          uint64_t number);

/** Puts fragments together again; holds one message of each sender. */
class fragment_reassembler {
 public:
  /** Takes a decoded message.
   * @return The message, once it is whole; a fragment that completes none
   * gives nothing. */
  std::optional<peer_message> add(const codec_context& context,
                                  endpoint from,
                                  peer_message message);

 private:
  struct partial {
    uint64_t message = 0;
    size_t missing = 0;
    std::vector<std::string> parts;
  };

  std::map<endpoint, partial> partials_;
};

}  // namespace turmeric

#endif  // TURMERIC_PROTOCOL_FRAGMENT_BASE_H_
