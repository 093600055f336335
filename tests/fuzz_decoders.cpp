/** @file fuzz_decoders.cpp Feeds arbitrary bytes to all decoders. */
#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/coordination/directory_core_base.h"
#include "turmeric/coordination/forwarding_core_base.h"
#include "turmeric/platform/registry_func.h"
#include "turmeric/platform/segment_func.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/protocol/fragment_base.h"
#include "turmeric/state/change_func.h"
#include "turmeric/state/service_type.h"

namespace {

using namespace turmeric;

/** Encoded size of what precedes the kind: the array header, the version, the
 * domain and the hash of the cluster name. */
constexpr size_t envelope_prefix_bytes = 12;
constexpr size_t packet_kinds = std::variant_size_v<packet>;
constexpr size_t peer_kinds = std::variant_size_v<peer_message>;
constexpr time_us start_time = 1000 * us_per_s;

const codec_context& context() {
  static const codec_context c = make_codec_context("f", "").value();
  return c;
}

/** Puts arbitrary bytes into a valid envelope, so that the decoders of bodies
 * are reached. */
std::string with_envelope(const std::string& valid,
                          size_t kind,
                          std::string body) {
  return valid.substr(0, envelope_prefix_bytes) + static_cast<char>(kind) +
         body;
}

void fuzz_packet(const std::string& text) {
  static const std::string valid = encode(context(), packet(permit_request{}));
  const size_t kind = text.empty() ? 0 : static_cast<uint8_t>(text[0]);
  const std::string data = with_envelope(valid, kind % packet_kinds,
                                         text.substr(text.empty() ? 0 : 1));
  (void)decode_packet(context(), data.data(), data.size()).has_value();
  (void)decode_packet(context(), text.data(), text.size()).has_value();
}

void fuzz_gossip(const std::string& text) {
  static const std::string valid = encode(context(), gossip_message{});
  const std::string data = with_envelope(valid, 0, text);
  (void)decode_gossip(context(), data.data(), data.size()).has_value();
}

random_source deterministic_random() {
  return [n = uint64_t{0}]() mutable { return hash_pair(++n, 1); };
}

/** Applies the actions of a directory core: passes tables and reports to a
 * forwarding core, and encodes messages to peers. */
void apply_actions(const directory_core::actions& actions,
                   forwarding_core* core) {
  for (const auto& action : actions) {
    if (const auto* published = std::get_if<publish_table>(&action))
      core->set_table(start_time, published->table);
    if (const auto* received_reports = std::get_if<reported_targets>(&action))
      core->on_peer_reports(start_time, received_reports->reports);
    if (const auto* message = std::get_if<send_peer_message>(&action))
      (void)encode_datagrams(context(), message->body, 1);
  }
}

/** Decodes a message of a peer and passes it through both cores. */
void fuzz_peer(const std::string& text) {
  static const std::string valid = encode(context(), peer_message{});
  const size_t kind = text.empty() ? 0 : static_cast<uint8_t>(text[0]);
  const std::string data = with_envelope(valid, kind % peer_kinds,
                                         text.substr(text.empty() ? 0 : 1));
  auto decoded = decode_peer_message(context(), data.data(), data.size());
  if (!decoded)
    return;
  fragment_reassembler reassembler;
  auto complete =
      reassembler.add(context(), {1, 2}, std::move(decoded.value()));
  if (!complete.has_value())
    return;
  directory_options options;
  options.peers.name = "self";
  directory_core directory(options, deterministic_random());
  forwarding_core forwarding({}, deterministic_random());
  apply_actions(directory.start(start_time), &forwarding);
  apply_actions(directory.on_peer_message(start_time, *complete), &forwarding);
  apply_actions(directory.tick(start_time + us_per_s), &forwarding);
}

/** Reads a reply of the registry and passes it through both cores. */
void fuzz_reply(const std::string& text) {
  registry_call call;
  call.id = 1;
  const auto selector = text.empty() ? 0U : static_cast<uint8_t>(text[0]);
  call.kind = static_cast<directory_kind>(selector % directory_kinds);
  call.op = (selector & 0x80U) != 0 ? registry_op::watch : registry_op::list;
  const auto reply = platform::read_reply(
      call, 200, text.substr(0, 1),
      text.substr(std::min<size_t>(1, text.size())), start_time);
  directory_core directory({}, deterministic_random());
  forwarding_core forwarding({}, deterministic_random());
  for (const auto& action : directory.start(start_time)) {
    const auto* started = std::get_if<registry_call>(&action);
    if (started == nullptr || started->kind != call.kind)
      continue;
    registry_reply matching_reply = reply;
    matching_reply.id = started->id;
    apply_actions(directory.on_reply(start_time, matching_reply), &forwarding);
  }
}

/** Reads a packet of a caller, which is not authenticated, and passes it to a
 * forwarding core. */
void fuzz_segment(const std::string& text) {
  const auto* data = reinterpret_cast<const uint8_t*>(text.data());
  const auto s = platform::read_segment(data, text.size());
  if (!s.has_value())
    return;
  forwarding_core forwarding({}, deterministic_random());
  forwarding.set_table(start_time,
                       std::make_shared<const forwarding_table>(table_input{}));
  (void)forwarding.on_segment(start_time, *s);
  forwarding.tick(start_time + us_per_s);
  (void)platform::make_reset(*s);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0)
    return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 9) {
    case 0:
      fuzz_packet(text);
      break;
    case 1:
      fuzz_gossip(text);
      break;
    case 2:
      (void)change_from_json(text).has_value();
      break;
    case 3:
      (void)service_from_json(text).has_value();
      break;
    case 4:
      (void)parse_account(text, "f").has_value();
      break;
    case 5:
      fuzz_peer(text);
      break;
    case 6:
      fuzz_reply(text);
      break;
    case 7:
      fuzz_segment(text);
      break;
    default:
      (void)snapshot_index_from_json(text).has_value();
      break;
  }
  return 0;
}
