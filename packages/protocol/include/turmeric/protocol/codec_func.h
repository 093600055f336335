/** @file codec_func.h Datagram form of messages, by msgpack and libsodium.
 *
 * A datagram is the msgpack array [version, domain, cluster, kind, body].
 * Datagrams between balancers end with a keyed BLAKE2b tag. The tag
 * authenticates the sender, as a holder of the key, and the content; it neither
 * encrypts the content nor prevents replays.
 */
#ifndef TURMERIC_PROTOCOL_CODEC_FUNC_H_
#define TURMERIC_PROTOCOL_CODEC_FUNC_H_

#include <string>

#include "turmeric/state/error_type.h"
#include "turmeric/state/member_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** Format version that this program writes. */
constexpr uint32_t datagram_version = 1;

/** Cluster and key with which datagrams are encoded and checked. */
struct codec_context {
  uint64_t cluster_hash = 0;  ///< Hash of the cluster's name.
  std::string key;            ///< 32 bytes; empty if datagrams are not signed.
};

/** @param hex_key 64 hex digits; empty if datagrams are not signed.
 * @return `setting_out_of_range` if the key is anything else, `internal` if
 * libsodium cannot be initialized. */
result<codec_context> make_codec_context(const std::string& cluster_name,
                                         const std::string& hex_key);

/** Encodes a datagram, as the next two do; signed if the context has a key. */
std::string encode(const codec_context& context, const packet& body);

std::string encode(const codec_context& context, const gossip_message& body);

std::string encode(const codec_context& context, const peer_message& body);

/** @return On failure: `bad_signature` if the tag does not match,
 * `wrong_cluster`, `format_too_new` if the version is not datagram_version, or
 * `bad_packet` if the datagram is malformed, of another domain or of an unknown
 * kind. */
result<packet> decode_packet(const codec_context& context,
                             const char* data,
                             size_t size);

/** Errors as for decode_packet(). */
result<gossip_message> decode_gossip(const codec_context& context,
                                     const char* data,
                                     size_t size);

/** Errors as for decode_packet(). */
result<peer_message> decode_peer_message(const codec_context& context,
                                         const char* data,
                                         size_t size);

/** @return The keyed tag of @p text in hex, which signs operators' requests. */
std::string hex_tag(const codec_context& context, const std::string& text);

/** Compares tags of equal length in constant time. */
bool same_tag(const std::string& a, const std::string& b);

}  // namespace turmeric

#endif  // TURMERIC_PROTOCOL_CODEC_FUNC_H_
