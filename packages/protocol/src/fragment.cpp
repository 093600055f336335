/** @file fragment.cpp Splitting and joining of peer messages. */
#include "turmeric/protocol/fragment_base.h"

#include <algorithm>
#include <variant>

namespace turmeric {
namespace {

/** Bytes of a message in one datagram; half of the largest, so that a burst
 * fits the receivers' buffers. */
constexpr size_t part_bytes = 32 * 1024;
/** Parts of a message at most: 8 MB, the directory of 60,000 targets. */
constexpr uint32_t max_parts = 256;
/** Senders whose messages are held incomplete. */
constexpr size_t max_senders = 16;

}  // namespace

std::vector<std::string> encode_datagrams(const codec_context& context,
                                          const peer_message& body,
                                          uint64_t number) {
  const std::string whole = encode(context, body);
  if (whole.size() <= part_bytes)
    return {whole};
  std::vector<std::string> out;
  peer_fragment fragment;
  fragment.message = number;
  fragment.count =
      static_cast<uint32_t>((whole.size() + part_bytes - 1) / part_bytes);
  for (; fragment.index < fragment.count; ++fragment.index) {
    fragment.bytes = whole.substr(fragment.index * part_bytes, part_bytes);
    out.push_back(encode(context, peer_message(fragment)));
  }
  return out;
}

std::optional<peer_message> fragment_reassembler::add(
    const codec_context& context,
    endpoint from,
    peer_message message) {
  auto* fragment = std::get_if<peer_fragment>(&message);
  if (fragment == nullptr)
    return message;
  if (fragment->count > max_parts || fragment->index >= fragment->count)
    return std::nullopt;
  if (partials_.count(from) == 0 && partials_.size() >= max_senders)
    partials_.erase(partials_.begin());
  partial& held = partials_[from];
  if (held.message != fragment->message ||
      held.parts.size() != fragment->count) {
    held = {fragment->message, fragment->count, {}};
    held.parts.resize(fragment->count);
  }
  std::string& part = held.parts[fragment->index];
  if (part.empty() && !fragment->bytes.empty()) {
    part = std::move(fragment->bytes);
    --held.missing;
  }
  if (held.missing != 0)
    return std::nullopt;
  std::string whole;
  for (const auto& bytes : held.parts)
    whole += bytes;
  partials_.erase(from);
  auto decoded = decode_peer_message(context, whole.data(), whole.size());
  // Signed parts that make no message come from a faulty peer of our own.
  if (!decoded || std::holds_alternative<peer_fragment>(decoded.value()))
    return std::nullopt;
  return std::move(decoded.value());
}

}  // namespace turmeric
