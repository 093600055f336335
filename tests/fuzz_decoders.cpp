/** @file fuzz_decoders.cpp Feeds arbitrary bytes to all decoders. */
#include <cstdint>
#include <string>

#include "turmeric/coordination/declaration_func.h"
#include "turmeric/protocol/codec_func.h"
#include "turmeric/state/change_func.h"
#include "turmeric/state/service_type.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace turmeric;
  static const codec_context context = make_codec_context("f", "").value();
  if (size == 0)
    return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 6) {
    case 0:
      (void)decode_packet(context, text.data(), text.size()).has_value();
      break;
    case 1:
      (void)decode_gossip(context, text.data(), text.size()).has_value();
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
