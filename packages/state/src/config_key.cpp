/** @file config_key.cpp Keys of configuration entries. */
#include "turmeric/state/config_key_func.h"

#include <array>

namespace turmeric {
namespace {

constexpr std::array<std::string_view, 4> prefixes = {
    "service/", "zone_out/", "target_drain/", "instance_drain/"};
static_assert(prefixes.size() == static_cast<size_t>(key_kind::end));

}  // namespace

std::string_view prefix_of(key_kind kind) {
  return prefixes[static_cast<size_t>(kind)];
}

std::string make_key(key_kind kind, std::string_view name) {
  return std::string(prefix_of(kind)) + std::string(name);
}

config_key parse_key(std::string_view key) {
  for (size_t i = 0; i < prefixes.size(); ++i) {
    if (key.substr(0, prefixes[i].size()) == prefixes[i])
      return {static_cast<key_kind>(i),
              std::string(key.substr(prefixes[i].size()))};
  }
  return {};
}

}  // namespace turmeric
