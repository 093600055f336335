/** @file fragment_base.h Fragmentation of peer messages that do not fit one
 * datagram. */
#ifndef TURMERIC_PROTOCOL_FRAGMENT_BASE_H_
#define TURMERIC_PROTOCOL_FRAGMENT_BASE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "turmeric/protocol/codec_func.h"

namespace turmeric {

/** Encodes @p body as one datagram, or as several fragments if it is too large;
 * each is signed if the context has a key.
 * @param message_number Unique for each message of a sender, so that the
 * receiver can tell the fragments of two messages apart. */
std::vector<std::string> encode_datagrams(const codec_context& context,
                                          const peer_message& body,
                                          uint64_t message_number);

/** Reassembles fragmented messages. Holds at most one incomplete message of
 * each sender: a fragment of another message replaces it. */
class fragment_reassembler {
 public:
  /** Adds a decoded message of the sender @p from.
   * @return The message itself if it is not a fragment; the reassembled message
   * if it is the last missing fragment; nothing for any other fragment, and if
   * the reassembled message cannot be decoded. */
  std::optional<peer_message> add(const codec_context& context,
                                  endpoint from,
                                  peer_message message);

 private:
  struct incomplete_message {
    uint64_t message_number = 0;
    size_t missing_fragments = 0;
    std::vector<std::string> fragments;
  };

  std::map<endpoint, incomplete_message> incomplete_;
};

}  // namespace turmeric

#endif  // TURMERIC_PROTOCOL_FRAGMENT_BASE_H_
