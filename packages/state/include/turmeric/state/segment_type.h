/** @file segment_type.h Headers of the packets that carry flows. */
#ifndef TURMERIC_STATE_SEGMENT_TYPE_H_
#define TURMERIC_STATE_SEGMENT_TYPE_H_

#include <cstddef>
#include <cstdint>

#include "turmeric/state/ids_type.h"
#include "turmeric/state/message_type.h"

namespace turmeric {

/** Identifies the target in every packet of a flow; 0 if none. */
using flow_token = uint32_t;

/** Control bits of a segment. */
struct segment_flags {
  bool opens = false;         ///< SYN
  bool acknowledges = false;  ///< ACK
  bool finishes = false;      ///< FIN
  bool resets = false;        ///< RST
};

/** Header of one packet of a flow as the caller sent it. */
struct segment {
  endpoint source;
  endpoint destination;
  segment_flags flags;
  uint32_t sequence = 0;
  /** Next byte expected from the other end; in a segment that `opens`, the
   * number of this copy. */
  uint32_t acknowledged = 0;
  flow_token token = 0;
  size_t data_bytes = 0;
};

/** Identifies a flow by the addresses of its caller and service. */
struct flow_key {
  endpoint caller;
  endpoint service;

  bool operator==(const flow_key& o) const {
    return caller == o.caller && service == o.service;
  }
};

/** @return The flow that @p s belongs to. */
inline flow_key key_of(const segment& s) {
  return {s.source, s.destination};
}

/** @return A hash of @p key that is equal on all machines. */
inline uint64_t hash_of(const flow_key& key) {
  const auto pack = [](const endpoint& e) {
    return (static_cast<uint64_t>(e.ip) << 16) | e.port;
  };
  return hash_pair(pack(key.caller), pack(key.service));
}

/** Hashes a flow for the standard containers. */
struct flow_key_hash {
  size_t operator()(const flow_key& key) const { return hash_of(key); }
};

}  // namespace turmeric

#endif  // TURMERIC_STATE_SEGMENT_TYPE_H_
