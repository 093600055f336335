/** @file config_key_func.h Keys of configuration entries. */
#ifndef TURMERIC_STATE_CONFIG_KEY_FUNC_H_
#define TURMERIC_STATE_CONFIG_KEY_FUNC_H_

#include <string>
#include <string_view>

namespace turmeric {

/** What a configuration entry describes, given by the prefix of its key. */
enum class key_kind { service, zone_out, target_drain, instance_drain, end };

/** A parsed key. */
struct config_key {
  key_kind kind = key_kind::end;  ///< `end` if the key is of no known kind.
  std::string name;               ///< The key without its prefix.
};

/** @return The prefix of keys of @p kind, with its slash. @pre @p kind is not
 * `end`. */
std::string_view prefix_of(key_kind kind);

/** @return The key for @p name, such as "service/club/notes". */
std::string make_key(key_kind kind, std::string_view name);

/** Parses @p key. Readers skip keys of an unknown kind. */
config_key parse_key(std::string_view key);

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_KEY_FUNC_H_
