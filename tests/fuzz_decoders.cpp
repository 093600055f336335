/** @file fuzz_decoders.cpp Feeds arbitrary bytes to all decoders. */
#include <cstdint>
#include <string>
#include <variant>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/change_func.h"
#include "turmeric/state/service_type.h"

namespace {

using namespace turmeric;

/** Bytes before the kind: array, version, domain, cluster. */
constexpr size_t envelope_bytes = 12;
constexpr size_t packet_kinds = std::variant_size_v<packet>;

const codec_context& context() {
  static const codec_context c = make_codec_context("f", "").value();
  return c;
}

/** Puts arbitrary bytes into a valid envelope, so that bodies are reached. */
std::string enveloped(const std::string& valid, size_t kind, std::string body) {
  return valid.substr(0, envelope_bytes) + static_cast<char>(kind) + body;
}

void fuzz_packet(const std::string& text) {
  static const std::string valid = encode(context(), packet(permit_request{}));
  const size_t kind = text.empty() ? 0 : static_cast<uint8_t>(text[0]);
  const std::string data =
      enveloped(valid, kind % packet_kinds, text.substr(text.empty() ? 0 : 1));
  (void)decode_packet(context(), data.data(), data.size()).has_value();
  (void)decode_packet(context(), text.data(), text.size()).has_value();
}

void fuzz_gossip(const std::string& text) {
  static const std::string valid = encode(context(), gossip_message{});
  const std::string data = enveloped(valid, 0, text);
  (void)decode_gossip(context(), data.data(), data.size()).has_value();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0)
    return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
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
    default:
      (void)snapshot_index_from_json(text).has_value();
      break;
  }
  return 0;
}
