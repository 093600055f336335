/** @file ids.cpp Hashing of names to identifiers. */
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "turmeric/state/ids_type.h"

namespace turmeric {

uint64_t hash_name(std::string_view name) {
  const uint64_t hash = XXH3_64bits(name.data(), name.size());
  return hash == strong_id<void>::invalid_value ? 0 : hash;
}

uint64_t hash_pair(uint64_t a, uint64_t b) {
  // Finaliser of a 64-bit mixer (splitmix64): cheaper than a hash of a buffer
  // with both words.
  uint64_t x = a ^ (b + 0x9e3779b97f4a7c15u + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

}  // namespace turmeric
