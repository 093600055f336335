/** @file codec.cpp Encoding, decoding and signing of datagrams. */
#include "turmeric/protocol/codec_func.h"

#include <fmt/format.h>
#include <sodium.h>

#include <array>

#include "fields_internal.h"

namespace turmeric {
namespace {

constexpr size_t key_bytes = 32;
constexpr size_t tag_bytes = 16;
/** Most items of an array or map. The `max_` limits bound the memory that the
 * decoder allocates for one datagram. */
constexpr size_t max_container_items = 8192;
/** As max_container_items, for peer messages: one can list all targets, and the
 * design load is 44,000 targets. */
constexpr size_t max_peer_container_items = 1 << 17;
constexpr size_t max_string_bytes = 65536;
constexpr size_t max_nesting = 12;
/** Domains of datagrams. The signed envelope holds the domain, so that a
 * datagram of one domain is never decoded as one of another, although balancers
 * sign all with the same key. */
constexpr uint32_t packet_domain = 1;
constexpr uint32_t gossip_domain = 2;
constexpr uint32_t peer_domain = 3;

std::string raw_tag(const codec_context& context,
                    const char* data,
                    size_t size) {
  std::array<unsigned char, tag_bytes> tag{};
  crypto_generichash(tag.data(), tag.size(),
                     reinterpret_cast<const unsigned char*>(data), size,
                     reinterpret_cast<const unsigned char*>(context.key.data()),
                     context.key.size());
  return {reinterpret_cast<const char*>(tag.data()), tag.size()};
}

template <typename Body>
std::string encode_body(const codec_context& context,
                        uint32_t domain,
                        uint32_t kind,
                        const Body& body) {
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(5);
  packer.pack(datagram_version);
  packer.pack(domain);
  packer.pack(context.cluster_hash);
  packer.pack(kind);
  packer.pack(body);
  std::string out(buffer.data(), buffer.size());
  if (!context.key.empty())
    out += raw_tag(context, out.data(), out.size());
  return out;
}

/** Checks tag and envelope, then calls @p read_body with the body's kind and
 * the body. @p read_body returns false if the kind is unknown. */
template <typename Read>
result<void> open_envelope(const codec_context& context,
                           uint32_t domain,
                           const char* data,
                           size_t size,
                           const Read& read_body) {
  if (!context.key.empty()) {
    if (size < tag_bytes)
      return fail(result_code::bad_packet, "datagram is shorter than its tag");
    size -= tag_bytes;
    const std::string expected = raw_tag(context, data, size);
    if (sodium_memcmp(expected.data(), data + size, tag_bytes) != 0)
      return fail(result_code::bad_signature, "signature tag does not match");
  }
  try {
    const size_t item_limit =
        domain == peer_domain ? max_peer_container_items : max_container_items;
    const msgpack::unpack_limit limit(item_limit, item_limit, max_string_bytes,
                                      max_string_bytes, max_string_bytes,
                                      max_nesting);
    const auto handle = msgpack::unpack(data, size, nullptr, nullptr, limit);
    const msgpack::object& o = handle.get();
    if (o.type != msgpack::type::ARRAY || o.via.array.size < 5)
      return fail(result_code::bad_packet,
                  "datagram is not an array of at least 5 fields");
    const msgpack::object* envelope = o.via.array.ptr;
    if (envelope[0].as<uint32_t>() != datagram_version)
      return fail(result_code::format_too_new,
                  "datagram version is not supported");
    if (envelope[2].as<uint64_t>() != context.cluster_hash)
      return fail(result_code::wrong_cluster, "datagram is of another cluster");
    if (envelope[1].as<uint32_t>() != domain)
      return fail(result_code::bad_packet, "datagram is of another domain");
    if (!read_body(envelope[3].as<uint32_t>(), envelope[4]))
      return fail(result_code::bad_packet,
                  "datagram has a body of unknown kind");
  } catch (const std::exception& e) {
    // msgpack reports malformed input only by exceptions.
    return fail(result_code::bad_packet, e.what());
  }
  return boost::outcome_v2::success();
}

/** Decodes @p o as the alternative of @p Variant with index @p kind.
 * @return False if there is no such alternative. */
template <typename Variant, size_t I = 0>
bool read_alternative(uint32_t kind, const msgpack::object& o, Variant* out) {
  if constexpr (I < std::variant_size_v<Variant>) {
    if (kind != I)
      return read_alternative<Variant, I + 1>(kind, o, out);
    std::variant_alternative_t<I, Variant> body;
    o.convert(body);
    *out = std::move(body);
    return true;
  } else {
    return false;
  }
}

}  // namespace

result<codec_context> make_codec_context(const std::string& cluster_name,
                                         const std::string& hex_key) {
  if (sodium_init() < 0)
    return fail(result_code::internal, "libsodium cannot be initialized");
  codec_context context;
  context.cluster_hash = hash_name(cluster_name);
  if (hex_key.empty())
    return context;
  std::array<unsigned char, key_bytes> key{};
  size_t decoded_bytes = 0;
  const int hex_error =
      sodium_hex2bin(key.data(), key.size(), hex_key.data(), hex_key.size(),
                     nullptr, &decoded_bytes, nullptr);
  if (hex_error != 0 || decoded_bytes != key_bytes) {
    return fail(
        result_code::setting_out_of_range,
        fmt::format("the key is not {} bytes in hexadecimal", key_bytes));
  }
  context.key.assign(reinterpret_cast<const char*>(key.data()), key.size());
  return context;
}

std::string encode(const codec_context& context, const packet& body) {
  return std::visit(
      [&](const auto& m) {
        return encode_body(context, packet_domain,
                           static_cast<uint32_t>(body.index()), m);
      },
      body);
}

std::string encode(const codec_context& context, const peer_message& body) {
  return std::visit(
      [&](const auto& m) {
        return encode_body(context, peer_domain,
                           static_cast<uint32_t>(body.index()), m);
      },
      body);
}

std::string encode(const codec_context& context, const gossip_message& body) {
  return encode_body(context, gossip_domain, 0, body);
}

result<packet> decode_packet(const codec_context& context,
                             const char* data,
                             size_t size) {
  packet out;
  auto opened = open_envelope(context, packet_domain, data, size,
                              [&](uint32_t kind, const msgpack::object& o) {
                                return read_alternative(kind, o, &out);
                              });
  if (!opened)
    return boost::outcome_v2::failure(opened.error());
  return out;
}

result<gossip_message> decode_gossip(const codec_context& context,
                                     const char* data,
                                     size_t size) {
  gossip_message out;
  auto opened = open_envelope(context, gossip_domain, data, size,
                              [&](uint32_t, const msgpack::object& o) {
                                o.convert(out);
                                return true;
                              });
  if (!opened)
    return boost::outcome_v2::failure(opened.error());
  return out;
}

result<peer_message> decode_peer_message(const codec_context& context,
                                         const char* data,
                                         size_t size) {
  peer_message out;
  auto opened = open_envelope(context, peer_domain, data, size,
                              [&](uint32_t kind, const msgpack::object& o) {
                                return read_alternative(kind, o, &out);
                              });
  if (!opened)
    return boost::outcome_v2::failure(opened.error());
  return out;
}

std::string hex_tag(const codec_context& context, const std::string& text) {
  const std::string tag = raw_tag(context, text.data(), text.size());
  std::string out;
  for (const char c : tag)
    out += fmt::format("{:02x}", static_cast<unsigned char>(c));
  return out;
}

bool same_tag(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace turmeric
