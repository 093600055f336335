/** @file config_key.cpp Keys of configuration entries. */
#include "turmeric/state/config_key_func.h"

#include <array>

namespace turmeric {
namespace {

/** Key key_prefixes in the order of key_kind. */
constexpr std::array<std::string_view, 4> key_prefixes = {
    "service/", "zone_out/", "target_drain/", "instance_drain/"};
static_assert(key_prefixes.size() == static_cast<size_t>(key_kind::end));

}  // namespace

std::string_view prefix_of(key_kind kind) {
  return key_prefixes[static_cast<size_t>(kind)];
}

std::string make_key(key_kind kind, std::string_view name) {
  return std::string(prefix_of(kind)) + std::string(name);
}

config_key parse_key(std::string_view key) {
  for (size_t i = 0; i < key_prefixes.size(); ++i) {
    if (key.substr(0, key_prefixes[i].size()) == key_prefixes[i])
      return {static_cast<key_kind>(i),
              std::string(key.substr(key_prefixes[i].size()))};
  }
  return {};
}

}  // namespace turmeric
