/** @file ids_type.h Strong identifier types. */
#ifndef TURMERIC_STATE_IDS_TYPE_H_
#define TURMERIC_STATE_IDS_TYPE_H_

#include <cstdint>
#include <functional>
#include <string_view>

namespace turmeric {

/** A 64-bit identifier with its own type for each kind of thing, so that the
 * compiler rejects a mix-up. */
template <typename Tag>
struct strong_id {
  static constexpr uint64_t invalid_value = ~uint64_t{0};

  uint64_t value = invalid_value;

  /** @return Whether the identifier is set. */
  constexpr bool valid() const { return value != invalid_value; }
  constexpr bool operator==(const strong_id& o) const {
    return value == o.value;
  }
  constexpr bool operator!=(const strong_id& o) const {
    return value != o.value;
  }
  constexpr bool operator<(const strong_id& o) const { return value < o.value; }
};

using service_id = strong_id<struct service_tag>;
using target_id = strong_id<struct target_tag>;
using member_id = strong_id<struct member_tag>;
using zone_id = strong_id<struct zone_tag>;
using flow_id = strong_id<struct flow_tag>;
using request_id = strong_id<struct request_tag>;

/** Hashes a name to 64 bits.
 * @return The same value on all machines; never `invalid_value`. */
uint64_t hash_name(std::string_view name);

/** Combines two hashes, for example to a score of rendezvous hashing. The order
 * of the arguments matters. */
uint64_t hash_pair(uint64_t a, uint64_t b);

/** @return The identifier of the thing with this @p name, a hash of the name.
 */
template <typename Id>
Id id_of(std::string_view name) {
  return Id{hash_name(name)};
}

}  // namespace turmeric

namespace std {
template <typename Tag>
struct hash<turmeric::strong_id<Tag>> {
  size_t operator()(const turmeric::strong_id<Tag>& id) const {
    return id.value;
  }
};
}  // namespace std

#endif  // TURMERIC_STATE_IDS_TYPE_H_
