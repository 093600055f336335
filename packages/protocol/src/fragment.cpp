/** @file fragment.cpp Splitting and reassembly of peer messages. */
#include "turmeric/protocol/fragment_base.h"

#include <algorithm>
#include <variant>

namespace turmeric {
namespace {

/** Bytes of a message in one datagram. Half of the largest datagram, so that
 * the fragments of a message, sent in a burst, fit the receive buffers of
 * peers. */
constexpr size_t fragment_bytes = 32 * 1024;
/** Most fragments of a message: 8 MB, enough for the directory of 60,000
 * targets. */
constexpr uint32_t max_fragments = 256;
/** Most senders with an incomplete message. A fragment from a further sender
 * evicts the incomplete message of the sender with the lowest address. */
constexpr size_t max_senders = 16;

}  // namespace

std::vector<std::string> encode_datagrams(const codec_context& context,
                                          const peer_message& body,
                                          uint64_t message_number) {
  const std::string whole = encode(context, body);
  if (whole.size() <= fragment_bytes)
    return {whole};
  std::vector<std::string> out;
  peer_fragment fragment;
  fragment.message = message_number;
  fragment.count = static_cast<uint32_t>((whole.size() + fragment_bytes - 1) /
                                         fragment_bytes);
  for (; fragment.index < fragment.count; ++fragment.index) {
    fragment.bytes =
        whole.substr(fragment.index * fragment_bytes, fragment_bytes);
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
  if (fragment->count > max_fragments || fragment->index >= fragment->count)
    return std::nullopt;
  if (incomplete_.count(from) == 0 && incomplete_.size() >= max_senders)
    incomplete_.erase(incomplete_.begin());
  incomplete_message& held = incomplete_[from];
  if (held.message_number != fragment->message ||
      held.fragments.size() != fragment->count) {
    held = {fragment->message, fragment->count, {}};
    held.fragments.resize(fragment->count);
  }
  std::string& fragment_data = held.fragments[fragment->index];
  if (fragment_data.empty() && !fragment->bytes.empty()) {
    fragment_data = std::move(fragment->bytes);
    --held.missing_fragments;
  }
  if (held.missing_fragments != 0)
    return std::nullopt;
  std::string whole;
  for (const auto& bytes : held.fragments)
    whole += bytes;
  incomplete_.erase(from);
  auto decoded = decode_peer_message(context, whole.data(), whole.size());
  // The fragments were signed, so an invalid message comes from a faulty peer
  // of this cluster.
  if (!decoded || std::holds_alternative<peer_fragment>(decoded.value()))
    return std::nullopt;
  return std::move(decoded.value());
}

}  // namespace turmeric
