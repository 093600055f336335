/** @file codec_func.h Datagram form of messages, by msgpack and libsodium.
 *
 * A datagram is the msgpack array [version, domain, cluster, body]. Datagrams
 * between balancers end with a keyed BLAKE2b tag, which proves the sender and
 * the content, but hides nothing and does not stop replays.
 */
#ifndef TURMERIC_PROTOCOL_CODEC_FUNC_H_
#define TURMERIC_PROTOCOL_CODEC_FUNC_H_

#include <string>

#include "turmeric/state/error_type.h"
#include "turmeric/state/member_type.h"
#include "turmeric/state/message_type.h"
#include "turmeric/state/peer_message_type.h"

namespace turmeric {

/** Version of the datagram format that this program writes. */
constexpr uint32_t datagram_version = 1;

/** What a decoder expects of each datagram. */
struct codec_context {
  uint64_t cluster = 0;  ///< Hash of the cluster's name.
  std::string key;       ///< 32 bytes; empty where nothing is signed.
};

/** Makes a context from the settings' texts.
 * @return `setting_out_of_range` if the key is not hex. */
result<codec_context> make_codec_context(const std::string& cluster,
                                         const std::string& hex_key);

/** Encodes a packet; signed if the context has a key. */
std::string encode(const codec_context& context, const packet& body);

/** Encodes a control datagram; signed if the context has a key. */
std::string encode(const codec_context& context, const gossip_message& body);

/** Encodes a peer message; signed if the context has a key. */
std::string encode(const codec_context& context, const peer_message& body);

/** Decodes a packet.
 * @return `bad_signature`, `wrong_cluster`, `format_too_new` or
 * `bad_packet`. */
result<packet> decode_packet(const codec_context& context,
                             const char* data,
                             size_t size);

/** Decodes a control datagram. Errors as for decode_packet(). */
result<gossip_message> decode_gossip(const codec_context& context,
                                     const char* data,
                                     size_t size);

/** Decodes a peer message. Errors as for decode_packet(). */
result<peer_message> decode_peer_message(const codec_context& context,
                                         const char* data,
                                         size_t size);

/** @return The keyed tag of @p text in hex, for the operators' requests. */
std::string hex_tag(const codec_context& context, const std::string& text);

/** Compares tags in constant time. */
bool same_tag(const std::string& a, const std::string& b);

}  // namespace turmeric

#endif  // TURMERIC_PROTOCOL_CODEC_FUNC_H_
