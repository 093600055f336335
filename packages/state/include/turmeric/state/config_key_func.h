/** @file config_key_func.h Keys of configuration entries. */
#ifndef TURMERIC_STATE_CONFIG_KEY_FUNC_H_
#define TURMERIC_STATE_CONFIG_KEY_FUNC_H_

#include <string>
#include <string_view>

namespace turmeric {

/** What an entry is about. */
enum class key_kind { service, zone_out, target_drain, instance_drain, end };

/** A key taken apart. */
struct config_key {
  key_kind kind = key_kind::end;  ///< `end` if the key is of no known kind.
  std::string name;
};

/** @return The prefix that keys of @p kind start with. */
std::string_view prefix_of(key_kind kind);

/** @return The key for @p name, such as "service/club/notes". */
std::string make_key(key_kind kind, std::string_view name);

/** Takes @p key apart; unknown kinds are skipped by readers. */
config_key parse_key(std::string_view key);

}  // namespace turmeric

#endif  // TURMERIC_STATE_CONFIG_KEY_FUNC_H_
